//! A stream that pauses at a sound runner is broken off for another runner, which turns out to be full.

mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::RUNNER;
use common::Reply;
use common::World;

const CONSUMERS: u64 = 12;
const EVENTS: usize = 5;
/// Time between two events.
const GAP: Duration = Duration::from_millis(40);
/// Time for which a run that was preempted waits for memory.
const PREEMPTED: Duration = Duration::from_millis(1_500);
/// Begin and end of the burst, from the time at which the system serves.
const BURST: (f64, f64) = (4.0, 10.0);
const END: f64 = 16.0;

/// What runners and consumers saw.
#[derive(Default)]
struct Counts {
    streams: u64,
    complete: u64,
    refused: u64,
    /// Channels that were kept, then closed on a request that a runner had, without an event of it.
    lost: u64,
    /// Streams that ended after an event and before the last one.
    broken: u64,
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_else(|| common::could_not_run("no folder"));
    let mut world = World::new(&case);
    let list = world.start_provider();
    let serving: Arc<Mutex<Option<Instant>>> = Arc::default();
    let cut_runs = Arc::new(AtomicU64::new(0));
    let mut entries = Vec::new();
    for number in 1..=3_u8 {
        let address = format!("{}:{RUNNER}", world.ip(50 + number));
        let identifier = format!("i-{number}");
        let (record, name) = (world.record.clone(), identifier.clone());
        let (serving, cut_runs) = (Arc::clone(&serving), Arc::clone(&cut_runs));
        common::serve(&address, move |received| {
            let id = received.field("request-id").to_owned();
            let is_short = common::trouble() && is_burst(&serving);
            if is_short && number > 1 {
                record.line(&format!("runner {name} is full and rejects {id}"));
                let fields = [("Not-Executed", "1"), ("Request-Id", id.as_str())];
                return Reply::keep(common::answer(503, &fields, b"full"));
            }
            let last: usize = received.field("last-event-id").parse().unwrap_or(0);
            record.line(&format!(
                "runner {name} runs {id} from event {}{}",
                last + 1,
                if is_short { ", preempted for 1.5 s after its first token" } else { "" }
            ));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
                 Server-Signature: {name}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            // The head goes out with the first token; an event holds several.
            let mut pieces = vec![(Duration::from_millis(60), head.into_bytes())];
            for event in last + 1..=EVENTS {
                let pause = if is_short && event == last + 1 { PREEMPTED } else { GAP };
                let text = format!("id: {event}\ndata: {id}-{event}\n\n");
                pieces.push((pause, common::chunk(text.as_bytes())));
            }
            pieces.push((Duration::ZERO, common::chunk(b"")));
            let mut reply = Reply::pieces(pieces);
            let (record, name, cut_runs) = (record.clone(), name.clone(), Arc::clone(&cut_runs));
            reply.cut = Some(Box::new(move || {
                cut_runs.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("runner {name}: {id} is broken off by its caller"));
            }));
            reply
        });
        let zone = common::ZONES[usize::from(number - 1)];
        entries.push(common::list_entry(&identifier, "release-ledger", &address, zone));
    }
    let _ = list.lock().map(|mut l| *l = entries);
    // As dossier-review on the sheet: objective 800 ms, pauses 300 ms, deadline 5 s, two attempts.
    let route = common::route("streaming", 5_000, 800, 2);
    world.start_system(3, &common::manifest(3, &route));
    let began = Instant::now();
    let _ = serving.lock().map(|mut s| *s = Some(began));
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let address = format!("{}:{}", world.ip(11 + (consumer % 3) as u8), common::CONSUMERS);
            let (record, counts) = (world.record.clone(), Arc::clone(&counts));
            thread::spawn(move || {
                let mut channel = common::Channel::default();
                // Requests that were answered on the channel before.
                let mut kept = 0;
                for number in 0_u32.. {
                    if began.elapsed().as_secs_f64() > END {
                        return;
                    }
                    let id = format!("{consumer:02x}{number:04x}");
                    let fields = [
                        ("Request-Id", id.as_str()),
                        ("Deadline-Milliseconds", "5000"),
                        ("Authorization", "Token key-a"),
                    ];
                    let data =
                        common::request("POST", "/ledger/x", "ledger.example", &fields, b"x");
                    let limit = Duration::from_millis(5_500);
                    let streamed = channel.stream(&address, &data, limit).unwrap_or_default();
                    record.line(&format!("{id}, {kept} before it on the channel: {streamed:?}"));
                    if let Ok(mut counts) = counts.lock() {
                        counts.streams += 1;
                        counts.complete +=
                            u64::from(streamed.status == 200 && streamed.is_complete);
                        counts.refused += u64::from(streamed.status == 503);
                        let is_cut = streamed.status == 200 && streamed.is_closed;
                        counts.lost += u64::from(is_cut && streamed.events == 0 && kept > 0);
                        counts.broken += u64::from(is_cut && streamed.events > 0);
                    }
                    kept = if streamed.is_complete { kept + 1 } else { 0 };
                    thread::sleep(Duration::from_millis(250));
                }
            })
        })
        .collect();
    consumers.into_iter().for_each(|c| drop(c.join()));
    world.check_processes();
    let Counts { streams, complete, refused, lost, broken } =
        counts.lock().map(|mut c| std::mem::take(&mut *c)).unwrap_or_default();
    let cut_runs = cut_runs.load(Ordering::Relaxed);
    let result = format!(
        "{streams} streams, {complete} complete, {refused} refused, {broken} broken off after an \
         event; {lost} kept channels closed without an event of the answer; runs at the sound \
         runners that the system broke off: {cut_runs}"
    );
    world.record.line(&result);
    println!("{result}");
    if complete == 0 {
        drop(world);
        common::could_not_run("nothing was served");
    }
    drop(world);
    // More than three times.
    std::process::exit(i32::from(lost > 3));
}

fn is_burst(serving: &Mutex<Option<Instant>>) -> bool {
    let since = serving.lock().ok().and_then(|s| *s);
    since.is_some_and(|s| (BURST.0..BURST.1).contains(&s.elapsed().as_secs_f64()))
}
