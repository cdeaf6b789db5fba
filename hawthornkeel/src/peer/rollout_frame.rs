//! Messages between instances about rollouts.
//!
//! They are sent only over connections whose peer has offered to read them; see
//! [`Protocol`](crate::peer::credentials::Protocol).

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::rollout::message::RolloutGrant;
use hawthornkeel_core::rollout::message::RolloutQuery;
use hawthornkeel_core::rollout::message::RolloutReport;
use hawthornkeel_core::rollout::message::RolloutView;
use hawthornkeel_core::rollout::record::RolloutOrder;
use hawthornkeel_core::rollout::record::RolloutRecord;
use serde::Deserialize;
use serde::Serialize;

/// Message about rollouts.
///
/// Removing, reordering or changing variants requires a new
/// [`wire::ROLLOUT_VERSION`](crate::peer::wire::ROLLOUT_VERSION).
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RolloutFrame {
    /// Call: returns the rollouts as the control instance has applied them.
    Query(RolloutQuery),
    /// Answers [`RolloutFrame::Query`].
    View(RolloutView),
    /// Call to the leader: reports outcomes and asks what may be sent.
    Report(RolloutReport),
    /// Answers [`RolloutFrame::Report`]; `None` if no such rollout goes on.
    Grant(Option<RolloutGrant>),
    /// Call to the leader: order or question of an operator.
    Order(OperatorCall),
    /// Answers [`RolloutFrame::Order`].
    OrderReply(OperatorReply),
    /// Answers a call that only the leader serves.
    NotLeading {
        /// Leader known to the sender.
        leader: Option<InstanceName>,
    },
}

/// Order or question of an operator about rollouts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum OperatorCall {
    /// Begins a rollout.
    Begin(RolloutOrder),
    /// Rolls the running rollout of a pool back.
    RollBack {
        /// Pool.
        pool: PoolName,
        /// Rollout, or `None` for whichever runs.
        id: Option<LogIndex>,
    },
    /// Returns the last rollout of a pool.
    Read(PoolName),
    /// Returns the last rollout of each pool.
    List,
}

/// Answer to an operator's order or question.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The rollout as recorded.
    Recorded(RolloutRecord),
    /// Another rollout of the pool goes on.
    Busy(RolloutRecord),
    /// The pool has had no rollout, or is not in the document in force.
    UnknownPool,
    /// The pool runs stages, to which rollouts don't apply.
    StagePool,
    /// Rollouts, each with the state of its judgement as text where it is known.
    Records(Vec<(RolloutRecord, Option<String>)>),
    /// These members of the group have not shown that they read the records of rollouts.
    NotAvailable(Vec<InstanceName>),
    /// The order is not in the log and never will be.
    NotProposed,
    /// The order may or may not be committed.
    Unknown,
}
