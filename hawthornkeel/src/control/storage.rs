//! Edge to the disk of the replicated log.

use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::SaveSeq;

/// Disk that carries out saves in order, away from the event loop.
///
/// Each save's sequence number is handed to [`ControlNode::synced`](crate::control::node::ControlNode::synced) once
/// it and all saves before it are on disk, and a failure to
/// [`ControlNode::fail`](crate::control::node::ControlNode::fail).
pub trait LogStorage {
    /// Queues a save.
    fn save(&self, seq: SaveSeq, save: Save);
}
