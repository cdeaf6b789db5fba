//! Wake-ups between tasks on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::task::Poll;
use std::task::Waker;

/// Event counter on which tasks of one thread can wait.
#[derive(Debug, Default)]
pub struct EventCount {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl EventCount {
    /// Returns the current count, to pass to [`EventCount::wait_after`].
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Increments the count and wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get().wrapping_add(1));
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until the count differs from `seen`.
    pub async fn wait_after(&self, seen: u64) {
        poll_fn(|cx| {
            if self.count.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|w| w.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}

/// Yields once to the other tasks of the thread.
pub async fn yield_now() {
    let mut yielded = false;
    poll_fn(|cx| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
