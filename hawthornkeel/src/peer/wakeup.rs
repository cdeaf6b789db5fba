//! Wake-ups between tasks of one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::task::Poll;
use std::task::Waker;

/// Counter of events that tasks of one thread can wait on.
#[derive(Debug, Default)]
pub struct EventCount {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl EventCount {
    /// Returns the number of events so far, to pass to [`EventCount::wait_after`].
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Counts one event and wakes every waiting task.
    pub fn notify(&self) {
        self.count.set(self.count.get().wrapping_add(1));
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until there is an event that `seen` does not count.
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

/// Lets the other tasks of the thread run once.
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
