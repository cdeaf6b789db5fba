//! Lease by a quorum of the voters of a data centre, for sends to cold targets.
//!
//! Each data centre has a fixed set of lease voters. At most one instance, the holder, has the
//! votes of a quorum at any time, and only the holder hands out grants for calls to the data
//! centre's cold targets. No clocks are compared: each side counts durations on its own clock, the
//! receiver of a permission always from the time at which it sent its request.

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
