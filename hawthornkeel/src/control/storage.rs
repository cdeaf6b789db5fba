//! Storage interface of the replicated log.

use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::SaveSeq;

/// Storage that performs saves in order, without blocking the event loop.
///
/// Calls [`ControlNode::synced`](crate::control::node::ControlNode::synced) with the sequence
/// number of a save once that save and all saves before it are durable, and
/// [`ControlNode::fail`](crate::control::node::ControlNode::fail) when one fails.
pub trait LogStorage {
    /// Queues a save.
    fn save(&self, seq: SaveSeq, save: Save);
}
