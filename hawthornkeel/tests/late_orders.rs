//! Orders of operators that a control instance reads long after they were sent.

mod forward_harness;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_fakes::raw_client::RawClient;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::Value;

use crate::forward_harness::Harness;
use crate::forward_harness::document::document;
use crate::forward_harness::waits::eventually;
use crate::forward_harness::waits::leader;

/// Number of control instances.
const CONTROLS: usize = 3;
/// Data centre that the orders are about.
const CENTRE: &str = "z1";
/// Time in which an order that was read late would have been committed.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Orders of an operator about the data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Order {
    Begin,
    Finish,
}

impl Order {
    fn request(self) -> String {
        let path = match self {
            Self::Begin => "/Evacuation.Begin",
            Self::Finish => "/Evacuation.Finish",
        };
        format!("POST {path}/{CENTRE} HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n")
    }

    fn opposite(self) -> Self {
        match self {
            Self::Begin => Self::Finish,
            Self::Finish => Self::Begin,
        }
    }
}

/// Sends a request on a new connection and returns the status and body of its response.
fn call(to: SocketAddr, request: &str) -> Option<(u16, String)> {
    let mut caller = RawClient::connect(to).ok()?;
    caller.send(request).ok()?;
    caller.read_response().ok().map(|r| (r.status, r.body))
}

/// Gives an order to one instance after the other until it is acknowledged.
fn must_order(harness: &Harness, at: &[usize], order: Order) {
    eventually(harness, "no acknowledgement", || {
        let acknowledges = |at: &&usize| {
            call(harness.operators(**at), &order.request()).is_some_and(|(status, _)| status == 200)
        };
        at.iter().find(acknowledges).map(|_| ())
    });
}

/// Returns whether the data centre is out of service, as an instance reports it itself.
fn is_taken_out(harness: &Harness, at: usize) -> Option<bool> {
    let request = "GET /admin/status HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n";
    let (_, body) = call(harness.admin(at), request)?;
    let status: Value = serde_json::from_str(&body).ok()?;
    let name = harness.admin(at).ip().to_string();
    let own = status["instances"].as_array()?.iter().find(|i| i["name"] == name.as_str())?;
    Some(own["taken_out"].as_array()?.iter().any(|c| c == CENTRE))
}

// A control instance that woke had an order committed that was superseded while it stood still.
#[rstest]
#[case::follower_wakes_with_finish(241, false, Order::Finish)]
#[case::follower_wakes_with_begin(242, false, Order::Begin)]
#[case::leader_wakes_with_finish(243, true, Order::Finish)]
#[case::leader_wakes_with_begin(244, true, Order::Begin)]
fn superseded_order_obeyed(#[case] net: u8, #[case] leads: bool, #[case] order: Order) {
    let harness = Harness::with_control_instances(net, 3);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    let leader = leader(&harness);
    let frozen = if leads { leader } else { (leader + 1) % CONTROLS };
    let others: Vec<_> = (0..CONTROLS).filter(|at| *at != frozen).collect();
    must_order(&harness, &others, order.opposite());
    harness.signal(frozen, Signal::STOP);
    let mut given_up = RawClient::connect(harness.operators(frozen)).unwrap();
    given_up.send(order.request()).unwrap();
    drop(given_up);
    must_order(&harness, &others, order);
    must_order(&harness, &others, order.opposite());
    harness.signal(frozen, Signal::CONT);
    let until = Instant::now() + SETTLE_TIME;
    let expected = order.opposite() == Order::Begin;
    eventually(&harness, "not in force", || {
        (0..CONTROLS).all(|at| is_taken_out(&harness, at) == Some(expected)).then_some(())
    });
    while Instant::now() < until {
        for at in 0..CONTROLS {
            let taken_out = is_taken_out(&harness, at);
            assert!(taken_out.is_none_or(|t| t == expected), "{at}:\n{}", harness.logs());
        }
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn orders_follow_one_another() {
    let harness = Harness::with_control_instances(245, 3);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    leader(&harness);
    for round in 0..6 {
        let order = if round % 2 == 0 { Order::Begin } else { Order::Finish };
        // Each instance gets a copy, as from an operator whose acknowledgements are lost.
        let acknowledged = thread::scope(|scope| {
            let copies: Vec<_> = (0..CONTROLS)
                .map(|at| {
                    let to = harness.operators(at);
                    scope.spawn(move || call(to, &order.request()))
                })
                .collect();
            copies
                .into_iter()
                .map(|c| c.join().unwrap().map(|(status, _)| status))
                .collect::<Vec<_>>()
        });
        assert!(acknowledged.iter().all(|s| *s == Some(200)), "{round}: {acknowledged:?}");
        let expected = order == Order::Begin;
        eventually(&harness, "not in force", || {
            (0..CONTROLS).all(|at| is_taken_out(&harness, at) == Some(expected)).then_some(())
        });
    }
}

#[test]
fn opposite_orders_at_once() {
    let harness = Harness::with_control_instances(246, 3);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    leader(&harness);
    for round in 0..4 {
        let orders = [Order::Begin, Order::Finish, Order::Begin];
        let statuses = thread::scope(|scope| {
            let calls: Vec<_> = (0..CONTROLS)
                .map(|at| {
                    let to = harness.operators(at);
                    scope.spawn(move || call(to, &orders[at].request()).map(|(status, _)| status))
                })
                .collect();
            calls.into_iter().map(|c| c.join().unwrap()).collect::<Vec<_>>()
        });
        assert!(statuses.iter().all(|s| *s == Some(200)), "{round}: {statuses:?}");
        let same = || {
            let all: Vec<_> = (0..CONTROLS).map(|at| is_taken_out(&harness, at)).collect();
            (all[0].is_some() && all.iter().all(|s| *s == all[0])).then_some(())
        };
        eventually(&harness, "not the same everywhere", same);
    }
}
