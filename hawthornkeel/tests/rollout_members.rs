//! Members of the control group that don't read rollouts, and what entries and the leader are told.

mod support;

use std::time::Duration;

use hawthornkeel::control::start::ControlPlane;
use hawthornkeel::peer::Frame;
use hawthornkeel::peer::credentials::Protocol;
use hawthornkeel::peer::rollout_frame::OperatorCall;
use hawthornkeel::peer::rollout_frame::OperatorReply;
use hawthornkeel::peer::rollout_frame::RolloutFrame;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::rollout::controller::RolloutSettings;
use hawthornkeel_core::rollout::message::RolloutQuery;
use hawthornkeel_core::rollout::message::RolloutReport;
use hawthornkeel_core::rollout::record::RollBackCause;
use hawthornkeel_core::rollout::record::RolloutOrder;
use hawthornkeel_core::rollout::record::RolloutPhase;
use hawthornkeel_core::rollout::record::RolloutRecord;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Replace;
use support::cluster::Cluster;
use support::cluster::InstanceSpec;
use support::operator::wait_for;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Protocols of an older build.
const BASE: &[Protocol] = &[Protocol::Base];
const NAMES: [&str; 3] = ["a", "b", "c"];

fn cluster() -> Cluster {
    let spec = |name, control| InstanceSpec { name, centre: "east", control };
    Cluster::new(vec![spec("a", true), spec("b", true), spec("c", true), spec("ops", false)])
}

fn order(pool: &str) -> RolloutOrder {
    RolloutOrder { pool: pool.into(), version: "v2".into(), duration_ms: 600_000 }
}

/// Puts a document with two pools in force.
async fn replace_document(parts: &ControlPlane) {
    let text = r#"{"version":1,"routes":[],"services":[{"name":"ledger"},{"name":"annex"}]}"#;
    let replace = Replace { version: Version(1), text: text.into(), hash: "h".into() };
    wait_for("a document", async || {
        parts.client.propose(Command::Replace(replace.clone()), CALL_TIMEOUT).await.is_ok()
    })
    .await;
}

/// Calls an instance once; returns `None` unless it serves messages about rollouts.
async fn call(parts: &ControlPlane, at: &str, frame: RolloutFrame) -> Option<RolloutFrame> {
    let (endpoint, name) = (&parts.admin.endpoint, InstanceName::new(at));
    match endpoint.call(&name, &Frame::Rollout(frame), CALL_TIMEOUT).await {
        Ok(Frame::Rollout(reply)) => Some(reply),
        _ => None,
    }
}

/// Returns the reply of whichever instance leads, with its name.
async fn ask(parts: &ControlPlane, question: OperatorCall) -> (&'static str, OperatorReply) {
    let mut reply = None;
    wait_for("a reply of the leader", async || {
        for name in NAMES {
            let frame = RolloutFrame::Order(question.clone());
            if let Some(RolloutFrame::OrderReply(served)) = call(parts, name, frame).await {
                reply = Some((name, served));
            }
        }
        reply.is_some()
    })
    .await;
    reply.unwrap()
}

/// Gives an order until its reply is as expected.
async fn order_until(parts: &ControlPlane, pool: &str, is_expected: fn(&OperatorReply) -> bool) {
    wait_for("the reply to an order", async || {
        is_expected(&ask(parts, OperatorCall::Begin(order(pool))).await.1)
    })
    .await;
}

fn is_refused_for_c(reply: &OperatorReply) -> bool {
    *reply == OperatorReply::NotAvailable(vec![InstanceName::new("c")])
}

// A leader writes an entry that a member can't read: one that offers only the base protocol, or one that
// it has never had a connection to.
#[test]
fn gate_by_protocol() {
    support::run(async {
        let mut cluster = cluster();
        cluster.set_protocols("c", BASE);
        cluster.start_all();
        let parts = cluster.start_local("ops", "east");
        replace_document(&parts).await;
        // It must not lead.
        cluster.kill("c");
        order_until(&parts, "ledger", is_refused_for_c).await;
        cluster.start("c");
        order_until(&parts, "ledger", is_refused_for_c).await;
        assert_eq!(ask(&parts, OperatorCall::List).await.1, OperatorReply::Records(Vec::new()));
        cluster.kill("c");
        cluster.set_protocols("c", &Protocol::ALL);
        cluster.start("c");
        order_until(&parts, "ledger", |r| matches!(r, OperatorReply::Recorded(_))).await;
        // A new leader has no connection to a member that is down: a copy of the order finds its
        // rollout, but no other one begins.
        NAMES.iter().for_each(|name| cluster.kill(name));
        cluster.start("a");
        cluster.start("b");
        order_until(&parts, "ledger", |r| matches!(r, OperatorReply::Recorded(_))).await;
        order_until(&parts, "annex", is_refused_for_c).await;
    });
}

// A non-leader takes reports or orders; a query is answered with a state that is not applied, or without
// its log position; a rollout that an operator takes back goes on.
#[test]
fn calls_by_role() {
    support::run(async {
        let mut cluster = cluster();
        cluster.start_all();
        let parts = cluster.start_local("ops", "east");
        replace_document(&parts).await;
        order_until(&parts, "ledger", |r| matches!(r, OperatorReply::Recorded(_))).await;
        let (leader, reply) = ask(&parts, OperatorCall::Read("ledger".into())).await;
        let OperatorReply::Recorded(record) = reply else { panic!("{reply:?}") };
        let expected = RolloutRecord {
            order: order("ledger"),
            id: record.id,
            began: record.began,
            allowance: record.allowance,
            ..RolloutRecord::default()
        };
        assert_eq!(record, expected);
        // The leader raises the allowance before any request has arrived by no more than the slack.
        let slack = RolloutSettings::default().trial_slack;
        let is_known = |known: &RolloutRecord| {
            let allowance = record.allowance..=slack;
            allowance.contains(&known.allowance)
                && *known == RolloutRecord { allowance: known.allowance, ..record.clone() }
        };
        assert!(is_known(&record), "{record:?}");
        let report = RolloutReport {
            pool: "ledger".into(),
            id: record.id,
            process: 1,
            sequence: 1,
            phase: RolloutPhase::Trial,
            arrivals: 0,
            sent: 0,
            old_running: 0,
            rows: Vec::new(),
        };
        for name in NAMES {
            wait_for("the applied record", async || {
                let query = RolloutFrame::Query(RolloutQuery::default());
                let Some(RolloutFrame::View(view)) = call(&parts, name, query).await else {
                    return false;
                };
                view.records.len() == 1 && is_known(&view.records[0]) && view.index >= record.id
            })
            .await;
            wait_for("a reply by role", async || {
                let report = RolloutFrame::Report(report.clone());
                match call(&parts, name, report).await {
                    Some(RolloutFrame::Grant(_)) => name == leader,
                    Some(RolloutFrame::NotLeading { leader: hint }) => {
                        name != leader && hint.is_some_and(|h| h.as_str() == leader)
                    }
                    _ => false,
                }
            })
            .await;
        }
        let back = OperatorCall::RollBack { pool: "ledger".into(), id: Some(record.id) };
        let reply = ask(&parts, back).await.1;
        let cause = Some(RollBackCause::Ordered);
        let OperatorReply::Recorded(ended) = reply else { panic!("{reply:?}") };
        assert!((record.allowance..=slack).contains(&ended.allowance), "{ended:?}");
        let (phase, allowance) = (RolloutPhase::RolledBack, ended.allowance);
        assert_eq!(ended, RolloutRecord { phase, cause, allowance, ..record });
    });
}
