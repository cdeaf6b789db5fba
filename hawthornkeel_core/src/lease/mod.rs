//! Quorum lease per data centre, which controls calls to cold targets.
//!
//! Each data centre has a fixed set of lease voters. At any time at most one instance, the holder,
//! has the votes of a quorum, and only the holder issues grants for calls to the data centre's cold
//! targets. Timestamps of different instances are never compared: each side measures durations on
//! its own clock, and the receiver of a vote or grant measures from the time at which it sent its
//! request.

pub mod holder;
pub mod issuer;
pub mod message;
pub mod settings;
pub(crate) mod target_grants;
pub mod voter;
pub mod voters;

pub use holder::Holder;
pub use issuer::Issuer;
pub use issuer::IssuerOutput;
pub use message::GrantMessage;
pub use message::MemberId;
pub use message::SuspectReason;
pub use message::VoteMessage;
pub use settings::LeaseSettings;
pub use voter::Voter;
