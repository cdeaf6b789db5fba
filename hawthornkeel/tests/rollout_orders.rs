//! Orders of the platform's operators that begin rollouts, and reads of their state.

mod forward_harness;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use crate::forward_harness::Harness;
use crate::forward_harness::document::document;
use crate::forward_harness::operators::call;
use crate::forward_harness::waits::CONTROLS;
use crate::forward_harness::waits::eventually;
use crate::forward_harness::waits::leader;

/// Time within which an order must be acknowledged, as its operator resends it.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// Order that most tests give.
const ORDER: &str = r#"{"service":"ledger","to":"v2","duration_s":600}"#;

/// Starts three control instances with a document in force.
fn start(net: u8) -> Harness {
    let harness = Harness::with_control_instances(net, 3);
    let pools = r#"{"name":"ledger"},{"name":"annex"}"#;
    let document = document(1, "/lots/").replace(r#"{"name":"ledger"}"#, pools);
    assert_eq!(harness.replace_document(&document), 200);
    harness
}

fn request(body: &str) -> String {
    let length = body.len();
    format!(
        "POST /Rollouts.Begin HTTP/1.1\r\nHost: a.example\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Gives an order to one instance once; returns the status, zero without a response.
fn order(harness: &Harness, at: usize, body: &str) -> u16 {
    call(harness.operators(at), &request(body)).map_or(0, |r| r.status)
}

/// Gives an order as operators do: to one instance after the other until one acknowledges it.
fn must_order(harness: &Harness, body: &str) {
    let began = Instant::now();
    let mut statuses = Vec::new();
    for at in (0..CONTROLS).cycle() {
        let status = order(harness, at, body);
        statuses.push(status);
        if status == 200 {
            return;
        }
        let in_time = began.elapsed() < ACK_TIMEOUT;
        assert!(in_time && matches!(status, 0 | 503), "{statuses:?}:\n{}", harness.logs());
        thread::sleep(Duration::from_millis(50));
    }
}

/// Reads the state of a pool's rollout from one instance; `None` without a response.
fn read(harness: &Harness, at: usize, pool: &str) -> Option<(u16, String)> {
    let request = format!(
        "GET /Rollouts.Read/{pool} HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"
    );
    call(harness.operators(at), &request).map(|r| (r.status, r.body))
}

/// Waits until an instance that is running reads a state of the pool's rollout with certainty.
fn must_read(harness: &Harness, at: usize, pool: &str) -> (u16, String) {
    eventually(harness, "no certain state", || {
        read(harness, at, pool).filter(|(status, _)| *status != 503)
    })
}

fn running(version: &str) -> (u16, String) {
    (200, format!(r#"{{"state":"running","to":"{version}"}}"#))
}

// A row of the wire's table is answered with another status, or an order that is refused changes
// something.
#[test]
fn order_statuses() {
    let harness = start(61);
    leader(&harness);
    let refused = [
        r#"{"service":"nothing","to":"v2","duration_s":600}"#,
        r#"{"service":"portal","to":"v2","duration_s":600}"#,
        r#"{"service":"ledger","to":"","duration_s":600}"#,
        r#"{"service":"ledger","to":"v2","duration_s":0.5}"#,
        r#"{"service":"ledger","to":"v2"}"#,
        "[]",
    ];
    for (at, body) in refused.iter().enumerate() {
        assert_eq!(order(&harness, at % CONTROLS, body), 400, "{body}");
    }
    for pool in ["ledger", "portal", "nothing"] {
        assert_eq!(must_read(&harness, 0, pool).0, 404, "{pool}");
    }
    must_order(&harness, ORDER);
    for at in 0..CONTROLS {
        assert_eq!(must_read(&harness, at, "ledger"), running("v2"));
        assert_eq!(order(&harness, at, ORDER), 200, "a copy at {at}");
        for other in [ORDER.replace("v2", "v3"), ORDER.replace("600", "601")] {
            assert_eq!(order(&harness, at, &other), 409, "{other} at {at}");
        }
    }
    assert_eq!(must_read(&harness, 1, "ledger"), running("v2"));
}

// Copies of one order at several instances begin more than one rollout, or one of them is refused; a
// copy at the instance that handles the first one still is not refused.
#[test]
fn copies_at_once() {
    let harness = start(62);
    leader(&harness);
    let statuses: Vec<u16> = thread::scope(|scope| {
        let harness = &harness;
        let call = |at| scope.spawn(move || order(harness, at, ORDER));
        let calls = [0, 0, 1, 2].map(call);
        calls.into_iter().map(|c| c.join().unwrap()).collect()
    });
    let mut first = [statuses[0], statuses[1]];
    first.sort_unstable();
    assert_eq!((first, &statuses[2..]), ([200, 409], &[200, 200][..]), "{}", harness.logs());
    let log = harness.settled_logs();
    let ids = log.lines().filter(|l| l.contains("event=rollout-ordered"));
    let mut ids: Vec<_> = ids.filter_map(|l| l.split(" id=").nth(1)?.split(' ').next()).collect();
    ids.dedup();
    assert_eq!(ids.len(), 1, "{log}");
}

// An order is acknowledged before it is durable at a quorum, so that it is lost with the power or with
// one disk.
#[test]
fn survives_kills_and_lost_disk() {
    let mut harness = start(63);
    let leader = leader(&harness);
    must_order(&harness, ORDER);
    (0..CONTROLS).for_each(|at| harness.kill(at));
    harness.remove_data(leader);
    (0..CONTROLS).for_each(|at| harness.spawn(at));
    for at in 0..CONTROLS {
        assert_eq!(must_read(&harness, at, "ledger"), running("v2"));
    }
}

// An order that the old leader took over is lost or given twice when another one leads; an instance
// that was suspended meanwhile reads an older state, or gives an order whose operator has left.
#[test]
fn change_of_leader() {
    let harness = start(64);
    let old = leader(&harness);
    let other = (old + 1) % CONTROLS;
    harness.signal(old, Signal::STOP);
    // The operator closes its connection, which the instance reads behind the order.
    let mut caller = TcpStream::connect(harness.operators(old)).unwrap();
    caller.write_all(request(&ORDER.replace("ledger", "annex")).as_bytes()).unwrap();
    drop(caller);
    eventually(&harness, "no acknowledgement", || {
        let status = order(&harness, other, ORDER);
        assert!(matches!(status, 200 | 503), "{status}");
        (status == 200).then_some(())
    });
    harness.signal(old, Signal::CONT);
    for _ in 0..20 {
        let state = read(&harness, old, "ledger");
        assert!(state.is_none_or(|s| s.0 == 503 || s == running("v2")), "older state");
    }
    assert_eq!(must_read(&harness, old, "ledger"), running("v2"));
    eventually(&harness, "order not read", || {
        harness.log(old).contains("path=/Rollouts.Begin status=").then_some(())
    });
    assert_eq!(must_read(&harness, other, "annex").0, 404, "given for a caller who had left");
}

// An instance without a quorum acknowledges an order, or reads a state that it can't be certain of.
#[test]
fn no_quorum() {
    let harness = start(65);
    let leader = leader(&harness);
    must_order(&harness, ORDER);
    (0..CONTROLS).filter(|at| *at != leader).for_each(|at| harness.signal(at, Signal::STOP));
    let began = Instant::now();
    eventually(&harness, "still certain", || {
        read(&harness, leader, "ledger").filter(|(status, _)| *status == 503)
    });
    assert!(began.elapsed() < ACK_TIMEOUT, "{:?}", began.elapsed());
    assert_eq!(order(&harness, leader, ORDER), 503);
    (0..CONTROLS).for_each(|at| harness.signal(at, Signal::CONT));
    assert_eq!(must_read(&harness, leader, "ledger"), running("v2"));
}

// An order of our own operators has another effect than one of the platform's, or a rollout that was
// taken back is read as running at another instance.
#[test]
fn taken_back() {
    let harness = start(66);
    let leader = leader(&harness);
    let admin = |at: usize, line: &str, body: &str| {
        let length = body.len();
        let request =
            format!("{line} HTTP/1.1\r\nHost: a.example\r\nContent-Length: {length}\r\n\r\n{body}");
        call(harness.admin(at), &request).unwrap()
    };
    let begin = r#"{"pool":"ledger","version":"v2","duration_ms":600000}"#;
    let begun = admin((leader + 1) % CONTROLS, "POST /admin/rollout", begin);
    assert!(begun.body.contains(r#""result":"recorded""#), "{begun:?}");
    assert_eq!(order(&harness, leader, ORDER), 200, "a copy");
    let back = admin((leader + 2) % CONTROLS, "POST /admin/roll-back", r#"{"pool":"ledger"}"#);
    assert!(back.body.contains(r#""cause":"Ordered""#), "{back:?}");
    for at in 0..CONTROLS {
        let expected = (200, r#"{"state":"rolled_back","to":"v2"}"#.to_owned());
        assert_eq!(must_read(&harness, at, "ledger"), expected);
    }
    let listed = admin(leader, "GET /admin/rollouts", "").body;
    assert!(listed.contains(r#""phase":"RolledBack""#), "{listed}");
    assert!(harness.settled_logs().contains("event=rollout-ended"), "{}", harness.logs());
    let series = r#"hawthornkeel_rollout_phase{pool="ledger",version="v2",phase="rolled-back"} 1"#;
    let metrics = admin(leader, "GET /metrics", "").body;
    assert!(metrics.contains(series), "{metrics}");
    assert_eq!(order(&harness, leader, ORDER), 200, "a late copy");
    assert_eq!(must_read(&harness, leader, "ledger").1, r#"{"state":"rolled_back","to":"v2"}"#);
    must_order(&harness, &ORDER.replace("v2", "v3"));
    assert_eq!(must_read(&harness, leader, "ledger"), running("v3"));
}
