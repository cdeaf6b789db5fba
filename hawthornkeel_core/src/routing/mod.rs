//! Choice of a target for a stage: load, limits, cold targets, data centres, retries.

pub(crate) mod admit;
pub mod budget;
pub(crate) mod choose;
pub(crate) mod cold;
pub(crate) mod fair;
pub(crate) mod finish;
pub mod limit;
pub(crate) mod pick;
pub(crate) mod pool;
pub mod router;
pub mod settings;
pub mod shares;
pub mod subset;
pub(crate) mod target;
pub mod times;
pub mod types;

pub use router::EntryInfo;
pub use router::GrantOutput;
pub use router::Router;
pub use router::TargetStatus;
pub use settings::RouterSettings;
pub use target::Warmth;
pub use types::Admission;
pub use types::CallOutcome;
pub use types::Decision;
pub use types::Liveness;
pub use types::LoadReport;
pub use types::Permit;
pub use types::Ready;
pub use types::Reason;
pub use types::Repeat;
pub use types::RequestPlan;
pub use types::StageRequest;
pub use types::TargetInfo;
