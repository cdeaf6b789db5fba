//! Calls to several peers at once.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::names::InstanceName;

use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::wakeup::EventCount;

#[derive(Default)]
struct Gathered {
    answers: RefCell<Vec<(InstanceName, Frame)>>,
    open: Cell<usize>,
    changed: EventCount,
}

/// Calls all of `peers` with `frame` and returns the answers that came within `timeout`.
///
/// Returns early once `enough` is satisfied by an answer.
pub async fn call_all(
    endpoint: &Endpoint,
    peers: &[InstanceName],
    frame: &Frame,
    timeout: Duration,
    enough: impl Fn(&Frame) -> bool,
) -> Vec<(InstanceName, Frame)> {
    let gathered = Rc::new(Gathered { open: Cell::new(peers.len()), ..Gathered::default() });
    for peer in peers {
        let (endpoint, peer, frame) = (endpoint.clone(), peer.clone(), frame.clone());
        let gathered = gathered.clone();
        monoio::spawn(async move {
            if let Ok(answer) = endpoint.call(&peer, &frame, timeout).await {
                gathered.answers.borrow_mut().push((peer, answer));
            }
            gathered.open.set(gathered.open.get().saturating_sub(1));
            gathered.changed.notify();
        });
    }
    loop {
        let seen = gathered.changed.count();
        let satisfied = gathered.answers.borrow().iter().any(|(_, f)| enough(f));
        if satisfied || gathered.open.get() == 0 {
            return gathered.answers.take();
        }
        gathered.changed.wait_after(seen).await;
    }
}
