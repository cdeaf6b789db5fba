//! The runner of a service ends and comes back cold.

use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::Message;
use crate::fleet::answer;
use crate::fleet::call;
use crate::fleet::echo;
use crate::fleet::serve;
use crate::fleet::sleep;

/// `cold_start_s` and `cold_per_s` of the service in the manifest.
const COLD_TIME: f64 = 10.0;
const COLD_RATE: f64 = 1.0;
/// `cold_overshoot` and `cold_slack`.
const BOUND: f64 = COLD_RATE * 1.5 + 5.0;

/// Arrivals at the runner.
#[derive(Default)]
struct Arrivals {
    /// Start of the cold time, if the runner is cold.
    cold_since: Option<Instant>,
    last_second: VecDeque<Instant>,
    most: usize,
    total: usize,
}

fn manifest() -> String {
    format!(
        "{{\"version\":5,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"one.example\",\
         \"path_prefix\":\"/one/\",\"route_type\":\"idempotent\",\"timeout_ms\":1000,\
         \"target_latency_ms\":400,\"priority\":1,\"service\":\"ledger\",\"max_attempts\":2,\
         \"stages\":[],\"public\":true,\"session_affinity\":false,\"stream_resumption\":false,\
         \"target_gap_ms\":0}}],\"services\":[{{\"name\":\"ledger\",\"health_check_path\":\"/health\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":{COLD_TIME:.1},\
         \"cold_per_s\":{COLD_RATE:.1}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}

/// Serves as one lifetime of the runner at `address`; it answers nothing while it is `down`.
fn runner(fleet: &Fleet, id: &str, address: &str, down: Arc<AtomicBool>, arrivals: Arc<Mutex<Arrivals>>) {
    let (record, id) = (fleet.record.clone(), id.to_owned());
    let handler = move |request: &Message, writer: &mut TcpStream| -> io::Result<bool> {
        if down.load(Ordering::Relaxed) {
            return Ok(false);
        }
        if request.path() == "/health" {
            return answer(writer, "200 OK", &format!("Instance-Id: {id}\r\n"), b"");
        }
        let expected = request.field("expected-instance");
        if !expected.is_empty() && expected != id {
            return answer(writer, "421 Misdirected Request", &echo(request), b"");
        }
        let now = Instant::now();
        let mut seen = arrivals.lock().unwrap();
        let cold = seen.cold_since.is_some_and(|s| now.duration_since(s).as_secs_f64() < COLD_TIME);
        if cold {
            seen.total += 1;
            seen.last_second.push_back(now);
            while seen.last_second.front().is_some_and(|t| now.duration_since(*t) >= Duration::from_secs(1)) {
                seen.last_second.pop_front();
            }
            seen.most = seen.most.max(seen.last_second.len());
            record.line(format!(
                "cold runner {id} gets {}: {} within the last second",
                request.field("request-id"),
                seen.last_second.len()
            ));
        }
        drop(seen);
        sleep(0.015);
        answer(writer, "200 OK", &format!("{}Server-Signature: {id}.1\r\n", echo(request)), b"done")
    };
    serve(address, handler);
}

/// Sends requests to one entry, four a second, until `stopped`.
fn consume(fleet: &Fleet, entry: usize, stopped: Arc<AtomicBool>, served: Arc<AtomicUsize>) {
    let address = format!("{}:8625", fleet.entries[entry]);
    thread::spawn(move || {
        let mut number = 0;
        while !stopped.load(Ordering::Relaxed) {
            let fields = format!(
                "Host: one.example\r\nRequest-Id: {entry:02}{number:014}\r\nDeadline-Milliseconds: 1000\r\n"
            );
            let status = call(&address, "GET /one/x", &fields, b"", 1.2).map_or(0, |m| m.status());
            served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
            number += 1;
            sleep(0.25);
        }
    });
}

pub fn run(trouble: bool) -> i32 {
    // As many entries as on the sheet.
    let mut fleet = Fleet::new(3, 8);
    let record = fleet.record.clone();
    let down = Arc::new(AtomicBool::new(false));
    let arrivals = Arc::new(Mutex::new(Arrivals::default()));
    let (first, second) = (format!("{}.3.1:8743", fleet.net), format!("{}.3.2:8743", fleet.net));
    runner(&fleet, "i-1", &first, Arc::clone(&down), Arc::clone(&arrivals));
    fleet.list_runner("i-1", "ledger", &first, "zone-a", 6);
    (0..3).for_each(|i| fleet.start_control(i, true));
    (0..8).for_each(|i| fleet.start_entry(i));
    if !fleet.replace(&[0, 1, 2], 5, &manifest(), 20.0) || !fleet.wait_ready(10.0) {
        record.line("the deployment did not start");
        return 2;
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    (0..8).for_each(|i| consume(&fleet, i, Arc::clone(&stopped), Arc::clone(&served)));
    sleep(8.0);
    if served.load(Ordering::Relaxed) < 50 {
        record.line("the deployment did not serve before the runner ended");
        return 2;
    }
    if trouble {
        record.line("the runner ends");
        down.store(true, Ordering::Relaxed);
        fleet.list.lock().unwrap().clear();
        sleep(2.0);
        record.line("it comes back, cold, as another process");
        arrivals.lock().unwrap().cold_since = Some(Instant::now());
        runner(&fleet, "i-2", &second, Arc::default(), Arc::clone(&arrivals));
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < COLD_TIME + 1.0 {
            let left = ((COLD_TIME - start.elapsed().as_secs_f64()).max(0.0) * 1_000.0) as u64;
            *fleet.list.lock().unwrap() = vec![format!(
                "{{\"service\":\"ledger\",\"address\":\"{second}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
                 \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":{left},\"identifier\":\"i-2\"}}"
            )];
            sleep(0.1);
        }
    } else {
        sleep(COLD_TIME + 3.0);
    }
    stopped.store(true, Ordering::Relaxed);
    let seen = arrivals.lock().unwrap();
    record.line(format!(
        "requests to the cold runner: {} in {COLD_TIME} s, {} in one second at most; the rule allows {BOUND}",
        seen.total, seen.most
    ));
    i32::from(seen.most as f64 > BOUND)
}
