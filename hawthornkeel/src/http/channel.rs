//! Bounded channel for body data between tasks on one thread.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::error::Error;
use std::fmt;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;

/// Error of sending to a channel whose receiver was dropped: the caller has disconnected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the receiver was dropped")
    }
}

impl Error for Closed {}

/// Next item that a receiver gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyEvent {
    /// Body data.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The sender was dropped before the body was complete.
    Aborted,
}

#[derive(Default)]
struct Shared {
    queue: VecDeque<Bytes>,
    capacity: usize,
    finished: bool,
    sender_dropped: bool,
    receiver_dropped: bool,
    sender: Option<Waker>,
    receiver: Option<Waker>,
}

impl Shared {
    fn wake_receiver(&mut self) {
        if let Some(waker) = self.receiver.take() {
            waker.wake();
        }
    }

    fn wake_sender(&mut self) {
        if let Some(waker) = self.sender.take() {
            waker.wake();
        }
    }
}

/// Creates a channel with room for `capacity` items.
pub fn bounded(capacity: usize) -> (Sender, Receiver) {
    let shared = Rc::new(RefCell::new(Shared { capacity: capacity.max(1), ..Shared::default() }));
    (Sender { shared: shared.clone() }, Receiver { shared })
}

/// Sending half of a body channel.
///
/// Dropping it without [`Sender::finish`] aborts the body.
pub struct Sender {
    shared: Rc<RefCell<Shared>>,
}

impl Sender {
    /// Sends `data`, waiting while the channel is full.
    ///
    /// # Errors
    /// Fails once the receiver was dropped.
    pub async fn send(&self, data: Bytes) -> Result<(), Closed> {
        let mut data = Some(data);
        poll_fn(|cx| self.poll_send(&mut data, cx)).await
    }

    /// Marks the body as complete.
    pub fn finish(self) {
        let mut shared = self.shared.borrow_mut();
        shared.finished = true;
        shared.wake_receiver();
    }

    fn poll_send(
        &self,
        data: &mut Option<Bytes>,
        cx: &mut Context<'_>,
    ) -> Poll<Result<(), Closed>> {
        let mut shared = self.shared.borrow_mut();
        if shared.receiver_dropped {
            return Poll::Ready(Err(Closed));
        }
        if shared.queue.len() >= shared.capacity {
            shared.sender = Some(cx.waker().clone());
            return Poll::Pending;
        }
        if let Some(data) = data.take() {
            shared.queue.push_back(data);
        }
        shared.wake_receiver();
        Poll::Ready(Ok(()))
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        let mut shared = self.shared.borrow_mut();
        shared.sender_dropped = true;
        shared.wake_receiver();
    }
}

/// Receiving half of a body channel.
pub struct Receiver {
    shared: Rc<RefCell<Shared>>,
}

impl Receiver {
    /// Waits for the next item.
    pub async fn next(&mut self) -> BodyEvent {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Returns the next queued data without waiting, if any.
    pub fn try_next(&mut self) -> Option<Bytes> {
        let mut shared = self.shared.borrow_mut();
        let data = shared.queue.pop_front()?;
        shared.wake_sender();
        Some(data)
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<BodyEvent> {
        let mut shared = self.shared.borrow_mut();
        if let Some(data) = shared.queue.pop_front() {
            shared.wake_sender();
            return Poll::Ready(BodyEvent::Data(data));
        }
        if shared.finished {
            return Poll::Ready(BodyEvent::End);
        }
        if shared.sender_dropped {
            return Poll::Ready(BodyEvent::Aborted);
        }
        shared.receiver = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        let mut shared = self.shared.borrow_mut();
        shared.receiver_dropped = true;
        shared.queue.clear();
        shared.wake_sender();
    }
}
