//! Control side of rollouts: answers entries and operators, and runs the controller while it leads.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::rollout::controller::Action;
use hawthornkeel_core::rollout::controller::Input;
use hawthornkeel_core::rollout::controller::RolloutSettings;
use hawthornkeel_core::rollout::message::RolloutReport;
use hawthornkeel_core::rollout::record::RolloutCommand;
use hawthornkeel_core::rollout::record::RolloutOutcome;
use hawthornkeel_core::rollout::record::RolloutRecord;
use hawthornkeel_core::rollout::record::RolloutStep;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use indexmap::IndexMap;

use crate::clock::boot_now;
use crate::control::directory::ControlDirectory;
use crate::control::node::ControlNode;
use crate::control::rollout_client::FrameFuture;
use crate::control::rollout_client::RolloutClient;
use crate::control::watch::Watch;
use crate::forward::discovery_server::DiscoveryServer;
use crate::forward::rollout_clock::RolloutClock;
use crate::forward::rollout_lead::RolloutLead;
use crate::forward::rollout_lead::SilentEntries;
use crate::forward::rollout_metrics::record_phase;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::FrameKind;
use crate::peer::frame::Proposed;
use crate::peer::rollout_frame::RolloutFrame;
use crate::peer::wakeup::EventCount;

/// Longest time between two looks at the leadership, the records and the targets.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Control side of rollouts; clones share it.
#[derive(Clone)]
pub struct RolloutServer {
    pub(super) inner: Rc<Inner>,
}

pub(super) struct Inner {
    pub(super) endpoint: Endpoint,
    pub(super) control: ControlNode,
    watch: Watch,
    /// Lists of targets and entries; without it, nothing is known of either.
    discovery: Option<DiscoveryServer>,
    clock: RefCell<RolloutClock>,
    /// Rollouts as last applied.
    applied: RefCell<IndexMap<PoolName, RolloutRecord>>,
    lead: RefCell<Option<RolloutLead>>,
    /// Counts inputs that may have changed the time of the controller's next tick.
    handled: EventCount,
}

impl RolloutServer {
    /// Starts to serve calls, and to run the controller whenever this instance leads.
    pub fn start(
        endpoint: &Endpoint,
        control: &ControlNode,
        watch: &Watch,
        discovery: Option<DiscoveryServer>,
    ) -> Self {
        let server = Self {
            inner: Rc::new(Inner {
                endpoint: endpoint.clone(),
                control: control.clone(),
                watch: watch.clone(),
                discovery,
                clock: RefCell::default(),
                applied: RefCell::default(),
                lead: RefCell::default(),
                handled: EventCount::default(),
            }),
        };
        server.register_handlers();
        monoio::spawn(server.clone().run());
        server
    }

    /// Returns a client for the calls that this instance is asked for by operators.
    pub fn client(&self, directory: ControlDirectory) -> RolloutClient {
        let server = self.clone();
        let local = move |call| -> FrameFuture {
            let server = server.clone();
            Box::pin(async move { server.serve(call).await })
        };
        RolloutClient::new(&self.inner.endpoint, directory, Rc::new(local))
    }

    fn register_handlers(&self) {
        let endpoint = &self.inner.endpoint;
        let server = self.clone();
        endpoint.on_call(FrameKind::RolloutQuery, move |_, _| {
            let view = server.inner.control.rollout_view();
            async move { Frame::Rollout(RolloutFrame::View(view)) }
        });
        let server = self.clone();
        endpoint.on_call(FrameKind::RolloutReport, move |from, frame| {
            let reply = match frame {
                Frame::Rollout(RolloutFrame::Report(report)) => server.report(from, report),
                _ => server.not_leading(),
            };
            async move { Frame::Rollout(reply) }
        });
        let server = self.clone();
        endpoint.on_call(FrameKind::RolloutOrder, move |_, frame| {
            let server = server.clone();
            async move {
                match frame {
                    Frame::Rollout(RolloutFrame::Order(call)) => {
                        Frame::Rollout(server.serve(call).await)
                    }
                    other => other,
                }
            }
        });
    }

    /// Returns the answer of an instance that doesn't lead, or not with a lease.
    pub(super) fn not_leading(&self) -> RolloutFrame {
        let leader = self.inner.control.lead().leader;
        RolloutFrame::NotLeading { leader: leader.filter(|l| l != self.inner.endpoint.name()) }
    }

    /// Returns what the judgement of a pool's rollout has counted, if this instance leads.
    pub(super) fn summary(&self, pool: &PoolName) -> Option<String> {
        self.inner.lead.borrow().as_ref().and_then(|lead| lead.controller.summary(pool))
    }

    fn report(&self, from: InstanceName, report: RolloutReport) -> RolloutFrame {
        let leadership = self.inner.control.lead();
        let actions = match &mut *self.inner.lead.borrow_mut() {
            Some(lead) if leadership.is_leader => lead.report(boot_now(), from, report),
            None if leadership.is_leader => {
                // The lease has just begun.
                self.inner.handled.notify();
                return self.not_leading();
            }
            _ => return self.not_leading(),
        };
        let grant = actions.iter().find_map(|action| match action {
            Action::Grant(grant) => Some(*grant),
            Action::Propose(_) | Action::Judged { .. } => None,
        });
        self.execute(actions);
        self.inner.handled.notify();
        RolloutFrame::Grant(grant.flatten())
    }

