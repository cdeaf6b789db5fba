//! Hedged calls: which call wins, which one is cancelled, and when no hedge is sent.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornkeel_core::document::Pipeline;
use hawthornkeel_core::document::Stage;
use hawthornkeel_core::ids::AttemptNumber;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::request::event::Action;
use hawthornkeel_core::request::event::Input;
use hawthornkeel_core::request::failure::CallFailure;
use hawthornkeel_core::request::refusal::RefusalCode;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_core::request::run::PipelineRun;
use hawthornkeel_core::request::spec::RequestSpec;
use hawthornkeel_core::routing::AttemptKind;
use hawthornkeel_core::routing::CallOutcome;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::Permit;
use hawthornkeel_core::routing::Reason;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::Warmth;
use hawthornkeel_core::state::command::ClaimOutcome;
use hawthornkeel_core::time::Instant;
use rstest::rstest;

use common::LATENCY;
use common::answered;
use common::at;
use common::document;
use common::request;
use common::sent;
use common::target;
use common::warm_router;

const NOW: Instant = Instant::from_millis(1_000);
/// First call of the first stage.
const FIRST: CallId = call(0);
/// Hedge of that call.
const HEDGE: CallId = call(1);

const fn call(attempt: u16) -> CallId {
    let (stage, attempt) = (StageIndex(0), AttemptNumber(attempt));
    CallId { request: RequestId(7), stage, attempt }
}

fn spec(stages: Vec<Stage>) -> RequestSpec {
    let pipeline = Pipeline { name: "release".into(), stages, ..Pipeline::default() };
    RequestSpec {
        id: RequestId(7),
        instance: "entry-1".into(),
        workspace: "makers".into(),
        pipeline: Arc::new(pipeline),
        key: Some("k".into()),
        digest: 1,
        streamed: false,
        deadline: NOW + Duration::from_secs(8),
    }
}

fn stage(name: &str) -> Stage {
    Stage { name: name.into(), max_attempts: 3, floor_ms: 10, ..Stage::default() }
}

/// Creates a run whose first call is in progress.
fn called(spec: RequestSpec) -> PipelineRun {
    let mut run = PipelineRun::new(spec);
    run.handle(NOW, Input::Started);
    let mut actions = run.handle(NOW, Input::Routed);
    if let [Action::Claim(_)] = actions[..] {
        actions = run.handle(NOW, Input::Claimed(ClaimOutcome::Granted));
    }
    assert_eq!(actions, vec![Action::Dispatch { call: FIRST, resume: 0 }]);
    run
}

/// Creates a run whose first call and its hedge are in progress.
fn hedged(stages: Vec<Stage>) -> PipelineRun {
    let mut run = called(spec(stages));
    assert_eq!(run.handle(NOW, Input::HedgeDue(FIRST)), vec![Action::Hedge(HEDGE)]);
    run
}

fn answer(run: &mut PipelineRun, call: CallId) -> Vec<Action> {
    run.handle(NOW, Input::Answered { call, answer: Bytes::from("a") })
}

fn fail(run: &mut PipelineRun, call: CallId, received: usize) -> Vec<Action> {
    run.handle(NOW, Input::Failed { call, failure: CallFailure::Reset, received })
}

#[rstest]
#[case(FIRST, HEDGE)]
#[case(HEDGE, FIRST)]
fn first_complete_answer_wins_and_cancels_the_other_call(
    #[case] winner: CallId,
    #[case] loser: CallId,
) {
    let mut run = hedged(vec![stage("read"), stage("draft")]);
    let actions = answer(&mut run, winner);
    let next = Action::Route { stage: StageIndex(1), attempt: AttemptNumber(0) };
    assert_eq!(actions, vec![Action::Cancel(loser), next]);
    let second = run.handle(NOW, Input::Routed);
    assert_eq!(answer(&mut run, loser), vec![], "a late loser changes nothing");
    assert_eq!(fail(&mut run, loser, 9), vec![]);
    let [Action::Dispatch { call, .. }] = second[..] else { panic!("{second:?}") };
    assert_eq!(answer(&mut run, call), vec![Action::Finish(Bytes::from("a"))]);
}

#[rstest]
#[case(FIRST, HEDGE)]
#[case(HEDGE, FIRST)]
fn failed_call_leaves_the_other_running(#[case] failed: CallId, #[case] other: CallId) {
    let mut run = hedged(vec![stage("read")]);
    assert_eq!(fail(&mut run, failed, 0), vec![]);
    assert_eq!(answer(&mut run, other), vec![Action::Finish(Bytes::from("a"))]);
}

#[test]
fn failure_of_both_calls_resumes_the_first_answer_in_a_retry() {
    let mut run = hedged(vec![stage("read")]);
    assert_eq!(fail(&mut run, HEDGE, 50), vec![]);
    let route = Action::Route { stage: StageIndex(0), attempt: AttemptNumber(2) };
    assert_eq!(fail(&mut run, FIRST, 10), vec![route]);
    let third = run.handle(NOW, Input::Routed);
    assert_eq!(third, vec![Action::Dispatch { call: call(2), resume: 10 }]);
    let last = fail(&mut run, call(2), 10);
    let [Action::Refuse(refusal)] = last[..] else { panic!("{last:?}") };
    assert_eq!((refusal.code, refusal.ran), (RefusalCode::StageFailed, RunStatus::Unknown));
}

#[test]
fn hedge_without_a_target_costs_no_attempt() {
    let mut run = hedged(vec![Stage { max_attempts: 2, ..stage("read") }]);
    let failure = CallFailure::NotSent;
    assert_eq!(run.handle(NOW, Input::Failed { call: HEDGE, failure, received: 0 }), vec![]);
    assert_eq!(run.handle(NOW, Input::HedgeDue(FIRST)), vec![], "requested only once");
    assert!(matches!(fail(&mut run, FIRST, 0)[..], [Action::Route { .. }]));
}

