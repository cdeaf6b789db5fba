//! Control requests to a fake target: configuration, recorded runs, load and orders.

use std::time::Duration;
use std::time::Instant;

use http::Method;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::behaviour::Behaviour;
use crate::http1::ReceivedRequest;
use crate::record::OrderRecord;
use crate::target::Target;

/// Handles a control request and returns the status and body of its response; `None` for a call.
pub(crate) fn handle(target: &Target, request: &ReceivedRequest) -> Option<(u16, Vec<u8>)> {
    let response = match (&request.head.method, request.head.uri.path()) {
        (&Method::GET, "/runs") => (200, to_json(&*target.shared.report.borrow())),
        (&Method::GET, "/load") => (200, load_report(target)),
        (&Method::GET, "/health") => (200, b"{}".to_vec()),
        (&Method::POST, "/behave") => configure(target, &request.body),
        (&Method::POST, "/restart") => {
            target.restart();
            (200, b"{}".to_vec())
        }
        (&Method::POST, "/silence") => {
            // Calls on connections that are open now never get a response; new connections work.
            let count = target.shared.accepted.get();
            target.shared.hung_before.set(count);
            (200, b"{}".to_vec())
        }
        (&Method::POST, "/orders") => accept_order(target, &request.body),
        _ => return None,
    };
    Some(response)
}

/// Overrides fields of the behaviour with those of the JSON object in `body`.
fn configure(target: &Target, body: &[u8]) -> (u16, Vec<u8>) {
    let overrides = serde_json::from_slice::<serde_json::Map<String, Value>>(body);
    let Ok(overrides) = overrides else { return (400, b"no object".to_vec()) };
    let mut value = json!(&*target.shared.behaviour.borrow());
    if let Value::Object(fields) = &mut value {
        fields.extend(overrides);
    }
    match serde_json::from_value::<Behaviour>(value) {
        Ok(behaviour) => {
            *target.shared.behaviour.borrow_mut() = behaviour;
            (200, b"{}".to_vec())
        }
        Err(error) => (400, error.to_string().into_bytes()),
    }
}

/// Returns the load report, with a load sample that is refreshed every `load_lag_ms`.
fn load_report(target: &Target) -> Vec<u8> {
    let lag = Duration::from_millis(target.shared.behaviour.borrow().load_lag_ms);
    let report = target.shared.report.borrow();
    let mut sampled = target.shared.sampled_load.borrow_mut();
    let running = if lag.is_zero() { report.running } else { sampled.1 };
    if sampled.0.elapsed() >= lag {
        *sampled = (Instant::now(), report.running);
    }
    let load = json!({
        "incarnation": report.incarnation,
        "running": running,
        "waiting": 0,
        "cold": target.is_cold(),
    });
    load.to_string().into_bytes()
}

#[derive(Deserialize)]
struct Fencing {
    fencing: u64,
}

/// Records an order and refuses it where its fencing number is outdated and fencing is on.
fn accept_order(target: &Target, body: &[u8]) -> (u16, Vec<u8>) {
    let Ok(order) = serde_json::from_slice::<Fencing>(body) else {
        return (400, b"{}".to_vec());
    };
    let outdated = order.fencing < target.shared.fencing.get();
    let accepted = !(outdated && target.shared.behaviour.borrow().fencing);
    let record = OrderRecord {
        fencing: order.fencing,
        accepted,
        body: serde_json::from_slice(body).unwrap_or_default(),
    };
    target.shared.report.borrow_mut().orders.push(record);
    if !accepted {
        return (409, b"{}".to_vec());
    }
    target.shared.fencing.set(order.fencing.max(target.shared.fencing.get()));
    (200, b"{}".to_vec())
}

fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