    /// Watches the leadership, the records and the targets, and ticks the controller.
    async fn run(self) {
        let (control, discovery) = (self.inner.control.clone(), self.inner.discovery.clone());
        while !control.has_ended() {
            let records = control.changes().count();
            let status = control.status_changes().count();
            let targets = discovery.as_ref().map(|d| d.changes().count());
            let handled = self.inner.handled.count();
            self.observe();
            self.update_lead().await;
            self.update_controller();
            let target_change = async {
                match (&discovery, targets) {
                    (Some(discovery), Some(seen)) => discovery.changes().wait_after(seen).await,
                    _ => std::future::pending().await,
                }
            };
            monoio::select! {
                () = control.changes().wait_after(records) => {}
                () = control.status_changes().wait_after(status) => {}
                () = self.inner.handled.wait_after(handled) => {}
                () = target_change => {}
                () = monoio::time::sleep(self.time_to_tick()) => {}
            }
        }
    }

    fn time_to_tick(&self) -> Duration {
        let lead = self.inner.lead.borrow();
        let tick = lead.as_ref().and_then(|l| l.controller.next_tick());
        tick.map_or(CHECK_INTERVAL, |at| at.since(boot_now()).min(CHECK_INTERVAL))
            // A timer that stays due must not keep this thread busy.
            .max(Duration::from_millis(1))
    }

    /// Notes what has been applied since the last look.
    fn observe(&self) {
        let (now, control) = (boot_now(), &self.inner.control);
        let mut clock = self.inner.clock.borrow_mut();
        let mut applied = self.inner.applied.borrow_mut();
        for record in control.rollouts() {
            let pool = record.order.pool.clone();
            clock.observe(now, &record, control.rollout_age(&record));
            let before = applied.insert(pool, record.clone());
            if before.as_ref() != Some(&record) {
                record_phase(before.as_ref(), &record);
                log_end(before.as_ref(), &record);
            }
        }
        let watch = &self.inner.watch;
        if control.is_current(now) {
            clock.set_current(now);
        } else if watch.index() <= Some(control.published().index)
            && let Some(age) = watch.age()
        {
            clock.set_current(now.before(age));
        }
    }

    /// Creates a controller when this instance begins to lead, and drops it when it ceases to.
    async fn update_lead(&self) {
        let control = &self.inner.control;
        let term = control.status().term;
        if !control.lead().is_leader {
            self.inner.lead.borrow_mut().take();
            return;
        }
        if self.inner.lead.borrow().as_ref().is_some_and(|lead| lead.term == term) {
            return;
        }
        self.inner.lead.borrow_mut().take();
        // A new leader may not have applied all that was acknowledged before its term.
        if control.read_barrier().await && control.status().term == term {
            tracing::info!(event = "rollouts-led", %term, records = control.rollouts().len());
            let lead = RolloutLead::new(term, RolloutSettings::default());
            *self.inner.lead.borrow_mut() = Some(lead);
            self.observe();
        }
    }

    /// Tells the controller what has changed, and ticks it if that is due.
    fn update_controller(&self) {
        let now = boot_now();
        let records = self.inner.control.rollouts();
        let clock = self.inner.clock.borrow();
        let elapsed = |r: &RolloutRecord| clock.elapsed(now, r);
        let records = records.into_iter().filter_map(|r| elapsed(&r).map(|e| (r, e))).collect();
        drop(clock);
        let discovery = self.inner.discovery.as_ref();
        let list = discovery.and_then(DiscoveryServer::target_list);
        let mut lead = self.inner.lead.borrow_mut();
        let Some(lead_ref) = lead.as_mut() else { return };
        let mut actions = lead_ref.update(now, records, list.as_ref());
        if lead_ref.controller.next_tick().is_some_and(|at| at <= now) {
            actions.extend(lead_ref.controller.handle(now, Input::Tick));
        }
        if lead_ref.is_check_due(now) {
            let serving = discovery.map(DiscoveryServer::serving).unwrap_or_default();
            let names: Vec<_> = serving.into_iter().map(|e| e.name).collect();
            lead_ref.silent_entries(now, &names).iter().for_each(log_silent);
        }
        drop(lead);
        self.execute(actions);
    }

    /// Carries out what the controller asks for, except grants, which answer a report.
    fn execute(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Propose(step) => {
                    monoio::spawn(propose(self.inner.control.clone(), step));
                }
                Action::Judged { pool, detail } => {
                    tracing::info!(event = "rollout-judged", %pool, detail);
                }
                Action::Grant(_) => {}
            }
        }
    }
}

/// Proposes a step of a running rollout.
///
/// The members are not asked again whether they read rollouts: the log holds the order already, and
/// a member that is away must not keep a bad version from being rolled back.
async fn propose(control: ControlNode, step: RolloutStep) {
    let RolloutStep { pool, id, change } = step.clone();
    let proposed = control.propose(Command::Rollout(RolloutCommand::Advance(step))).await;
    match proposed {
        Proposed::Outcome(Outcome::Rollout(RolloutOutcome::Recorded(record))) => {
            let phase = record.phase;
            tracing::info!(event = "rollout-step", %pool, %id, ?change, ?phase);
        }
        other => tracing::info!(event = "rollout-step-failed", %pool, %id, ?change, ?other),
    }
}

/// Logs the entries that have not reported about a rollout.
fn log_silent(silent: &SilentEntries) {
    let names: Vec<_> = silent.entries.iter().map(InstanceName::as_str).collect();
    let (pool, id, entries) = (&silent.pool, silent.id, names.join(","));
    tracing::warn!(event = "rollout-entries-silent", %pool, %id, entries);
}

/// Logs that a rollout has ended, if it was running before.
fn log_end(before: Option<&RolloutRecord>, record: &RolloutRecord) {
    let was_running = before.is_some_and(|b| b.id == record.id && b.phase.is_running());
    if was_running && !record.phase.is_running() {
        let RolloutRecord { order, id, phase, cause, .. } = record;
        let (pool, version) = (&order.pool, &order.version);
        tracing::info!(event = "rollout-ended", %pool, %version, %id, outcome = ?phase, ?cause);
    }
}
