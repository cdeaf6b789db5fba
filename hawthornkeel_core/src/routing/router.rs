//! Router of one entry instance.

use std::time::Duration;

use crate::document::Document;
use crate::ids::CallId;
use crate::ids::RequestId;
use crate::lease::GrantMessage;
use crate::lease::LeaseSettings;
use crate::lease::MemberId;
use crate::names::CentreName;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::routing::settings::RouterSettings;
use crate::routing::types::Admission;
use crate::routing::types::CallOutcome;
use crate::routing::types::Decision;
use crate::routing::types::LoadReport;
use crate::routing::types::Permit;
use crate::routing::types::Ready;
use crate::routing::types::Reason;
use crate::routing::types::RequestPlan;
use crate::routing::types::StageRequest;
use crate::routing::types::TargetInfo;
use crate::time::Instant;

/// Entry instance of the fleet, for the subsets of targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryInfo {
    /// Identity of the entry.
    pub id: MemberId,
    /// Data centre that it runs in.
    pub centre: CentreName,
}

/// Message for the issuer of a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantOutput {
    /// Data centre whose issuer the message goes to.
    pub centre: CentreName,
    /// Member that is known to issue.
    pub issuer: MemberId,
    /// Message to send.
    pub message: GrantMessage,
}

/// Router of one entry instance: chooses targets, keeps limits, budgets and waiting calls.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    lease: LeaseSettings,
    own: EntryInfo,
}

impl Router {
    /// Creates a router that knows no target.
    pub fn new(settings: RouterSettings, lease: LeaseSettings, own: EntryInfo) -> Self {
        Self { settings, lease, own }
    }

    /// Takes the document's pools and workspaces; limits that stay the same are kept.
    pub fn apply_document(&mut self, _document: &Document) {}

    /// Takes the platform's list of targets, which lags.
    pub fn update_targets(&mut self, _now: Instant, _list: &[TargetInfo]) {}

    /// Takes the live entries of the fleet, this one among them.
    pub fn set_entries(&mut self, _now: Instant, _entries: &[EntryInfo]) {}

    /// Takes the data centres that get no new work.
    pub fn set_taken_out(&mut self, _now: Instant, _centres: &[CentreName]) {}

    /// Takes a target's load report.
    pub fn report_load(&mut self, _now: Instant, _target: &TargetName, _report: LoadReport) {}

    /// Takes a hint that a target may have a prompt prefix in its cache.
    pub fn cache_hint(&mut self, _now: Instant, _target: &TargetName, _prefix: u64, _seq: u64) {}

    /// Notes that the target closed or broke a connection outside of a call.
    pub fn connection_lost(&mut self, _now: Instant, _target: &TargetName) {}

    /// Decides whether a request may start.
    pub fn admit(&mut self, _now: Instant, _plan: &RequestPlan) -> Admission {
        Admission::Admitted
    }

    /// Notes the end of an admitted request, however it ended.
    pub fn leave(&mut self, _now: Instant, _request: RequestId) {}

    /// Chooses a target for a call.
    pub fn choose(&mut self, _now: Instant, _request: &StageRequest) -> Decision {
        let (settings, own) = (&self.settings, &self.own);
        let _ = (settings, own, &self.lease);
        let retry_after = Duration::from_secs(1);
        Decision::Refuse { reason: Reason::NoTarget, retry_after, candidates: 0 }
    }

    /// Takes back the permit of a call that has ended.
    pub fn finished(&mut self, _now: Instant, _permit: Permit, _outcome: CallOutcome) {}

    /// Removes a waiting call; returns whether it waited.
    pub fn cancel(&mut self, _now: Instant, _call: CallId) -> bool {
        false
    }

    /// Returns the waiting calls that can be sent, or are refused, by now.
    pub fn take_ready(&mut self, _now: Instant) -> Vec<Ready> {
        Vec::new()
    }

    /// Returns the time at which `take_ready` and `take_messages` are to be called at the latest.
    pub fn next_wake(&self, now: Instant) -> Instant {
        now + Duration::from_millis(100)
    }

    /// Takes a message of an issuer.
    pub fn handle_grant(&mut self, _now: Instant, _message: &GrantMessage) {}

    /// Returns the messages for issuers.
    pub fn take_messages(&mut self, _now: Instant) -> Vec<GrantOutput> {
        Vec::new()
    }

    /// Returns the time after which a hedge of a call to `pool` is worth it, once measured.
    pub fn hedge_after(&self, _pool: &PoolName) -> Option<Duration> {
        None
    }
}
