//! A model runner turns slow, and is one of those that go on with a request whose channel was closed.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use crate::fleet::Fleet;
use crate::fleet::Message;
use crate::fleet::Record;
use crate::fleet::answer;
use crate::fleet::call;
use crate::fleet::echo;
use crate::fleet::serve;
use crate::fleet::sleep;

/// Model runners, of which the first turns slow: a share of 0.25.
const RUNNERS: usize = 4;
/// Pause between two events of a runner that is not slow, in seconds; on time are 0.3 s.
const PAUSE: f64 = 0.28;
/// How many times as long a slow runner takes, and for how many seconds.
const SLOWDOWN: f64 = 5.0;
const SLOW_TIME: f64 = 6.5;
const EVENTS: usize = 8;
const REQUESTS: usize = 60;
/// Time for which the runner before may still work, in seconds.
const TOLERANCE: f64 = 0.4;

const MANIFEST: &str = r#"{"version":5,"routes":[{"name":"r-1","hostname":"draft.example",
"path_prefix":"/draft/","route_type":"streaming","timeout_ms":5000,"target_latency_ms":800,
"priority":1,"service":"models","max_attempts":2,"stages":[],"public":false,
"session_affinity":true,"stream_resumption":true,"target_gap_ms":300}],
"services":[{"name":"models","health_check_path":"/health","max_connections":370,"protocol":"h1",
"tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_cache_tokens":508847,
"kv_token_bytes":18432,"link_bandwidth_mbps":130000.0,"moves":true,"backups":true,"stride":5,
"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}"#;

/// Work of one runner on one request, in seconds from the start.
#[derive(Clone, Debug)]
struct Work {
    runner: String,
    /// Event after which it goes on, 0 for a run from the start.
    last: usize,
    from: f64,
    until: f64,
}

type Works = Arc<Mutex<HashMap<String, Vec<Work>>>>;

/// Serves a model runner. It works on each request to its end or its deadline, also if the channel is
/// closed.
fn runner(record: &Record, id: &str, address: &str, works: &Works, slow: &Arc<AtomicBool>) {
    let (record, id) = (record.clone(), id.to_owned());
    let (works, slow) = (Arc::clone(works), Arc::clone(slow));
    let handler = move |request: &Message, writer: &mut TcpStream| -> io::Result<bool> {
        if request.first.starts_with("GET ") {
            let fields = format!("{}Instance-Id: {id}\r\n", echo(request));
            return answer(writer, "200 OK", &fields, b"{\"busy\":false,\"queued_requests\":0}");
        }
        let expected = request.field("expected-instance");
        if !expected.is_empty() && expected != id {
            let fields = format!("{}Not-Executed: 1\r\n", echo(request));
            return answer(writer, "421 Misdirected Request", &fields, b"");
        }
        let name = request.field("request-id").to_owned();
        let last: usize = request.field("last-event-id").parse().unwrap_or(0);
        record.line(format!("{id} begins request {name} after event {last}"));
        let from = record.time();
        let left: f64 = request.field("deadline-milliseconds").parse().unwrap_or(5_000.0);
        let deadline = from + left / 1_000.0;
        let place = {
            let mut works = works.lock().unwrap();
            let list = works.entry(name.clone()).or_default();
            list.push(Work { runner: id.clone(), last, from, until: from });
            list.len() - 1
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Server-Signature: {id}.{name}\r\nContent-Type: text/event-stream\r\n\
             Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            echo(request)
        );
        sleep(0.04);
        let mut sent = writer.write_all(head.as_bytes());
        for number in last + 1..=EVENTS {
            let event = format!("id: {number}\ndata: event {number} of {name}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            sent = sent.and_then(|()| writer.write_all(chunk.as_bytes()));
            let pause = if slow.load(Ordering::Relaxed) { PAUSE * SLOWDOWN } else { PAUSE };
            sleep(pause.min(deadline - record.time()));
            if record.time() >= deadline {
                sent = Err(io::Error::from(io::ErrorKind::TimedOut));
                break;
            }
        }
        if let Some(work) = works.lock().unwrap().get_mut(&name).and_then(|l| l.get_mut(place)) {
            work.until = record.time();
        }
        record.line(format!("{id} ends request {name}; all sent: {}", sent.is_ok()));
        sent.and_then(|()| writer.write_all(b"0\r\n\r\n"))?;
        Ok(true)
    };
    serve(address, handler);
}

/// Sends one request and reads its stream.
fn consume(record: &Record, address: &str, number: usize, served: &AtomicUsize) {
    let id = format!("{:016x}", 0xd4af_0000 + number);
    let session = 0x9e37_79b9_u64 * (number as u64 + 1);
    let fields = format!(
        "Host: draft.example\r\nRequest-Id: {id}\r\nDeadline-Milliseconds: 5000\r\n\
         Authorization: Token key-1\r\nModel: m\r\nToken-Counts: 450,40\r\n\
         Prompt-Prefix: 5c1e07a2:300,{session:x}:100,{:x}:50\r\n",
        0xab00_0000 + number
    );
    match call(address, "POST /draft/a", &fields, b"{}", 6.0) {
        Ok(message) => {
            let events = message.text().matches("data: ").count();
            record.line(format!("consumer of {id} gets {}, {events} events", message.status()));
            served.fetch_add(usize::from(message.status() == 200 && events == EVENTS), Ordering::Relaxed);
        }
        Err(_) => record.line(format!("consumer of {id} gets no complete answer")),
    }
}

/// Counts the requests that went on elsewhere while the runner before still worked on them.
fn count_twice(record: &Record, works: &Works) -> usize {
    let mut twice = 0;
    for (id, list) in works.lock().unwrap().iter() {
        for (first, next) in list.iter().zip(list.iter().skip(1)) {
            // A repeat from the start is no request that goes on.
            let goes_on = first.runner != next.runner && next.last > 0;
            if goes_on && first.until > next.from + TOLERANCE {
                twice += 1;
                record.line(format!(
                    "TWICE: {id} goes on at {} after event {} from {:.3}, and {} works on it until {:.3}",
                    next.runner, next.last, next.from, first.runner, first.until
                ));
            }
        }
    }
    twice
}

pub fn run(trouble: bool) -> i32 {
    let mut fleet = Fleet::new(3, 3);
    let record = fleet.record.clone();
    let works = Works::default();
    let slow = Arc::new(AtomicBool::new(false));
    for number in 0..RUNNERS {
        let (id, address) = (format!("i-{number}"), format!("{}.3.{}:8743", fleet.net, number + 1));
        let turns = if number == 0 { Arc::clone(&slow) } else { Arc::default() };
        runner(&record, &id, &address, &works, &turns);
        fleet.list_runner(&id, "models", &address, ["zone-a", "zone-b", "zone-c"][number % 3], 64);
    }
    (0..3).for_each(|i| fleet.start_control(i, true));
    (0..3).for_each(|i| fleet.start_entry(i));
    if !fleet.replace(&[0, 1, 2], 5, MANIFEST, 20.0) || !fleet.wait_ready(10.0) {
        record.line("the deployment did not start");
        return 2;
    }
    sleep(4.0);
    let (turn, log) = (Arc::clone(&slow), record.clone());
    let turning = thread::spawn(move || {
        sleep(5.0);
        if trouble {
            log.line("i-0 turns slow");
            turn.store(true, Ordering::Relaxed);
            sleep(SLOW_TIME);
            turn.store(false, Ordering::Relaxed);
            log.line("i-0 is no longer slow");
        }
    });
    let served = Arc::new(AtomicUsize::new(0));
    let mut consumers = Vec::new();
    for number in 0..REQUESTS {
        let address = format!("{}:8625", fleet.entries[number % 3]);
        let (record, served) = (record.clone(), Arc::clone(&served));
        consumers.push(thread::spawn(move || consume(&record, &address, number, &served)));
        sleep(0.25);
    }
    consumers.into_iter().for_each(|c| drop(c.join()));
    let _ = turning.join();
    // The runner ends what it still works on.
    sleep(EVENTS as f64 * PAUSE);
    let twice = count_twice(&record, &works);
    let served = served.load(Ordering::Relaxed);
    record.line(format!(
        "{served} of {REQUESTS} streams were served; {twice} went on at another runner while the one \
         before still worked on them 0.4 s later; ended by themselves: {:?}",
        fleet.ended()
    ));
    if served < REQUESTS / 2 {
        return 2;
    }
    i32::from(twice > 0)
}
