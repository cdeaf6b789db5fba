//! One-shot signal between tasks on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use indexmap::IndexMap;

/// Signal that stays set once it is set; clones share its state.
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
    /// Creates an unset signal.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the signal and wakes all waiting tasks.
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
        Wait { inner: self.inner.clone(), key, waker: None }
    }
}

/// Future that completes once a signal is set.
pub struct Wait {
    inner: Rc<Inner>,
    key: u64,
    /// Registered waker, so that repeated polls by the same task don't register it again.
    waker: Option<Waker>,
}

impl Future for Wait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.inner.set.get() {
            return Poll::Ready(());
        }
        if !self.waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
            self.inner.wakers.borrow_mut().insert(self.key, cx.waker().clone());
            self.waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        if self.waker.is_some() {
            self.inner.wakers.borrow_mut().swap_remove(&self.key);
        }
    }
}
