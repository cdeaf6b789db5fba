//! Edge to the disk of the replicated log.

use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::Ticket;

/// Disk that carries out saves in order, away from the event loop.
///
/// Each save's ticket is handed to [`Control::synced`](crate::control::node::Control::synced) once
/// it and all saves before it are on disk, and a failure to
/// [`Control::fail`](crate::control::node::Control::fail).
pub trait Saver {
    /// Queues a save.
    fn save(&self, ticket: Ticket, save: Save);
}
