//! A late second answer of a runner goes to the next request on its channel if that has no identifier.

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

const CONSUMERS: u64 = 20;
const SECONDS: u64 = 60;
/// Requests a second of all consumers together, as on the sheet of the small installation.
const RATE: u64 = 60;
/// Share of the requests that have no identifier.
const WITHOUT_ID: f64 = 0.15;
/// Share of its answers that a faulty runner sends a second time.
const DOUBLED: f64 = 0.03;

/// State of the channels of a runner.
#[derive(Default)]
struct Channels {
    /// Second answers that are not sent yet, by channel.
    late: HashMap<u64, Vec<u8>>,
    random: Option<Random>,
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_else(|| common::could_not_run("no folder"));
    let mut world = World::new(&case);
    let list = world.start_provider();
    let mut entries = Vec::new();
    for number in 1..=5_u8 {
        let address = format!("{}:{RUNNER}", world.ip(50 + number));
        let identifier = format!("i-{number}");
        // Three runners of five are faulty.
        let is_faulty = common::trouble() && number <= 3;
        let state =
            Channels { random: Some(Random(u64::from(number) * 7919)), ..Channels::default() };
        let (held, record, name) = (Mutex::new(state), world.record.clone(), identifier.clone());
        common::serve(&address, move |received| {
            let id = received.field("request-id").to_owned();
            let Ok(mut state) = held.lock() else { return Reply::keep(Vec::new()) };
            // The second answer comes where the next one is expected.
            let mut out = state.late.remove(&received.channel).unwrap_or_default();
            if !out.is_empty() {
                record.line(&format!("runner {name} sends a second answer before that to {id:?}"));
            }
            if id.is_empty() {
                let fields = [("Not-Executed", "1"), ("Server-Signature", "rejected")];
                out.extend(common::answer(400, &fields, b"no identifier"));
                return Reply::keep(out);
            }
            let is_doubled = is_faulty && state.random.as_mut().is_some_and(|r| r.chance(DOUBLED));
            drop(state);
            record.line(&format!("runner {name} runs {id}"));
            thread::sleep(Duration::from_millis(15));
            let signature = format!("{name}.{id}");
            let body = format!("record of {} for {id}", received.field("tenant"));
            let fields = [("Request-Id", id.as_str()), ("Server-Signature", signature.as_str())];
            let answer = common::answer(200, &fields, body.as_bytes());
            if is_doubled {
                let late = (received.channel, answer.clone());
                let _ = held.lock().map(|mut s| s.late.insert(late.0, late.1));
            }
            out.extend(answer);
            Reply::keep(out)
        });
        let zone = common::ZONES[usize::from(number - 1) % 3];
        entries.push(common::list_entry(&identifier, "release-ledger", &address, zone));
    }
    let _ = list.lock().map(|mut l| *l = entries);
    let route = common::route("idempotent", 1_000, 100, 2);
    world.start_system(3, &common::manifest(3, &route));
    // Requests, successes, and successes that belong to another request.
    let outcomes: Arc<Mutex<(u64, u64, u64)>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let address = format!("{}:{}", world.ip(11 + (consumer % 3) as u8), common::CONSUMERS);
            let (record, outcomes) = (world.record.clone(), Arc::clone(&outcomes));
            thread::spawn(move || {
                let mut random = Random(consumer * 104_729 + 13);
                let mut channel = common::Channel::default();
                let mut number = 0_u32;
                while Instant::now() < until {
                    number += 1;
                    let has_id = !random.chance(WITHOUT_ID);
                    let id = format!("{consumer:02x}{number:04x}");
                    let (tenant, key) = match consumer % 2 {
                        0 => ("maker-a", "Token key-a"),
                        _ => ("maker-b", "Token key-b"),
                    };
                    let mut fields =
                        vec![("Deadline-Milliseconds", "1000"), ("Authorization", key)];
                    if has_id {
                        fields.push(("Request-Id", id.as_str()));
                    }
                    let data =
                        common::request("GET", "/ledger/lot", "ledger.example", &fields, b"");
                    let limit = Duration::from_secs(2);
                    let answered = channel.exchange(&address, &data, limit).unwrap_or_default();
                    let body = String::from_utf8_lossy(&answered.body).into_owned();
                    let own = format!("record of {tenant} for {id}");
                    let is_success = (200..300).contains(&answered.status);
                    let is_foreign = is_success && !(has_id && body == own);
                    if is_foreign {
                        record.line(&format!(
                            "FOREIGN: request {number} of consumer {consumer} ({tenant}, \
                             identifier: {has_id}) answered {} {body:?}",
                            answered.status
                        ));
                    } else {
                        record.line(&format!(
                            "request {id} of {tenant} (identifier: {has_id}) answered {}",
                            answered.status
                        ));
                    }
                    if let Ok(mut counts) = outcomes.lock() {
                        counts.0 += 1;
                        counts.1 += u64::from(is_success);
                        counts.2 += u64::from(is_foreign);
                    }
                    thread::sleep(Duration::from_millis(1_000 * CONSUMERS / RATE));
                }
            })
        })
        .collect();
    consumers.into_iter().for_each(|c| drop(c.join()));
    world.check_processes();
    let (sent, succeeded, foreign) = outcomes.lock().map(|c| *c).unwrap_or_default();
    let result = format!(
        "{sent} requests, {succeeded} successes, of which {foreign} belong to another request"
    );
    world.record.line(&result);
    println!("{result}");
    if succeeded == 0 {
        drop(world);
        common::could_not_run("nothing was served");
    }
    drop(world);
    std::process::exit(i32::from(foreign > 0));
}
