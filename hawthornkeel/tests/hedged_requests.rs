//! Hedged requests of forwarded routes, through real processes and sockets.

mod forward_harness;

use std::net::SocketAddr;

use crate::forward_harness::Harness;
use crate::forward_harness::HttpResponse;
use crate::forward_harness::metrics::metrics;

const KEY: &str = "Authorization: Token k1\r\n";
/// Number of quick requests, of which the slow ones of a test are too few to raise the quantile.
const WARM_UP: usize = 150;
/// Setting that the harness writes for an entry, to which the tests add.
const SETTING: &str = "retry_slack = 100";

/// Starts a harness whose first entry has more settings, and has served a few requests.
fn start(net: u8, settings: &str) -> Harness {
    let mut harness = Harness::start(net);
    let centre = "data_centre = \"a\"";
    let metrics = format!("{centre}\nmetrics = \"{}\"", metrics_address(&harness));
    harness.replace_setting(1, centre, &metrics);
    harness.restart_with(1, SETTING, &format!("{SETTING}\n{settings}"));
    harness.serve_routes();
    for number in 0..WARM_UP {
        let path = format!("/hedged/{number}");
        assert_eq!(call(&harness, "GET", &path, "warm").status, 200, "{}", harness.logs());
    }
    harness
}

/// Returns the address of the first entry's metrics, on a port that the harness leaves free.
fn metrics_address(harness: &Harness) -> SocketAddr {
    let entry = harness.entry(0);
    SocketAddr::new(entry.ip(), entry.port() - 2)
}

/// Returns the value of a series of the pool's hedges; zero without one.
fn hedge_count(harness: &Harness, name: &str) -> f64 {
    let series = format!("hawthornkeel_forward_{name}_total{{pool=\"ledger\"}} ");
    let page = metrics(metrics_address(harness));
    let value = page.lines().find_map(|line| line.strip_prefix(&series)?.trim().parse().ok());
    value.unwrap_or_default()
}

fn call(harness: &Harness, method: &str, path: &str, id: &str) -> HttpResponse {
    harness.call(method, path, &format!("{KEY}Request-Id: {id}\r\n"), "")
}

/// Request that is slow at the target that gets it first.
struct Case {
    name: &'static str,
    path: &'static str,
    status: u16,
    /// End of the line of the race, or nothing if neither attempt wins it.
    end: &'static str,
}

const CASES: [Case; 6] = [
    Case {
        name: "hedge-wins",
        path: "/hedged/left",
        status: 200,
        end: "hedge=true cancelled=true",
    },
    Case {
        name: "first-wins",
        path: "/hedged/late-first",
        status: 200,
        end: "hedge=false cancelled=true",
    },
    Case {
        name: "first-broken",
        path: "/hedged/late-cut",
        status: 200,
        end: "hedge=true cancelled=false",
    },
    Case {
        name: "hedge-broken",
        path: "/hedged/cut-second",
        status: 200,
        end: "hedge=false cancelled=false",
    },
    Case {
        name: "hedge-fails",
        path: "/hedged/second-fails",
        status: 200,
        end: "hedge=false cancelled=false",
    },
    Case { name: "both-fail", path: "/hedged/late-failure", status: 500, end: "" },
];

/// Guards against a response that is partial, from the attempt that lost, or missing though one of
/// the attempts was whole, and against a cancelled attempt that goes on at its target.
#[test]
fn first_whole_response_is_returned() {
    let harness = start(206, "hedge_share = 1.0");
    for Case { name, path, status, end } in CASES {
        let cut = harness.disconnects();
        let got = call(&harness, "GET", path, name);
        assert_eq!(got.status, status, "{name}: {got:?}\n{}", harness.logs());
        let requests = harness.requests(&format!("GET {path}?"));
        let [first, second] = requests.as_slice() else {
            panic!("{name}: {requests:?}\n{}", metrics(metrics_address(&harness)))
        };
        assert_ne!(first.target, second.target, "{name}");
        harness.wait_for_log(&format!("event=hedge-sent request={name} "));
        if status != 200 {
            continue;
        }
        let winner = if end.starts_with("hedge=true") { second.target } else { first.target };
        assert_eq!(got.body, format!("{winner} {path}"), "{name}");
        harness.wait_for_log(&format!("event=hedge-ended request={name} target={winner} {end}"));
        harness.wait_for_log(&format!("event=request-ended request={name} "));
        if end.ends_with("cancelled=true") {
            // The target sees that the connection of the other attempt is closed.
            harness.wait_for_disconnects(cut + 1);
        }
    }
    let sent = hedge_count(&harness, "hedges");
    assert!(sent >= CASES.len() as f64, "{sent}");
    let won = hedge_count(&harness, "hedges_won");
    assert!(won >= 2.0 && won <= sent, "{won} of {sent}");
}

/// Guards against a request that runs twice though it may run only once, and against a stream that
/// is read whole.
#[test]
fn others_are_never_hedged() {
    let harness = start(207, "hedge_share = 1.0");
    for number in 0..WARM_UP {
        let id = format!("sign-{number}");
        assert_eq!(call(&harness, "POST", "/sign/quick", &id).status, 200);
    }
    for (method, path) in [("POST", "/sign/wait-400"), ("GET", "/events/drip-3")] {
        let got = call(&harness, method, path, "slow");
        assert_eq!(got.status, 200, "{path}: {got:?}");
        assert_eq!(harness.requests(&format!("{method} {path}?")).len(), 1, "{path}");
    }
    assert!(!harness.settled_logs().contains("hedge-sent request=slow"), "{}", harness.logs());
}

/// Guards against hedges without a setting, or beyond a share of no request.
#[test]
fn off_sends_nothing() {
    let harness = start(208, "hedge_quantile = 0.5");
    let got = call(&harness, "GET", "/hedged/late-first", "slow");
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(harness.requests("GET /hedged/late-first?").len(), 1);
    assert!(!harness.settled_logs().contains("hedge-"), "{}", harness.logs());
}
