//! An entry of the provider's list that lacks a field names no runner to use. It is used.

mod common;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use common::RUNNER;
use common::Reply;
use common::World;

const CONSUMERS: u64 = 12;
const REQUESTS: u64 = 30;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_else(|| common::could_not_run("no folder"));
    let mut world = World::new(&case);
    let list = world.start_provider();
    // Signatures that the runners gave, by request.
    let given: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let mut entries = Vec::new();
    for number in 1..=3_u8 {
        let address = format!("{}:{RUNNER}", world.ip(50 + number));
        let (given, record, name) =
            (Arc::clone(&given), world.record.clone(), format!("i-{number}"));
        let identifier = name.clone();
        common::serve(&address, move |received| {
            let id = received.field("request-id");
            let expected = received.field("expected-instance");
            if !expected.is_empty() && expected != name {
                return Reply::keep(common::answer(421, &[("Not-Executed", "1")], b""));
            }
            thread::sleep(Duration::from_millis(15));
            let signature = format!("{name}.{id}");
            record.line(&format!("runner {name} runs {id}"));
            let _ = given.lock().map(|mut g| g.insert(id.to_owned(), signature.clone()));
            let fields = [("Request-Id", id), ("Server-Signature", signature.as_str())];
            Reply::keep(common::answer(200, &fields, format!("entered {id}").as_bytes()))
        });
        let zone = common::ZONES[usize::from(number - 1)];
        entries.push(common::list_entry(&identifier, "release-ledger", &address, zone));
    }
    // A sound web server that belongs to the other writer and knows nothing of runners.
    let other = format!("{}:{RUNNER}", world.ip(60));
    let taken: Arc<Mutex<Vec<String>>> = Arc::default();
    let (record, seen) = (world.record.clone(), Arc::clone(&taken));
    common::serve(&other, move |received| {
        let id = received.field("request-id");
        record.line(&format!("the server that is no runner gets {} {id}", received.path));
        let _ = seen.lock().map(|mut s| s.push(id.to_owned()));
        Reply::keep(common::answer(200, &[("Content-Type", "text/plain")], b"welcome"))
    });
    let _ = list.lock().map(|mut l| *l = entries.clone());
    let route = common::route("non_idempotent", 1_000, 100, 1);
    world.start_system(3, &common::manifest(3, &route));
    if common::trouble() {
        // All fields but `version`.
        let odd = common::list_entry("x-9", "release-ledger", &other, common::ZONES[0]);
        let odd = odd.replace("\"version\":\"v1\",", "");
        world.record.line(&format!("the list shows also: {odd}"));
        let _ = list.lock().map(|mut l| l.push(odd));
    }
    thread::sleep(Duration::from_secs(3));
    let outcomes: Arc<Mutex<(u64, u64, u64)>> = Arc::default();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let address = format!("{}:{}", world.ip(11 + (consumer % 3) as u8), common::CONSUMERS);
            let (record, given) = (world.record.clone(), Arc::clone(&given));
            let outcomes = Arc::clone(&outcomes);
            thread::spawn(move || {
                for number in 0..REQUESTS {
                    let id = format!("{consumer:02x}{number:04x}");
                    let fields = [
                        ("Request-Id", id.as_str()),
                        ("Deadline-Milliseconds", "1000"),
                        ("Authorization", "Token key-a"),
                    ];
                    let data = common::request(
                        "POST",
                        "/ledger/sign",
                        "ledger.example",
                        &fields,
                        b"digest",
                    );
                    let answered = common::exchange(&address, &data, Duration::from_secs(2));
                    let answered = answered.unwrap_or_default();
                    let signature = answered.field("server-signature").to_owned();
                    let of_runner = given.lock().map(|g| g.get(&id) == Some(&signature));
                    let of_runner = of_runner.unwrap_or(false);
                    let is_success = (200..300).contains(&answered.status);
                    let body = String::from_utf8_lossy(&answered.body).into_owned();
                    record.line(&format!(
                        "{id} answered {} signature {signature:?} {body:?}",
                        answered.status
                    ));
                    if let Ok(mut counts) = outcomes.lock() {
                        counts.0 += 1;
                        counts.1 += u64::from(is_success);
                        counts.2 += u64::from(is_success && !of_runner);
                    }
                    thread::sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    consumers.into_iter().for_each(|c| drop(c.join()));
    world.check_processes();
    let (sent, succeeded, foreign) = outcomes.lock().map(|c| *c).unwrap_or_default();
    let taken = taken.lock().map_or(0, |t| t.len());
    let result = format!(
        "{sent} requests, {succeeded} successes, of which {foreign} without a runner's signature; \
         the server that is no runner got {taken} requests"
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
