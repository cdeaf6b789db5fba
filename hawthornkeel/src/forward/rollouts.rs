//! Entry side of rollouts: asks control instances which rollouts there are, reports to the leader
//! while one runs, and applies the rule on versions to requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::rollout::counts::Answer;
use hawthornkeel_core::rollout::entry::EntryRollouts;
use hawthornkeel_core::rollout::entry::GrantReply;
use hawthornkeel_core::rollout::entry::KnownRollout;
use hawthornkeel_core::rollout::entry::RolloutNews;
use hawthornkeel_core::rollout::message::RolloutQuery;
use hawthornkeel_core::rollout::message::RolloutReport;
use hawthornkeel_core::rollout::message::RolloutView;
use hawthornkeel_core::rollout::versions::VersionRule;
use hawthornkeel_core::streams::origin::StreamOrigin;
use hawthornkeel_core::time::Instant;
use hawthornkeel_platform::fields;
use http::StatusCode;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::http_client::TargetResponse;
use crate::forward::measures;
use crate::forward::request::IncomingRequest;
use crate::forward::target_calls::TargetCall;
use crate::peer::Frame;
use crate::peer::PeerError;
use crate::peer::frame::Followed;
use crate::peer::rollout_frame::RolloutFrame;

/// Time to wait for the rollouts before a published state is applied without them.
const QUERY_TIMEOUT: Duration = Duration::from_millis(250);
/// Least time between two queries for the same published state.
const QUERY_RETRY: Duration = Duration::from_millis(500);
/// Time to wait for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of instances to which one report is sent, each named as leader by the one before.
const MAX_REDIRECTS: usize = 3;
/// Longest time after which it is looked whether a report is due early, as a phase has changed.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Rollouts as this entry knows them.
pub(super) struct Rollouts {
    state: RefCell<EntryRollouts>,
    /// Leader of the control group, as far as it is known.
    leader: RefCell<Option<InstanceName>>,
    /// Whether the rollouts of the last published state are not known.
    is_behind: Cell<bool>,
    /// Time of the last query.
    queried: Cell<Instant>,
}

impl Rollouts {
    /// Creates the state of an entry whose process has a random number.
    pub(super) fn new(process: u64) -> Self {
        Self {
            state: RefCell::new(EntryRollouts::new(process)),
            leader: RefCell::default(),
            is_behind: Cell::default(),
            queried: Cell::default(),
        }
    }

    /// Counts a request that was admitted for a pool for the first time.
    pub(super) fn record_arrival(&self, pool: &PoolName) {
        if !self.is_empty() {
            self.state.borrow_mut().record_arrival(pool);
        }
    }

    fn report(&self, now: Instant, pool: &PoolName, old_running: u32) -> Option<RolloutReport> {
        self.state.borrow_mut().report(now, pool, old_running, rand::random())
    }

    fn is_empty(&self) -> bool {
        self.state.borrow().is_empty()
    }
}

impl Context {
    /// Returns the versions that a request may go to, which goes on with a stream of `origin` if that
    /// is given.
    pub(super) fn version_rule(
        &self,
        request: &IncomingRequest,
        origin: Option<&StreamOrigin>,
    ) -> VersionRule {
        self.rule_of(request, origin.is_some())
    }

    fn rule_of(&self, request: &IncomingRequest, is_bound: bool) -> VersionRule {
        let rollouts = self.rollouts.state.borrow();
        let pool = &request.pool.name;
        match is_bound {
            _ if rollouts.is_empty() => VersionRule::Any,
            true => rollouts.stream_rule(pool),
            false => rollouts.rule(boot_now(), pool, request.session),
        }
    }

    /// Returns whether the target of a call may get its request now.
    pub(super) fn allows_version(&self, call: &TargetCall<'_>) -> bool {
        self.rollouts.is_empty() || self.allows(call, &self.rule_of(call.request, call.is_bound()))
    }

