//! One-way signal between tasks of one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use indexmap::IndexMap;

/// Signal that is set once and stays set; clones share it.
#[derive(Clone, Default)]
pub struct Signal {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    set: Cell<bool>,
    next: Cell<u64>,
    wakers: RefCell<IndexMap<u64, Waker>>,
}

impl Signal {
    /// Creates a signal that is not set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the signal and wakes all who wait for it.
    pub fn set(&self) {
        self.inner.set.set(true);
        let wakers = self.inner.wakers.take();
        for waker in wakers.into_values() {
            waker.wake();
        }
    }

    /// Tells whether the signal is set.
    pub fn is_set(&self) -> bool {
        self.inner.set.get()
    }

    /// Waits until the signal is set.
    pub fn wait(&self) -> Wait {
        let key = self.inner.next.get();
        self.inner.next.set(key.wrapping_add(1));
        Wait { inner: self.inner.clone(), key }
    }
}

/// Future that ends once a signal is set.
pub struct Wait {
    inner: Rc<Inner>,
    key: u64,
}

impl Future for Wait {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.inner.set.get() {
            return Poll::Ready(());
        }
        self.inner.wakers.borrow_mut().insert(self.key, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.inner.wakers.borrow_mut().swap_remove(&self.key);
    }
}
