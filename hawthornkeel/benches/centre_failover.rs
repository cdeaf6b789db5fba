//! Answered requests per second while a data centre is taken out and brought back, crashes and
//! restarts, or is partitioned. Uses real processes and fails below the required share.

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

/// Requests per second, over all entries.
const RATE: u64 = 120;
/// Duration of a run, in seconds.
const DURATION_SECONDS: u64 = 24;
/// Second at which the data centre fails or is taken out.
const FAILURE_AT: u64 = 6;
/// Second at which the data centre recovers or is brought back.
const RECOVERY_AT: u64 = 14;
/// Minimum share of requests answered completely during a single fault.
const MIN_ATTAINMENT: f64 = 0.999;
/// Duration of a service call or of the first token, in milliseconds.
const FLOOR_MS: u64 = 20;

/// Event that affects the data centre.
#[derive(Clone, Copy, Debug)]
enum CentreEvent {
    /// Operators take the data centre out and bring it back.
    Ordered,
    /// Its entries are killed and its targets refuse calls, until both recover.
    Lost,
    /// A silent partition from the other data centres; callers still reach its entries.
    CutOff,
}

fn main() {
    let mut failed = false;
    for event in [CentreEvent::Ordered, CentreEvent::Lost, CentreEvent::CutOff] {
        failed |= !run(event);
    }
    std::process::exit(i32::from(failed));
}

fn run(event: CentreEvent) -> bool {
    let mut fleet = match event {
        CentreEvent::CutOff => Fleet::prepare_with_network(6, 3),
        CentreEvent::Ordered | CentreEvent::Lost => Fleet::prepare(6, 3),
    };
    for target in &fleet.targets {
        target.thread.configure(&format!("{{\"floor_ms\":{FLOOR_MS}}}")).unwrap();
    }
    fleet.start_all();
    fleet.warm_up();
    println!(
        "\n{event:?}: {RATE} requests/s, leaves at {FAILURE_AT} s, returns at {RECOVERY_AT} s"
    );
    let start = Instant::now();
    let mut seconds = Vec::new();
    for second in 0..DURATION_SECONDS {
        match second {
            FAILURE_AT => fail_centre(&mut fleet, event),
            RECOVERY_AT => recover_centre(&mut fleet, event),
            _ => {}
        }
        let is_out = (FAILURE_AT..RECOVERY_AT).contains(&second);
        seconds.push(callers(&fleet, event, is_out, second));
        let next = start + Duration::from_secs(second + 1);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let is_met = report(seconds);
    report_processes(&fleet);
    is_met
}

/// Prints the memory and the CPU time of each process since its start.
fn report_processes(fleet: &Fleet) {
    for (at, instance) in fleet.instances.iter().enumerate() {
        let pid = fleet.pid(at).as_raw_nonzero();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let memory = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or_default();
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // Fields 14 and 15: user and system time, in ticks of 10 ms.
        let ticks: u64 =
            stat.split(' ').skip(13).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
        println!("{}: {memory}, processor time {} ms", instance.name, ticks * 10);
    }
}

/// Starts callers for one second at the entries that pass the load balancer's readiness check.
fn callers(
    fleet: &Fleet,
    event: CentreEvent,
    is_out: bool,
    second: u64,
) -> Vec<JoinHandle<LoadResult>> {
    let is_down = |centre: &str| matches!(event, CentreEvent::Lost) && is_out && centre == "dc-0";
    let ready =
        |address: &SocketAddr| fleet::get(*address, "/ready").is_some_and(|a| a.status == 200);
    let live = fleet.instances.iter().filter(|i| !is_down(&i.centre)).map(|i| i.listen);
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

fn fail_centre(fleet: &mut Fleet, event: CentreEvent) {
    match event {
        CentreEvent::Ordered => {
            fleet.send_order(1, "take-out", 10, "dc-0").unwrap();
        }
        CentreEvent::Lost => {
            for at in [0, 3] {
                fleet.kill(at);
            }
            behave(fleet, "{\"fault\":\"refuse\"}");
        }
        CentreEvent::CutOff => fleet.network().set_partitioned("dc-0", true),
    }
}

fn recover_centre(fleet: &mut Fleet, event: CentreEvent) {
    match event {
        CentreEvent::Ordered => {
            fleet.send_order(1, "bring-back", 11, "dc-0").unwrap();
        }
        CentreEvent::Lost => {
            behave(fleet, "{\"fault\":\"none\"}");
            for at in [0, 3] {
                fleet.spawn(at);
            }
        }
        CentreEvent::CutOff => fleet.network().set_partitioned("dc-0", false),
    }
}

fn behave(fleet: &Fleet, fields: &str) {
    let near = fleet.targets.iter().filter(|t| t.listed.data_centre == "dc-0");
    near.for_each(|t| t.thread.configure(fields).unwrap());
}

/// Prints the results per second and returns whether the required share was reached.
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
    let is_met = attainment >= MIN_ATTAINMENT;
    let verdict = if is_met { "ok" } else { "BELOW THE BOUND" };
    println!(
        "attainment {attainment:.4} (bound {MIN_ATTAINMENT}), worst second {worst:.3}: {verdict}"
    );
    is_met
}
