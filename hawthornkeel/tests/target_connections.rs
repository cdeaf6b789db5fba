//! Connections to targets: reuse, timeouts, stale connections and cancelled calls.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel::target::call::Call;
use hawthornkeel::target::client::Client;
use hawthornkeel::target::client::ClientLimits;
use hawthornkeel::target::error::CallError;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_fakes::behaviour::Behaviour;
use hawthornkeel_fakes::behaviour::Fault;
use hawthornkeel_fakes::record::Outcome;
use hawthornkeel_fakes::tcp_relay::TcpRelay;
use hawthornkeel_fakes::thread;
use hawthornkeel_fakes::thread::TargetThread;
use monoio::time::timeout;

const LIMIT: Duration = Duration::from_secs(5);
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);
/// Initial retransmission timeout of a SYN (RFC 6298).
const SYN_TIMEOUT: Duration = Duration::from_secs(1);

fn call(number: u128) -> Call {
    Call {
        id: CallId { request: RequestId(number), ..CallId::default() },
        body: Bytes::from_static(b"{}"),
        progress_timeout: Duration::from_millis(200),
        timeout: LIMIT,
        ..Call::default()
    }
}

fn start(behaviour: Behaviour) -> (TargetThread, Client) {
    let target = TargetThread::start(behaviour).unwrap();
    (target, Client::new(ClientLimits::default()))
}

async fn call_all(client: &Client, target: TargetThread, count: u128, idempotent: bool) {
    for number in 0..count {
        let call = Call { idempotent, ..call(number) };
        client.call(target.address, &call).await.unwrap();
    }
}

#[test]
fn connection_is_reused() {
    let (target, client) = start(Behaviour::default());
    thread::block_on(call_all(&client, target, 10, true)).unwrap();
    assert_eq!(target.report().unwrap().connections, 1);
}

#[test]
fn non_idempotent_call_opens_connection() {
    let (target, client) = start(Behaviour::default());
    thread::block_on(async {
        call_all(&client, target, 3, true).await;
        // A pooled connection that broke unnoticed would leave the outcome unknown.
        target.restart().unwrap();
        call_all(&client, target, 3, false).await;
    })
    .unwrap();
    let report = target.report().unwrap();
    assert_eq!(report.connections, 4);
    assert_eq!(report.runs.len(), 6);
}

#[test]
fn missing_echo_prevents_reuse() {
    let (target, client) = start(Behaviour { echo_id: false, ..Behaviour::default() });
    thread::block_on(call_all(&client, target, 3, true)).unwrap();
    assert_eq!(target.report().unwrap().connections, 3);
}

#[test]
fn stale_connection_is_replaced() {
    let (target, client) = start(Behaviour::default());
    thread::block_on(async {
        call_all(&client, target, 1, true).await;
        target.restart().unwrap();
        call_all(&client, target, 2, true).await;
    })
    .unwrap();
    let report = target.report().unwrap();
    assert_eq!((report.connections, report.runs.len()), (2, 3));
}

#[test]
fn silent_connection_is_replaced() {
    let (target, client) = start(Behaviour::default());
    thread::block_on(async {
        call_all(&client, target, 1, true).await;
        target.hang_connections().unwrap();
        // The call succeeds on a fresh connection, so the target is not considered faulty.
        call_all(&client, target, 3, true).await;
    })
    .unwrap();
    let report = target.report().unwrap();
    assert_eq!((report.connections, report.runs.len()), (2, 4));
}

/// A call on a silent connection waited for its progress timeout.
#[test]
fn requested_resend_is_answered() {
    let (target, client) = start(Behaviour::default());
    thread::block_on(async {
        call_all(&client, target, 1, true).await;
        target.hang_connections().unwrap();
        let call = Call { progress_timeout: LIMIT, ..call(2) };
        let resend = call.resend.clone();
        assert!(!resend.is_possible());
        let begun = Instant::now();
        let asking = monoio::spawn(async move {
            monoio::time::sleep(POLL_TIMEOUT).await;
            assert!(resend.is_possible());
            resend.request();
        });
        // The target is judged by the second exchange alone.
        let lost = client.call(target.address, &call).await.unwrap().lost_time;
        assert!(lost >= POLL_TIMEOUT && lost <= begun.elapsed(), "{lost:?}");
        asking.await;
        assert!(!call.resend.is_possible());
    })
    .unwrap();
    assert_eq!(target.report().unwrap().connections, 2);
}

