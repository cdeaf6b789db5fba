//! Work that the owner of a scheduler accepts during its planned stop.
//!
//! Designed for requests of several stages: a request that was begun keeps its place at an owner
//! that stops, as long as the owner has time, and new ones go to other owners.

use std::time::Duration;

use crate::names::InstanceName;

/// Entry whose request a job or reservation belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The owner itself.
    Own,
    /// Another entry, which can go to other owners.
    Other,
}

/// What a scheduler knows of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Nothing.
    New,
    /// Capacity is reserved for it.
    Reserved,
    /// It was submitted.
    Submitted,
}

/// Returns whether an owner accepts a job, or the reservation of a new one.
///
/// `left` is the time until the finish of the owner's stop, `None` if it doesn't stop. Submitted
/// jobs are accepted until the end, as their outcome may be known.
pub fn accepts_job(origin: Origin, standing: Standing, left: Option<Duration>) -> bool {
    let Some(left) = left else { return true };
    match (standing, origin) {
        (Standing::Submitted, _) => true,
        (Standing::Reserved, _) | (Standing::New, Origin::Own) => !left.is_zero(),
        (Standing::New, Origin::Other) => false,
    }
}

/// Sorts the owners to which an entry that stops, `own`, brings a job.
///
/// It comes first itself if its scheduler has the job, and last if another owner can run it.
pub fn sort_for_stop(owners: &mut [InstanceName], own: &InstanceName, standing: Standing) {
    match standing {
        Standing::New => owners.sort_by_key(|o| o == own),
        Standing::Reserved | Standing::Submitted => owners.sort_by_key(|o| o != own),
    }
}
