//! Targets that take long: within the deadline, and beyond it.

mod fleet;

use fleet::Fleet;
use fleet::HttpResponse;
use fleet::KEY;
use fleet::TEST_TIMEOUT;
use hawthornkeel_fakes::thread::eventually;
use rstest::rstest;

/// Longest call to a cold target, in milliseconds: longer than any deadline.
const GRANT_MS: u64 = 9_000;
/// Deadline of a request whose answer comes late, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 3_000;

/// Starts a fleet with one target of each pool in each of `centres` data centres.
fn start(centres: usize, warm: bool) -> Fleet {
    let mut fleet = Fleet::prepare_with_grant(4, centres, GRANT_MS);
    fleet.start_all();
    if warm {
        fleet.warm_up();
        return fleet;
    }
    // One call each leaves the targets cold, with an issuer of grants known.
    let served = || fleet.call(0, "warm", "", "{}").is_some_and(|a| a.status == 200);
    assert!(eventually(TEST_TIMEOUT, served), "{}", fleet.log(0));
    fleet
}

fn slow(fleet: &Fleet, pool: &str, millis: u64) {
    for target in fleet.pool(pool) {
        target.thread.configure(&format!("{{\"floor_ms\":{millis}}}")).unwrap();
    }
}

#[rstest]
#[case("release", "registry", "slow-1")]
#[case("draft", "readers", "")]
fn slow_stage_is_waited_for(#[case] pipeline: &str, #[case] pool: &str, #[case] key: &str) {
    let fleet = start(2, true);
    slow(&fleet, pool, 4_000);
    let answer = fleet.call(0, pipeline, key, "{\"lot\":1}").unwrap();
    assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(0));
}

/// Calls the release pipeline under a deadline of [`SHORT_DEADLINE_MS`].
fn release_soon(fleet: &Fleet, key: &str) -> Option<HttpResponse> {
    let fields = format!(
        "authorization: Bearer {KEY}\r\nidempotency-key: {key}\r\n\
         x-deadline-ms: {SHORT_DEADLINE_MS}\r\n"
    );
    fleet::post(fleet.instances[0].listen, "/v1/pipelines/release", &fields, "{\"lot\":1}")
}

#[rstest]
#[case("late-1", true)]
#[case("late-2", false)]
fn answer_after_the_deadline_is_kept_for_the_resend(#[case] key: &str, #[case] warm: bool) {
    let fleet = start(1, warm);
    slow(&fleet, "registry", SHORT_DEADLINE_MS + 200);
    let told = release_soon(&fleet, key).unwrap();
    assert_eq!(told.field("ran"), "unknown", "{told:?}\n{}", fleet.log(0));
    let replayed = eventually(TEST_TIMEOUT, || {
        let again = fleet.call(1, "release", key, "{\"lot\":1}");
        again.is_some_and(|a| a.status == 200)
    });
    assert!(replayed, "{}", fleet.log(0));
    assert_eq!(fleet.runs("registry", key), 1);
}