/// A call on a new connection that is only slow ran twice.
#[test]
fn new_connection_is_kept() {
    let (target, client) = start(Behaviour { floor_ms: 100, ..Behaviour::default() });
    thread::block_on(async {
        let call = call(1);
        let resend = call.resend.clone();
        let asking = monoio::spawn(async move {
            monoio::time::sleep(Duration::from_millis(20)).await;
            assert!(!resend.is_possible());
            resend.request();
        });
        let response = client.call(target.address, &call).await.unwrap();
        assert_eq!(response.lost_time, Duration::ZERO);
        asking.await;
    })
    .unwrap();
    let report = target.report().unwrap();
    assert_eq!((report.connections, report.runs.len()), (1, 1));
}

#[test]
fn poll_timeout_closes_idle_connections() {
    let (target, client) = start(Behaviour { floor_ms: 20, ..Behaviour::default() });
    thread::block_on(async {
        // Opens two idle connections, both of which stop responding.
        let tasks = [1, 2].map(|number| {
            let client = client.clone();
            let task = async move { client.call(target.address, &call(number)).await.map(drop) };
            monoio::spawn(task)
        });
        for task in tasks {
            task.await.unwrap();
        }
        target.hang_connections().unwrap();
        // A poll has no time for a second attempt; the next call must not use the other connection.
        let poll = Call { timeout: POLL_TIMEOUT, progress_timeout: POLL_TIMEOUT, ..call(3) };
        assert_eq!(client.call(target.address, &poll).await.unwrap_err(), CallError::TimedOut);
        let next = Call { progress_timeout: LIMIT, ..call(4) };
        client.call(target.address, &next).await.unwrap();
    })
    .unwrap();
    assert_eq!(target.report().unwrap().connections, 3);
}

#[test]
fn unanswered_connect_times_out() {
    let (target, client) = start(Behaviour::default());
    let relay = TcpRelay::new(target.address).unwrap();
    relay.set_blocked(true).unwrap();
    let call = Call { progress_timeout: LIMIT, ..call(1) };
    let start = Instant::now();
    let result = thread::block_on(client.call(relay.address, &call)).unwrap();
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
    assert!(start.elapsed() < SYN_TIMEOUT, "{:?}", start.elapsed());
}

#[test]
fn timed_out_call_runs_once() {
    let (target, client) = start(Behaviour { fault: Fault::NoResponse, ..Behaviour::default() });
    thread::block_on(async {
        let call = Call { idempotent: false, ..call(1) };
        let result = client.call(target.address, &call).await;
        assert_eq!(result.unwrap_err(), CallError::TimedOut);
    })
    .unwrap();
    assert_eq!(target.report().unwrap().runs.len(), 1);
}

#[test]
fn dropped_call_is_cancelled() {
    let (target, client) = start(Behaviour { floor_ms: 100, ..Behaviour::default() });
    thread::block_on(async {
        call_all(&client, target, 1, true).await;
        let call = Call { timeout: LIMIT, ..call(7) };
        let dropped = client.call(target.address, &call);
        assert!(timeout(Duration::from_millis(30), dropped).await.is_err());
        call_all(&client, target, 2, true).await;
    })
    .unwrap();
    let cancelled = |o| target.report().unwrap().runs[1].outcome == o;
    assert!(thread::eventually(LIMIT, || cancelled(Outcome::Cancelled)));
    // The first connection was closed with the dropped call.
    assert_eq!(target.report().unwrap().connections, 2);
}

#[test]
fn idle_connections_are_bounded() {
    let target = TargetThread::start(Behaviour { floor_ms: 50, ..Behaviour::default() }).unwrap();
    let client = Client::new(ClientLimits { max_idle: 2, ..ClientLimits::default() });
    thread::block_on(async {
        for _ in 0..2 {
            let mut tasks = Vec::new();
            for number in 0..5 {
                let client = client.clone();
                tasks.push(monoio::spawn(async move {
                    client.call(target.address, &call(number)).await.map(drop)
                }));
            }
            for task in tasks {
                task.await.unwrap();
            }
        }
    })
    .unwrap();
    assert_eq!(target.report().unwrap().connections, 8);
}
