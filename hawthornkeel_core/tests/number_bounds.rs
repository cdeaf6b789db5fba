//! Numbers in jobs and reservations of other instances: too many pieces are refused, and times and
//! sizes saturate.

use std::sync::Arc;
use std::time::Duration;

use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::placement::load::TargetLoad;
use hawthornkeel_core::placement::notice::TargetNotice;
use hawthornkeel_core::stages::job::Job;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::stages::job::JobOutcome;
use hawthornkeel_core::stages::job::Locality;
use hawthornkeel_core::stages::job::MAX_PIECES;
use hawthornkeel_core::stages::job::Reservation;
use hawthornkeel_core::stages::scheduler::Action;
use hawthornkeel_core::stages::scheduler::Input;
use hawthornkeel_core::stages::scheduler::Scheduler;
use hawthornkeel_core::stages::scheduler::WorkerInfo;
use hawthornkeel_core::table::pool::StageWorkload;
use hawthornkeel_core::time::Instant;
use rstest::rstest;

const NOW: Instant = Instant::from_millis(1_000);

fn scheduler() -> Scheduler {
    let pool = StageWorkload {
        slots: 1,
        batch_size: 8,
        call_overhead: Duration::from_millis(150),
        piece_time: Duration::from_millis(16),
        memory: 41_000_000,
        result_ttl: Duration::from_secs(4),
    };
    let mut scheduler = Scheduler::new(pool);
    let worker = WorkerInfo {
        name: "t".into(),
        centre: CentreName::new("a"),
        notice: TargetNotice::default(),
        load: TargetLoad::default(),
    };
    scheduler.handle(NOW, Input::Workers(vec![worker]));
    scheduler
}

fn id(request: &str) -> JobId {
    JobId { request: Arc::from(request), stage: 0, pass: 0 }
}

fn job() -> Job {
    Job {
        id: id("r"),
        pieces: 2,
        priority: 0,
        key: Some(Arc::from("k")),
        inputs: Arc::from([]),
        bytes: 1_000,
        due_ms: 2_000,
        end_ms: 5_000,
        near: None,
    }
}

fn far() -> Option<Locality> {
    Some(Locality { centre: CentreName::new("b"), wait_ms: u64::MAX })
}

/// Returns the number of pieces that run, or the outcome of the job.
fn submit(job: Job) -> Result<usize, JobOutcome> {
    let actions = scheduler().handle(NOW, Input::Submit(job));
    match actions.as_slice() {
        [Action::Run { items, .. }] => Ok(items.len()),
        [Action::Reply { outcome, .. }] => Err(outcome.clone()),
        other => panic!("{other:?}"),
    }
}

/// The owner of a scheduler allocated a state for each of four thousand million pieces.
#[rstest]
#[case::most(Job { pieces: u32::MAX, ..job() }, Err(JobOutcome::Failed))]
#[case::more(Job { pieces: MAX_PIECES + 1, ..job() }, Err(JobOutcome::Failed))]
#[case::bound(Job { pieces: MAX_PIECES, ..job() }, Ok(8))]
// Results larger than the memory of a target are made one at a time.
#[case::bytes(Job { bytes: u64::MAX, ..job() }, Ok(1))]
#[case::due(Job { due_ms: u64::MAX, ..job() }, Ok(2))]
#[case::end(Job { end_ms: u64::MAX, ..job() }, Ok(2))]
#[case::priority(Job { priority: u16::MAX, ..job() }, Ok(2))]
#[case::locality(Job { near: far(), ..job() }, Ok(2))]
fn jobs(#[case] job: Job, #[case] expected: Result<usize, JobOutcome>) {
    assert_eq!(submit(job), expected);
}

/// Sizes of results that were added to each other wrapped around.
#[test]
fn sizes_saturate() {
    let mut scheduler = scheduler();
    for request in ["r1", "r2"] {
        let job = Job { id: id(request), bytes: u64::MAX, ..job() };
        let actions = scheduler.handle(NOW, Input::Submit(job));
        assert!(!actions.iter().any(|a| matches!(a, Action::Reply { .. })), "{actions:?}");
    }
}

/// Capacity for more pieces than a job may have was reserved.
#[rstest]
#[case::most(u32::MAX, 2_000, false)]
#[case::more(MAX_PIECES + 1, 2_000, false)]
#[case::bound(MAX_PIECES, 2_000, true)]
#[case::due(2, u64::MAX, true)]
fn reservations(#[case] pieces: u32, #[case] due_ms: u64, #[case] expected: bool) {
    let mut scheduler = scheduler();
    for request in ["r1", "r2", "r3"] {
        let reservation = Reservation { id: id(request), pieces, priority: 0, due_ms };
        assert_eq!(scheduler.reserve(NOW, &reservation).is_some(), expected);
    }
}
