//! Service by second while a data centre is taken out and brought back, while it is lost and returns,
//! and while it is cut off, through real processes; fails below the stated attainment.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;
use fleet::KEY;
use hawthornkeel_fakes::load_generator;
use hawthornkeel_fakes::load_generator::ANSWERED;
use hawthornkeel_fakes::load_generator::LoadProfile;
use hawthornkeel_fakes::load_generator::LoadResult;
use hawthornkeel_fakes::thread::block_on;

/// Requests a second over all entries.
const RATE: u64 = 120;
/// Seconds measured.
const SECONDS: u64 = 24;
/// Second at which the data centre leaves.
const LEAVES: u64 = 6;
/// Second at which it returns.
const RETURNS: u64 = 14;
/// Share of requests that are to be answered in full with one fault at a time.
const ATTAINMENT: f64 = 0.999;
/// Time that a service or the first token takes, in milliseconds.
const FLOOR_MS: u64 = 20;

/// What happens to the data centre.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// Operators take it out and bring it back.
    Ordered,
    /// Its entries are killed and its targets refuse; both come back.
    Lost,
    /// It is cut off silently from the others, and its callers go on reaching it.
    CutOff,
}

fn main() {
    let mut failed = false;
    for movement in [Move::Ordered, Move::Lost, Move::CutOff] {
        failed |= !run(movement);
    }
    std::process::exit(i32::from(failed));
}

fn run(movement: Move) -> bool {
    let mut fleet = match movement {
        Move::CutOff => Fleet::prepare_with_network(6, 3),
        Move::Ordered | Move::Lost => Fleet::prepare(6, 3),
    };
    for target in &fleet.targets {
        target.thread.configure(&format!("{{\"floor_ms\":{FLOOR_MS}}}")).unwrap();
    }
    fleet.start_all();
    fleet.warm_up();
    println!("\n{movement:?}: {RATE} requests/s, leaves at {LEAVES} s, returns at {RETURNS} s");
    let start = Instant::now();
    let mut seconds = Vec::new();
    for second in 0..SECONDS {
        match second {
            LEAVES => leave(&mut fleet, movement),
            RETURNS => come_back(&mut fleet, movement),
            _ => {}
        }
        let out = (LEAVES..RETURNS).contains(&second);
        seconds.push(callers(&fleet, movement, out, second));
        let next = start + Duration::from_secs(second + 1);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let held = report(seconds);
    report_processes(&fleet);
    held
}

/// Prints the memory and the processor time of each process since its start.
fn report_processes(fleet: &Fleet) {
    for (at, instance) in fleet.instances.iter().enumerate() {
        let pid = fleet.pid(at).as_raw_nonzero();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let memory = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or_default();
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // Fields 14 and 15, user and system time, in ticks of 10 ms.
        let ticks: u64 =
            stat.split(' ').skip(13).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
        println!("{}: {memory}, processor time {} ms", instance.name, ticks * 10);
    }
}

/// Calls for one second at the entries that the balancer has ready.
fn callers(fleet: &Fleet, movement: Move, out: bool, second: u64) -> Vec<JoinHandle<LoadResult>> {
    let gone = |centre: &str| matches!(movement, Move::Lost) && out && centre == "dc-0";
    let ready =
        |address: &SocketAddr| fleet::get(*address, "/ready").is_some_and(|a| a.status == 200);
    let live = fleet.instances.iter().filter(|i| !gone(&i.centre)).map(|i| i.listen);
    let addresses: Vec<_> = live.filter(ready).collect();
    let count = RATE / addresses.len().max(1) as u64;
    let load = |(at, address): (usize, SocketAddr)| LoadProfile {
        address,
        path: "/v1/pipelines/draft".to_owned(),
        fields: format!("authorization: Bearer {KEY}\r\n"),
        rate: count as f64,
        count,
        first_number: (second * 100 + at as u64) * 1_000,
        timeout: Duration::from_secs(10),
        ..LoadProfile::default()
    };
    let start =
        |load: LoadProfile| thread::spawn(|| block_on(load_generator::run(load)).unwrap().unwrap());
    addresses.into_iter().enumerate().map(load).map(start).collect()
}

fn leave(fleet: &mut Fleet, movement: Move) {
    match movement {
        Move::Ordered => {
            fleet.send_order(1, "take-out", 10, "dc-0").unwrap();
        }
        Move::Lost => {
            for at in [0, 3] {
                fleet.kill(at);
            }
            behave(fleet, "{\"fault\":\"refuse\"}");
        }
        Move::CutOff => fleet.network().set_partitioned("dc-0", true),
    }
}

fn come_back(fleet: &mut Fleet, movement: Move) {
    match movement {
        Move::Ordered => {
            fleet.send_order(1, "bring-back", 11, "dc-0").unwrap();
        }
        Move::Lost => {
            behave(fleet, "{\"fault\":\"none\"}");
            for at in [0, 3] {
                fleet.spawn(at);
            }
        }
        Move::CutOff => fleet.network().set_partitioned("dc-0", false),
    }
}

fn behave(fleet: &Fleet, fields: &str) {
    let near = fleet.targets.iter().filter(|t| t.listed.data_centre == "dc-0");
    near.for_each(|t| t.thread.configure(fields).unwrap());
}

/// Prints the service by second; returns whether the bound holds.
fn report(seconds: Vec<Vec<JoinHandle<LoadResult>>>) -> bool {
    println!("second  sent  answered  p99 ms  others");
    let (mut sent, mut answered, mut worst) = (0, 0, 1.0_f64);
    for (second, callers) in seconds.into_iter().enumerate() {
        let seen: Vec<LoadResult> = callers.into_iter().map(|c| c.join().unwrap()).collect();
        let all: u64 = seen.iter().flat_map(|s| s.outcomes.values()).sum();
        let full: u64 = seen.iter().map(|s| s.count(ANSWERED)).sum();
        let p99 = seen.iter().map(|s| s.latency.value_at_quantile(0.99)).max().unwrap_or(0);
        let others: Vec<_> = seen
            .iter()
            .flat_map(|s| &s.outcomes)
            .filter(|(name, _)| *name != ANSWERED)
            .map(|(name, count)| format!("{name}={count}"))
            .collect();
        println!(
            "{second:>6}  {all:>4}  {full:>8}  {:>6.1}  {}",
            p99 as f64 / 1e3,
            others.join(" ")
        );
        worst = worst.min(full as f64 / all.max(1) as f64);
        (sent, answered) = (sent + all, answered + full);
    }
    let attainment = answered as f64 / sent.max(1) as f64;
    let held = attainment >= ATTAINMENT;
    let verdict = if held { "ok" } else { "BELOW THE BOUND" };
    println!("attainment {attainment:.4} (bound {ATTAINMENT}), worst second {worst:.3}: {verdict}");
    held
}
