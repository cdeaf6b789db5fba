//! Operators' calls about rollouts, as the leader serves them.

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::rollout::record::RollBackCause;
use hawthornkeel_core::rollout::record::RolloutChange;
use hawthornkeel_core::rollout::record::RolloutCommand;
use hawthornkeel_core::rollout::record::RolloutOrder;
use hawthornkeel_core::rollout::record::RolloutOutcome;
use hawthornkeel_core::rollout::record::RolloutRecord;
use hawthornkeel_core::rollout::record::RolloutStep;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::table::pool::Workload;
use hawthornkeel_platform::document;

use crate::forward::rollout_gate::unproved_members;
use crate::forward::rollout_server::RolloutServer;
use crate::peer::frame::Proposed;
use crate::peer::rollout_frame::OperatorCall;
use crate::peer::rollout_frame::OperatorReply;
use crate::peer::rollout_frame::RolloutFrame;

impl RolloutServer {
    /// Serves an operator's call, if this instance leads and its state is certain to include all
    /// acknowledged changes.
    pub async fn serve(&self, call: OperatorCall) -> RolloutFrame {
        if !self.inner.control.read_barrier().await {
            return self.not_leading();
        }
        let reply = match call {
            OperatorCall::Begin(order) => self.begin(order).await,
            OperatorCall::RollBack { pool, id } => match self.inner.control.rollout(&pool) {
                None => OperatorReply::UnknownPool,
                Some(record) if id.is_some_and(|id| id != record.id) => OperatorReply::Busy(record),
                Some(record) => self.roll_back(record).await,
            },
            OperatorCall::Read(pool) => {
                let record = self.inner.control.rollout(&pool);
                record.map_or(OperatorReply::UnknownPool, OperatorReply::Recorded)
            }
            OperatorCall::List => OperatorReply::Records(self.records()),
        };
        RolloutFrame::OrderReply(reply)
    }

    fn records(&self) -> Vec<(RolloutRecord, Option<String>)> {
        let records = self.inner.control.rollouts();
        let with_summary = |r: RolloutRecord| {
            let summary = self.summary(&r.order.pool);
            (r, summary)
        };
        records.into_iter().map(with_summary).collect()
    }

    async fn begin(&self, order: RolloutOrder) -> OperatorReply {
        if let Some(refusal) = self.refuse_pool(&order.pool) {
            return refusal;
        }
        if let Some(last) = self.inner.control.rollout(&order.pool)
            && last.phase.is_running()
        {
            return match last.order == order {
                true => OperatorReply::Recorded(last),
                false => OperatorReply::Busy(last),
            };
        }
        let unproved = unproved_members(&self.inner.endpoint, &self.inner.control).await;
        if !unproved.is_empty() {
            let names: Vec<_> = unproved.iter().map(InstanceName::as_str).collect();
            let (pool, version, members) = (&order.pool, &order.version, names.join(","));
            tracing::warn!(event = "rollout-unavailable", %pool, %version, members);
            return OperatorReply::NotAvailable(unproved);
        }
        let reply = self.commit(RolloutCommand::Begin(order)).await;
        if let OperatorReply::Recorded(record) = &reply {
            let RolloutRecord { order, id, phase, .. } = record;
            let RolloutOrder { pool, version, duration_ms } = order;
            tracing::info!(event = "rollout-ordered", %pool, %version, duration_ms, %id, ?phase);
        }
        reply
    }

    /// Returns the refusal if the document in force has no such pool, or one that runs stages.
    fn refuse_pool(&self, pool: &PoolName) -> Option<OperatorReply> {
        let text = self.inner.control.published().text;
        let table = document::decode(text.as_bytes()).ok();
        match table.as_ref().and_then(|t| t.pools.get(pool)).map(|p| &p.workload) {
            Some(Workload::Requests | Workload::Engine(_)) => None,
            Some(Workload::Stages(_)) => Some(OperatorReply::StagePool),
            None => Some(OperatorReply::UnknownPool),
        }
    }

    async fn roll_back(&self, record: RolloutRecord) -> OperatorReply {
        if !record.phase.is_running() {
            return OperatorReply::Recorded(record);
        }
        let change = RolloutChange::RollBack(RollBackCause::Ordered);
        let step = RolloutStep { pool: record.order.pool, id: record.id, change };
        self.commit(RolloutCommand::Advance(step)).await
    }

    async fn commit(&self, command: RolloutCommand) -> OperatorReply {
        match self.inner.control.propose(Command::Rollout(command)).await {
            Proposed::Outcome(Outcome::Rollout(RolloutOutcome::Recorded(record))) => {
                OperatorReply::Recorded(record)
            }
            Proposed::Outcome(Outcome::Rollout(RolloutOutcome::Busy(record))) => {
                OperatorReply::Busy(record)
            }
            // The rollout has ended meanwhile, which the next attempt of the call finds.
            Proposed::Outcome(Outcome::Rollout(RolloutOutcome::Outdated))
            | Proposed::NotProposed { .. } => OperatorReply::NotProposed,
            Proposed::Outcome(_) | Proposed::Unknown => OperatorReply::Unknown,
        }
    }
}
