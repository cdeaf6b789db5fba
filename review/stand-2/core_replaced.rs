//! Two machines of the core are replaced, one after the other, each by one that has had its time.

use crate::fleet::Fleet;
use crate::fleet::call;
use crate::fleet::plain_runner;
use crate::fleet::sleep;

/// Time that a successor has before the machine that it replaces is stopped; `catch_up_s` is 4.
const SUCCESSOR_TIME: f64 = 4.5;
/// `recovery_s`.
const RECOVERY: f64 = 12.0;
/// Time for which the manifest is read back at the end; `contact_window_ms` is 3,000.
const READ_TIME: f64 = 10.0;

fn manifest(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"one.example\",\
         \"path_prefix\":\"/one/\",\"route_type\":\"idempotent\",\"timeout_ms\":1000,\
         \"target_latency_ms\":100,\"priority\":1,\"service\":\"ledger\",\"max_attempts\":2,\
         \"stages\":[],\"public\":false,\"session_affinity\":false,\"stream_resumption\":false,\
         \"target_gap_ms\":0}}],\"services\":[{{\"name\":\"ledger\",\"health_check_path\":\"/health\",\
         \"max_connections\":100,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
         \"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"tenant-1\",\
         \"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}

/// Sends keyed requests for `seconds`, five a second; returns how many were sent and served.
fn consume(fleet: &Fleet, label: &str, seconds: f64) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    let end = fleet.record.time() + seconds;
    while fleet.record.time() < end {
        let ip = &fleet.entries[sent % fleet.entries.len()];
        let id = format!("{label}{sent:08}");
        let fields = format!(
            "Host: one.example\r\nRequest-Id: {id}\r\nDeadline-Milliseconds: 1000\r\n\
             Authorization: Token key-1\r\n"
        );
        let status = call(&format!("{ip}:8625"), "GET /one/x", &fields, b"", 1.2).map_or(0, |m| m.status());
        fleet.record.line(format!("request {id}: {status}"));
        sent += 1;
        served += usize::from(status == 200);
        sleep(0.2);
    }
    (sent, served)
}

pub fn run(trouble: bool) -> i32 {
    let mut fleet = Fleet::new(3, 2);
    let record = fleet.record.clone();
    let runner = format!("{}.3.1:8743", fleet.net);
    plain_runner(&record, "i-1", &runner, 0.01);
    fleet.list_runner("i-1", "ledger", &runner, "zone-a", 6);
    (0..3).for_each(|i| fleet.start_control(i, true));
    (0..2).for_each(|i| fleet.start_entry(i));
    if !fleet.replace(&[0, 1, 2], 10, &manifest(10), 20.0) || !fleet.wait_ready(10.0) {
        record.line("the deployment did not start");
        return 2;
    }
    sleep(6.0);
    let before = consume(&fleet, "b", 3.0);
    if before.1 * 2 < before.0 {
        record.line("the deployment did not serve before the work");
        return 2;
    }
    let mut newest = 10;
    let mut running = vec![0, 1, 2];
    for old in 0..2 {
        // The successor starts at a new address with an empty disk; it is no seed of the others.
        let successor = fleet.controls.len();
        let ip = format!("{}.1.{}", fleet.net, successor + 1);
        fleet.controls.push(ip);
        fleet.start_control(successor, false);
        running.push(successor);
        sleep(SUCCESSOR_TIME);
        if trouble {
            let name = format!("control-{}", old + 1);
            fleet.signal(&name, "TERM");
            if !fleet.wait_end(&name, 8.0) {
                fleet.signal(&name, "KILL");
                fleet.wait_end(&name, 2.0);
            }
            running.retain(|i| *i != old);
        }
        // A change between the two, which must not be lost either.
        if old == 0 {
            if !fleet.replace(&running, 11, &manifest(11), 4.0) {
                record.line("the change after the first replacement has no ack");
            } else {
                newest = 11;
            }
        }
    }
    record.line("both replacements are done: no machine is lost from now on");
    sleep(RECOVERY);
    let after = consume(&fleet, "a", 6.0);
    let text = fleet.read(&running, READ_TIME);
    let is_newest = text.as_ref().is_some_and(|t| t.contains(&format!("\"version\":{newest},")));
    let acked = fleet.replace(&running, 20, &manifest(20), 8.0);
    record.line(format!(
        "acknowledged last: {newest}; read back: {}; a change afterwards: {}; requests served before: \
         {} of {}, after: {} of {}",
        match (&text, is_newest) {
            (None, _) => "does not come",
            (Some(_), true) => "the same",
            (Some(_), false) => "another",
        },
        if acked { "acknowledged" } else { "no ack" },
        before.1,
        before.0,
        after.1,
        after.0,
    ));
    let recovers = after.1 * 4 >= after.0;
    if is_newest && recovers { 0 } else { 1 }
}
