//! Calls of operators to control instances, and what these have in force.

use std::net::SocketAddr;

use hawthornkeel_fakes::raw_client::RawClient;
use hawthornkeel_fakes::raw_client::RawResponse;
use serde_json::Value;

use crate::forward_harness::Harness;
use crate::forward_harness::waits::eventually;

/// Request for the status of all instances.
const STATUS: &str = "GET /admin/status HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n";

/// Sends a request on a new connection and returns its response.
pub fn call(to: SocketAddr, request: &str) -> Option<RawResponse> {
    let mut caller = RawClient::connect(to).ok()?;
    caller.send(request).ok()?;
    caller.read_response().ok()
}

/// Returns the request of an order that takes a data centre out, or brings it back.
pub fn centre_order(centre: &str, take_out: bool) -> String {
    let path = if take_out { "/Evacuation.Begin" } else { "/Evacuation.Finish" };
    format!("POST {path}/{centre} HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n")
}

/// Gives an order to one of the instances after the other until it is acknowledged.
pub fn must_order(harness: &Harness, at: &[usize], request: &str) {
    eventually(harness, "no acknowledgement", || {
        let acknowledges =
            |at: &&usize| call(harness.operators(**at), request).is_some_and(|r| r.status == 200);
        at.iter().find(acknowledges).map(|_| ())
    });
}

/// Returns the status of one instance as it reports it itself.
pub fn status(harness: &Harness, at: usize) -> Option<Value> {
    let response = call(harness.admin(at), STATUS)?;
    let status: Value = serde_json::from_str(&response.body).ok()?;
    let name = harness.admin(at).ip().to_string();
    status["instances"].as_array()?.iter().find(|i| i["name"] == name.as_str()).cloned()
}

/// Returns whether a data centre is out of service, as an instance reports it itself.
pub fn is_taken_out(harness: &Harness, at: usize, centre: &str) -> Option<bool> {
    Some(status(harness, at)?["taken_out"].as_array()?.iter().any(|c| c == centre))
}
