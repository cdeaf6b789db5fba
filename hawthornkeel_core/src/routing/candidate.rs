//! What a choice reads of a target.

/// How a target can be chosen now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Class {
    /// Not at all.
    #[default]
    Closed,
    /// Warm and of the own data centre.
    Near,
    /// Warm and of another data centre.
    Far,
    /// Cold, with a grant in hand.
    Cold,
}

/// What a choice reads of a target: small and kept apart, so that a scan of many is quick.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Hot {
    /// Expected time of a call, in microseconds.
    pub score: f32,
    /// Calls that the target is expected to bear for this entry.
    pub capacity: u16,
    /// Number of the data centre in the pool.
    pub centre: u16,
    pub class: Class,
    pub near: bool,
    /// Whether the target takes work and is proved warm.
    pub warm: bool,
    /// Whether the target takes work and isn't down.
    pub usable: bool,
    /// Whether the last call failed.
    pub failing: bool,
}
