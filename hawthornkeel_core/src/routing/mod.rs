//! Choice of a target for a stage: load, limits, cold targets, data centres, retries.

pub mod router;
pub mod settings;
pub mod types;

pub use router::Router;
pub use settings::RouterSettings;
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