#[rstest]
#[case(Input::DeadlinePassed)]
#[case(Input::CallerDisconnected)]
fn end_of_the_request_cancels_both_calls(#[case] input: Input) {
    let mut run = hedged(vec![stage("read")]);
    let actions = run.handle(NOW, input);
    assert_eq!(actions[..2], [Action::Cancel(FIRST), Action::Cancel(HEDGE)]);
    assert!(run.is_ended());
}

#[rstest]
#[case::not_repeatable(Stage { idempotent: false, ..stage("sign") }, false, 0)]
#[case::one_attempt(Stage { max_attempts: 1, ..stage("read") }, false, 0)]
#[case::streamed(stage("draft"), true, 0)]
#[case::no_time_left(stage("read"), false, 7_995)]
fn no_hedge(#[case] stage: Stage, #[case] streamed: bool, #[case] millis: u64) {
    let mut run = called(RequestSpec { streamed, ..spec(vec![stage]) });
    let now = NOW + Duration::from_millis(millis);
    assert_eq!(run.handle(now, Input::HedgeDue(FIRST)), vec![]);
}

/// Creates a router with two warm targets that sustain `limit` calls each.
fn router(limit: u32) -> Router {
    let targets = [target("t0", "a"), target("t1", "a")];
    warm_router(&document(limit, &[("w", 1)]), &targets, RouterSettings::default())
}

/// Sends the first call of request `number`.
fn first(router: &mut Router, number: u128) -> Permit {
    sent(router.choose(at(0), &request(number, "w")))
}

/// Requests a hedge of the call under `permit`.
fn hedge(router: &mut Router, millis: u64, permit: &Permit) -> Decision {
    let mut second = request(permit.call.request.0, "w");
    second.call.attempt.0 = 1;
    (second.kind, second.excluded) = (AttemptKind::Hedge, vec![permit.target.clone()]);
    router.choose(at(millis), &second)
}

fn assert_refused(decision: &Decision) {
    let refused = matches!(decision, Decision::Refuse { reason: Reason::HedgeBudget, .. });
    assert!(refused, "{decision:?}");
}

#[test]
fn hedge_is_due_after_twice_the_95th_percentile() {
    let mut router = router(16);
    let permit = first(&mut router, 1);
    let after = router.hedge_delay(&permit).unwrap();
    assert!(after >= LATENCY * 2 && after <= LATENCY * 3, "{after:?}");
}

#[test]
fn refused_hedge_costs_no_budget() {
    let mut router = router(16);
    let permit = first(&mut router, 1);
    for _ in 0..10 {
        assert_refused(&hedge(&mut router, 7_990, &permit));
    }
    let mut no_target = request(1, "w");
    (no_target.kind, no_target.excluded) = (AttemptKind::Hedge, vec!["t0".into(), "t1".into()]);
    for _ in 0..10 {
        assert_refused(&router.choose(at(300), &no_target));
    }
    sent(hedge(&mut router, 300, &permit));
}

#[test]
fn no_hedge_while_calls_wait() {
    let mut router = router(1);
    let (one, two) = (first(&mut router, 1), first(&mut router, 2));
    let waits = router.choose(at(0), &request(3, "w"));
    assert!(matches!(waits, Decision::Wait { .. }), "{waits:?}");
    router.finish_call(at(100), two, answered());
    assert_refused(&hedge(&mut router, 100, &one));
}

#[test]
fn no_hedge_to_a_failing_target() {
    let mut router = router(16);
    let mut calls = vec![first(&mut router, 1), first(&mut router, 2)];
    calls.sort_by_key(|p| p.target.clone());
    let two = calls.remove(1);
    router.finish_call(at(10), two, CallOutcome::Failed);
    assert_refused(&hedge(&mut router, 300, &calls[0]));
}

#[test]
fn no_hedge_to_or_of_a_cold_target() {
    let mut router = router(16);
    let permit = first(&mut router, 1);
    let other = if permit.target.as_str() == "t0" { "t1" } else { "t0" };
    router.connection_lost(at(1), &other.into());
    let grant = common::grant(&mut router, at(1));
    assert_refused(&hedge(&mut router, 300, &permit));
    let cold = sent(router.choose(at(300), &request(2, "w")));
    assert_eq!(cold.grant, Some(grant));
    assert_eq!(router.hedge_delay(&cold), None);
}

#[test]
fn cancelled_call_does_not_penalise_its_target() {
    let mut router = router(16);
    let name = first(&mut router, 0).target;
    let before = router.status(&name).unwrap();
    for number in 1..50 {
        let permit = first(&mut router, number);
        router.finish_call(at(300), permit, CallOutcome::Cancelled);
    }
    let after = router.status(&name).unwrap();
    assert_eq!((after.warmth, after.down, after.limit), (Warmth::Warm, false, before.limit));
}

#[test]
fn slow_stage_is_hedged_within_the_budget() {
    let mut router = router(64);
    let set = RouterSettings::default();
    let calls = 1_000;
    let mut hedges: usize = 0;
    for number in 0..calls {
        let permit = first(&mut router, number);
        // Every call takes ten times the usual time, so a hedge of each is due.
        if let Decision::Send { permit, .. } = hedge(&mut router, 300, &permit) {
            hedges += 1;
            router.finish_call(at(1_000), permit, CallOutcome::Cancelled);
        }
        router.finish_call(at(1_000), permit, answered());
    }
    let budget = calls as f64 * set.hedge_share + set.hedge_burst;
    assert!(hedges as f64 <= budget + 1.0, "{hedges} hedges of {calls} calls");
    assert!(hedges > 0);
}