    fn allows(&self, call: &TargetCall<'_>, rule: &VersionRule) -> bool {
        self.balancer.borrow().allows(boot_now(), &call.request.pool.name, rule, call.target)
    }

    /// Returns whether the target of a call may get its request now, and counts it as sent if so.
    pub(super) fn begin_send(&self, call: &TargetCall<'_>) -> bool {
        if self.rollouts.is_empty() {
            return true;
        }
        let rule = self.rule_of(call.request, call.is_bound());
        if !self.allows(call, &rule) {
            return false;
        }
        let TargetCall { request, target, .. } = call;
        let (pool, version) = (&request.pool.name, &target.version);
        let mut rollouts = self.rollouts.state.borrow_mut();
        if rollouts.record_sent(pool, &rule, version, request.session) {
            measures::rollout_sent(pool, version);
        }
        true
    }

    /// Counts a response of a target to a request that was sent at `sent`. Refusals that are marked as
    /// such say nothing about the software.
    pub(super) fn record_answer(
        &self,
        call: &TargetCall<'_>,
        sent: Instant,
        response: &TargetResponse,
    ) {
        let status = response.status;
        let is_refusal = status == StatusCode::MISDIRECTED_REQUEST
            || response.headers.contains_key(fields::NOT_RUN);
        if self.rollouts.is_empty() || is_refusal {
            return;
        }
        let TargetCall { request, target, .. } = call;
        let (pool, version) = (&request.pool.name, &target.version);
        let answer = Answer {
            route: &request.route.name,
            centre: &target.centre,
            target: &target.name,
            born: target.born,
            cold: target.cold,
            failed: status.is_server_error(),
            latency: boot_now().since(sent),
        };
        let is_counted = self.rollouts.state.borrow_mut().record_answer(pool, version, &answer);
        if is_counted && answer.failed {
            measures::rollout_failure(pool, version);
        }
    }

    /// Returns whether the version that began a stream gets no more requests, as it was replaced or
    /// rolled back.
    pub(super) fn is_ended(&self, origin: &StreamOrigin) -> bool {
        match self.rollouts.state.borrow().stream_rule(&origin.pool) {
            VersionRule::Without { versions } => versions.contains(&origin.version),
            VersionRule::RolledBack { version } => {
                version == origin.version && !self.balancer.borrow().lists_only(origin)
            }
            _ => false,
        }
    }

    /// Passes the targets that may be part of a trial on to the rollouts.
    pub(super) fn update_trials(&self) {
        if !self.rollouts.is_empty() {
            let balancer = self.balancer.borrow();
            self.rollouts.state.borrow_mut().set_targets(balancer.listed_targets());
        }
    }

    /// Returns the instance to which a report goes: the leader, or any control instance, which names
    /// it.
    fn report_to(&self, failures: usize) -> Option<InstanceName> {
        if let Some(leader) = self.rollouts.leader.borrow().as_ref() {
            return Some(leader.clone());
        }
        let controls = self.directory.instances();
        controls.get(failures.checked_rem(controls.len())?).cloned()
    }
}

/// Asks a control instance for the rollouts before the state that it has published is applied, if
/// that is another one than before. Where it does not answer, it is asked again with a later update.
pub(super) async fn refresh(context: &Rc<Context>, control: &InstanceName, followed: &Followed) {
    let rollouts = &context.rollouts;
    let published = followed.published.as_ref().map(|p| p.index);
    let is_new = published.is_some_and(|index| Some(index) > rollouts.state.borrow().index());
    let is_recent = boot_now().since(rollouts.queried.get()) < QUERY_RETRY;
    if is_new || rollouts.is_behind.get() && !is_recent {
        rollouts.is_behind.set(true);
        query(context, control).await;
    }
}

