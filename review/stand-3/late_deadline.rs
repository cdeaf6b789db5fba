//! A request whose answer was lost is sent again with the time that it had at first.

mod common;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::RUNNER;
use common::Random;
use common::Reply;
use common::World;

const CONSUMERS: u64 = 18;
const REQUESTS: u64 = 22;
/// Time that a run takes.
const WORK: Duration = Duration::from_millis(700);
/// Share of the requests that a faulty runner runs and whose answers are lost.
const LOST: f64 = 0.4;
/// Time that the consumers give, in milliseconds.
const DEADLINE_MS: u64 = 5_000;
/// Excess from which on the rule counts.
const EXCESS: Duration = Duration::from_millis(500);

/// Arrivals of one request at runners.
struct First {
    at: Instant,
    end: Instant,
}

#[derive(Default)]
struct Counts {
    arrivals: u64,
    again: u64,
    again_late: u64,
    too_long: u64,
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_else(|| common::could_not_run("no folder"));
    let mut world = World::new(&case);
    let list = world.start_provider();
    let firsts: Arc<Mutex<HashMap<String, First>>> = Arc::default();
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let sent: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let mut entries = Vec::new();
    for number in 1..=5_u8 {
        let address = format!("{}:{RUNNER}", world.ip(50 + number));
        let identifier = format!("i-{number}");
        // Three runners of five are faulty.
        let is_faulty = common::trouble() && number <= 3;
        let random = Mutex::new(Random(u64::from(number) * 7919));
        let (record, name) = (world.record.clone(), identifier.clone());
        let (firsts, counts, sent) = (Arc::clone(&firsts), Arc::clone(&counts), Arc::clone(&sent));
        common::serve(&address, move |received| {
            let now = Instant::now();
            let id = received.field("request-id").to_owned();
            let given: u64 = received.field("deadline-milliseconds").parse().unwrap_or(0);
            let end = now + Duration::from_millis(given);
            let consumers_end = sent.lock().ok().and_then(|s| s.get(&id).copied());
            let consumers_end = consumers_end.unwrap_or(now) + Duration::from_millis(DEADLINE_MS);
            if let (Ok(mut firsts), Ok(mut counts)) = (firsts.lock(), counts.lock()) {
                counts.arrivals += 1;
                if let Some(first) = firsts.get(&id) {
                    let late = now - first.at > EXCESS;
                    let too_long = end > first.end + EXCESS && end > consumers_end + EXCESS;
                    counts.again += 1;
                    counts.again_late += u64::from(late);
                    counts.too_long += u64::from(late && too_long);
                    let after = (now - first.at).as_millis();
                    record.line(&format!(
                        "runner {name} gets {id} again after {after} ms with {given} ms \
                         (too long: {})",
                        late && too_long
                    ));
                } else {
                    record.line(&format!("runner {name} gets {id} with {given} ms"));
                    firsts.insert(id.clone(), First { at: now, end });
                }
            }
            thread::sleep(WORK);
            let is_lost = is_faulty && random.lock().is_ok_and(|mut r| r.chance(LOST));
            if is_lost {
                record.line(&format!("runner {name} has run {id}, the answer is lost (reset)"));
                return Reply::reset();
            }
            let signature = format!("{name}.{id}");
            let fields = [("Request-Id", id.as_str()), ("Server-Signature", signature.as_str())];
            Reply::keep(common::answer(200, &fields, b"record"))
        });
        let zone = common::ZONES[usize::from(number - 1) % 3];
        entries.push(common::list_entry(&identifier, "release-ledger", &address, zone));
    }
    let _ = list.lock().map(|mut l| *l = entries);
    let route = common::route("idempotent", DEADLINE_MS as u32, 1_900, 1);
    world.start_system(3, &common::manifest(3, &route));
    let served: Arc<Mutex<u64>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let address = format!("{}:{}", world.ip(11 + (consumer % 3) as u8), common::CONSUMERS);
            let (record, sent) = (world.record.clone(), Arc::clone(&sent));
            let served = Arc::clone(&served);
            thread::spawn(move || {
                let mut channel = common::Channel::default();
                for number in 0..REQUESTS {
                    let id = format!("{consumer:02x}{number:04x}");
                    let deadline = DEADLINE_MS.to_string();
                    let fields = [
                        ("Request-Id", id.as_str()),
                        ("Deadline-Milliseconds", deadline.as_str()),
                        ("Authorization", "Token key-a"),
                    ];
                    let data =
                        common::request("GET", "/ledger/lot", "ledger.example", &fields, b"");
                    let _ = sent.lock().map(|mut s| s.insert(id.clone(), Instant::now()));
                    let limit = Duration::from_millis(DEADLINE_MS + 1_000);
                    let answered = channel.exchange(&address, &data, limit).unwrap_or_default();
                    record.line(&format!("{id} answered {}", answered.status));
                    let _ = served.lock().map(|mut s| *s += u64::from(answered.status == 200));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    consumers.into_iter().for_each(|c| drop(c.join()));
    world.check_processes();
    let served = served.lock().map(|s| *s).unwrap_or_default();
    let Counts { arrivals, again, again_late, too_long } =
        counts.lock().map(|mut c| std::mem::take(&mut *c)).unwrap_or_default();
    let result = format!(
        "{} requests, {served} served, {arrivals} arrivals, {again} beyond the first, of which \
         {again_late} over 0.5 s later, {too_long} of these with too much time",
        CONSUMERS * REQUESTS
    );
    world.record.line(&result);
    println!("{result}");
    if served == 0 {
        drop(world);
        common::could_not_run("nothing was served");
    }
    drop(world);
    // More than 20, and more than a fifth of these and of all that were sent once more so late.
    std::process::exit(i32::from(too_long > 20 && too_long * 5 > again_late));
}
