//! Bounded channel of body pieces between tasks of one thread.

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

/// Error of sending into a channel whose receiver is gone: the caller left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the receiver is gone")
    }
}

impl Error for Closed {}

/// What a receiver sees next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyEvent {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
    /// The sender was dropped before the body was whole.
    Aborted,
}

#[derive(Default)]
struct Shared {
    queue: VecDeque<Bytes>,
    capacity: usize,
    finished: bool,
    sender_gone: bool,
    receiver_gone: bool,
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

/// Creates a channel that holds up to `capacity` pieces.
pub fn bounded(capacity: usize) -> (Sender, Receiver) {
    let shared = Rc::new(RefCell::new(Shared { capacity: capacity.max(1), ..Shared::default() }));
    (Sender { shared: shared.clone() }, Receiver { shared })
}

/// Sending end of a body.
///
/// Dropping it without [`Sender::finish`] tells the receiver that the body is broken.
pub struct Sender {
    shared: Rc<RefCell<Shared>>,
}

impl Sender {
    /// Sends `data`, waiting while the channel is full.
    ///
    /// # Errors
    /// Fails once the receiver is gone.
    pub async fn send(&self, data: Bytes) -> Result<(), Closed> {
        let mut data = Some(data);
        poll_fn(|cx| self.poll_send(&mut data, cx)).await
    }

    /// Marks the body as whole.
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
        if shared.receiver_gone {
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
        shared.sender_gone = true;
        shared.wake_receiver();
    }
}

/// Receiving end of a body.
pub struct Receiver {
    shared: Rc<RefCell<Shared>>,
}

impl Receiver {
    /// Returns the next piece, waiting for it where needed.
    pub async fn next(&mut self) -> BodyEvent {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Returns the next piece that waits already, if any.
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
        if shared.sender_gone {
            return Poll::Ready(BodyEvent::Aborted);
        }
        shared.receiver = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        let mut shared = self.shared.borrow_mut();
        shared.receiver_gone = true;
        shared.queue.clear();
        shared.wake_sender();
    }
}