/// Asks a control instance for the rollouts and applies them.
async fn query(context: &Rc<Context>, control: &InstanceName) {
    let rollouts = &context.rollouts;
    rollouts.queried.set(boot_now());
    let query = RolloutQuery { after: context.watch.index() };
    let frame = Frame::Rollout(RolloutFrame::Query(query));
    match context.endpoint.call(control, &frame, QUERY_TIMEOUT).await {
        Ok(Frame::Rollout(RolloutFrame::View(view))) => {
            rollouts.is_behind.set(false);
            apply(context, view);
        }
        Ok(_) => {}
        // An instance of an older build has no rollouts.
        Err(PeerError::Refused(_)) => {}
        Err(error) => tracing::info!(event = "rollouts-unknown", %control, %error),
    }
}

/// Applies the rollouts that a control instance knows.
fn apply(context: &Rc<Context>, view: RolloutView) {
    let news = context.rollouts.state.borrow_mut().apply(boot_now(), &view);
    if let Some(leader) = view.leader {
        context.rollouts.leader.replace(Some(leader));
    }
    context.update_trials();
    for news in news {
        match news {
            RolloutNews::Learned(rollout) => {
                log_rollout("rollout-learned", &rollout);
                if rollout.phase.is_running() {
                    monoio::spawn(report_all(Rc::clone(context), rollout));
                }
            }
            RolloutNews::Moved(rollout) => log_rollout("rollout-moved", &rollout),
        }
    }
}

fn log_rollout(event: &str, rollout: &KnownRollout) {
    let KnownRollout { pool, id, version, phase } = rollout;
    tracing::info!(event, %pool, rollout = %id, software = %version, ?phase);
}

/// Reports about a rollout until it no longer runs.
async fn report_all(context: Rc<Context>, rollout: KnownRollout) {
    let KnownRollout { pool, id, .. } = &rollout;
    // Consecutive reports without an answer.
    let mut failures = 0;
    loop {
        let next = context.rollouts.state.borrow().next_report(pool, *id);
        let Some(next) = next else { return };
        let now = boot_now();
        if context.rollouts.state.borrow_mut().take_expired(now, pool) {
            tracing::info!(event = "rollout-grant-expired", %pool, rollout = %id);
        }
        if next > now {
            monoio::time::sleep(next.since(now).min(MAX_WAIT)).await;
            continue;
        }
        match report(&context, &rollout, failures).await {
            true => failures = 0,
            false => {
                context.rollouts.leader.replace(None);
                if failures == 0 {
                    tracing::info!(event = "rollout-unreported", %pool, rollout = %id);
                }
                failures = failures.wrapping_add(1);
            }
        }
    }
}

/// Sends a report to the leader and applies the answer; returns whether there was one.
async fn report(context: &Rc<Context>, rollout: &KnownRollout, failures: usize) -> bool {
    let KnownRollout { pool, id, version, .. } = rollout;
    let old_running = context.balancer.borrow().running_at_others(pool, version);
    let sent = boot_now();
    let report = context.rollouts.report(sent, pool, old_running);
    let (Some(report), Some(mut to)) = (report, context.report_to(failures)) else { return false };
    let sequence = report.sequence;
    let frame = Frame::Rollout(RolloutFrame::Report(report));
    for _ in 0..MAX_REDIRECTS {
        match context.endpoint.call(&to, &frame, REPORT_TIMEOUT).await {
            Ok(Frame::Rollout(RolloutFrame::Grant(grant))) => {
                context.rollouts.leader.replace(Some(to.clone()));
                apply_grant(context, &to, GrantReply { pool, id: *id, sequence, sent, grant })
                    .await;
                return true;
            }
            Ok(Frame::Rollout(RolloutFrame::NotLeading { leader: Some(leader) })) => to = leader,
            _ => return false,
        }
    }
    false
}

/// Applies a grant; a leader that knows a later record is asked for it.
async fn apply_grant(context: &Rc<Context>, leader: &InstanceName, reply: GrantReply<'_>) {
    let effect = context.rollouts.state.borrow_mut().apply_grant(boot_now(), &reply);
    context.update_trials();
    if let Some(rollout) = &effect.moved {
        log_rollout("rollout-moved", rollout);
    }
    if effect.is_behind {
        query(context, leader).await;
    }
}
