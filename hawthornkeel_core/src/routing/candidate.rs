//! Per-target data read by target selection.

/// Availability class of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Class {
    /// Can't be selected now.
    #[default]
    Unavailable,
    /// Warm, in the entry's own data centre.
    Near,
    /// Warm, in another data centre.
    Far,
    /// Cold, with an unused grant.
    Cold,
}

/// Summary of a target for selection.
///
/// Stored apart from the target's state and kept small, so that a scan of many targets stays in
/// cache.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Candidate {
    /// Expected call time in microseconds.
    pub score: f32,
    /// Concurrent calls of this entry that the target is expected to sustain.
    pub capacity: u16,
    /// Index of the data centre in the pool.
    pub centre: u16,
    pub class: Class,
    pub near: bool,
    /// Whether the target accepts work and is proved warm.
    pub warm: bool,
    /// Whether the target accepts work and isn't down.
    pub usable: bool,
    /// Whether the last call failed.
    pub failing: bool,
}
