//! Concurrent calls to several peers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::names::InstanceName;

use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::wakeup::EventCount;

#[derive(Default)]
struct Replies {
    received: RefCell<Vec<(InstanceName, Frame)>>,
    pending: Cell<usize>,
    changed: EventCount,
}

/// Calls all `peers` with `frame` and returns the replies that arrive within `timeout`.
///
/// Returns early once `enough` holds for a reply. Failed calls are left out.
pub async fn call_all(
    endpoint: &Endpoint,
    peers: &[InstanceName],
    frame: &Frame,
    timeout: Duration,
    enough: impl Fn(&Frame) -> bool,
) -> Vec<(InstanceName, Frame)> {
    let replies = Rc::new(Replies { pending: Cell::new(peers.len()), ..Replies::default() });
    for peer in peers {
        let (endpoint, peer, frame) = (endpoint.clone(), peer.clone(), frame.clone());
        let replies = replies.clone();
        monoio::spawn(async move {
            if let Ok(reply) = endpoint.call(&peer, &frame, timeout).await {
                replies.received.borrow_mut().push((peer, reply));
            }
            replies.pending.set(replies.pending.get().saturating_sub(1));
            replies.changed.notify();
        });
    }
    loop {
        let seen = replies.changed.count();
        let satisfied = replies.received.borrow().iter().any(|(_, f)| enough(f));
        if satisfied || replies.pending.get() == 0 {
            return replies.received.take();
        }
        replies.changed.wait_after(seen).await;
    }
}
