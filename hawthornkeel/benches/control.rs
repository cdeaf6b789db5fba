//! Claims a second and commit latency with real syncs, with and without batches; cost of control.
//!
//! Prints one key=value line a measurement. Without batches each command is a log entry of its own
//! and the disk syncs each save alone; entries may still share a message. Regression bounds are
//! checked at the end of the run, on what doesn't depend on what else the machine does: log entries
//! a claim, the leader's processor time a claim beside that without batches, and the users' limits
//! for control.
//!
//! Processor time is that of an instance's event loop, without the disk's thread; bytes are those of
//! datagrams sent and received, without the heads of UDP and IP.

#[path = "../tests/support/mod.rs"]
mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::control::open::Tuning;
use hawthornkeel::control::proposal_queue::BatchLimits;
use hawthornkeel::control::start::ControlPlane;
use hawthornkeel::disk::DiskSettings;
use hawthornkeel_core::ids::AttemptNumber;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::state::command::Claim;
use hawthornkeel_core::state::command::ClaimKey;
use hawthornkeel_core::state::command::ClaimOutcome;
use hawthornkeel_core::state::command::Claimant;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_fakes::document::large;
use hdrhistogram::Histogram;
use support::cluster::Cluster;
use support::cluster::Spec;
use support::operator::accepted;
use support::operator::leader;
use support::operator::request;
use support::operator::status;
use support::operator::submit;
use support::operator::wait_for;

/// Claimers at once in each measurement.
const CLAIMERS: [u32; 4] = [1, 16, 128, 512];
/// Claimers at which the gain of batches is bounded.
const LOADED: u32 = 512;
/// Log entries a claim with batches, at most.
const MAX_ENTRIES: f64 = 0.1;
/// Processor time of the leader a claim with batches, as a share of that without, at most.
const MAX_CPU_SHARE: f64 = 0.9;
/// Instances in each measurement of control's cost.
const SIZES: [usize; 4] = [8, 16, 32, 64];
/// Time of one measurement.
const RUN: Duration = Duration::from_secs(3);
/// Time for the connections of the start to settle: an instance that found its best source late
/// tries it again after 15 s.
const SETTLE: Duration = Duration::from_secs(22);
/// Time for one claim.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Share of a core that control may cost an instance, in percent.
const MAX_CPU_PERCENT: f64 = 2.6;
/// Bytes a second that control may cost an instance.
const MAX_BYTES: f64 = 23_000.0;
/// Changes of the document a second in the measurement of their cost.
const CHANGES: u64 = 2;
/// Changes of the document a second that the users expect.
const EXPECTED_CHANGES: f64 = 9_200.0 / 86_400.0;
/// Workspaces that the users expect.
const WORKSPACES: u32 = 1_600;

fn main() {
    let mut loaded = Vec::new();
    for claimers in CLAIMERS {
        let off = claims("off", unbatched(), claimers);
        let on = claims("on", Tuning::default(), claimers);
        println!(
            "event=gain claimers={claimers} claims_ratio={:.2} leader_cpu_ratio={:.2}",
            on.per_second() / off.per_second(),
            on.cpu / off.cpu,
        );
        if claimers == LOADED {
            loaded.push((on.entries, on.cpu / off.cpu));
        }
    }
    let costs: Vec<_> = SIZES.into_iter().map(cost).collect();
    for (entries, cpu) in loaded {
        assert!(entries <= MAX_ENTRIES, "{entries:.3} log entries a claim, {MAX_ENTRIES} at most");
        assert!(
            cpu <= MAX_CPU_SHARE,
            "{cpu:.2} of the time without batches, {MAX_CPU_SHARE} at most"
        );
    }
    for cost in costs {
        assert!(cost.idle_cpu <= MAX_CPU_PERCENT, "{cost:?}: over {MAX_CPU_PERCENT}%");
        let bytes = cost.expected_bytes();
        assert!(bytes <= MAX_BYTES, "{cost:?}: {bytes:.0} bytes a second");
    }
}

fn unbatched() -> Tuning {
    let disk = DiskSettings { group_saves: 1, ..DiskSettings::default() };
    Tuning { batch: BatchLimits::single(), disk }
}

/// Measures claims of `claimers` at once.
///
/// Claims are remembered for a day and their number is bounded: each measurement starts anew.
fn claims(batches: &str, tuning: Tuning, claimers: u32) -> Claims {
    let mut cluster = Cluster::new(controls());
    cluster.set_tuning(tuning);
    cluster.start_all();
    support::run(async {
        let parts = cluster.join("a", "east");
        let leader = leader(&parts).await;
        let before = reading(&cluster, &parts, leader.as_str()).await;
        let mut claims = measure(&parts, claimers).await;
        let after = reading(&cluster, &parts, leader.as_str()).await;
        let all = claims.all as f64;
        claims.entries = (after.0 - before.0) / all;
        claims.cpu = (after.1 - before.1) / all;
        println!(
            "event=claims batches={batches} claimers={claimers} per_second={:.0} p50_us={} \
             p99_us={} entries_per_claim={:.3} leader_cpu_us_per_claim={:.1} refused={} unknown={}",
            claims.per_second(),
            claims.latency.value_at_quantile(0.5),
            claims.latency.value_at_quantile(0.99),
            claims.entries,
            claims.cpu,
            claims.refused,
            claims.unknown,
        );
        claims
    })
}

/// Returns the last log entry and the processor time of a leader, in microseconds.
async fn reading(cluster: &Cluster, parts: &ControlPlane, leader: &str) -> (f64, f64) {
    let status = status(parts, leader).await.unwrap();
    // The processor time is read by the instance itself, once in a while.
    monoio::time::sleep(Duration::from_millis(50)).await;
    let cpu = cluster.usage(leader).cpu.load(Ordering::Relaxed);
    (status.control.unwrap().commit.0 as f64, cpu as f64)
}

#[derive(Clone)]
struct Claims {
    latency: Histogram<u64>,
    /// Claims granted, also after the end of the measurement.
    all: u64,
    /// Log entries a claim.
    entries: f64,
    /// Processor time of the leader's event loop a claim, in microseconds.
    cpu: f64,
    /// Claims that were decided otherwise than granted.
    refused: u64,
    /// Claims without an outcome.
    unknown: u64,
}

impl Claims {
    fn per_second(&self) -> f64 {
        self.latency.len() as f64 / RUN.as_secs_f64()
    }
}

async fn measure(parts: &ControlPlane, claimers: u32) -> Claims {
    let latency = Rc::new(RefCell::new(Histogram::new(3).unwrap()));
    let all = Rc::new(Cell::new(0));
    let (refused, unknown) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let open = Rc::new(Cell::new(claimers));
    let until = Instant::now() + RUN;
    for _ in 0..claimers {
        let (latency, open) = (latency.clone(), open.clone());
        let (all, refused, unknown) = (all.clone(), refused.clone(), unknown.clone());
        let parts = parts.clone();
        monoio::spawn(async move {
            while Instant::now() < until {
                let start = Instant::now();
                match parts.client.propose(claim(), TIMEOUT).await {
                    Ok(Outcome::Claim(ClaimOutcome::Granted)) => {
                        all.set(all.get() + 1);
                        if Instant::now() < until {
                            let micros = start.elapsed().as_micros() as u64;
                            latency.borrow_mut().record(micros).unwrap();
                        }
                    }
                    Ok(_) => refused.set(refused.get() + 1),
                    Err(_) => unknown.set(unknown.get() + 1),
                }
            }
            open.set(open.get() - 1);
        });
    }
    support::until("the claimers", || open.get() == 0).await;
    Claims {
        latency: latency.replace(Histogram::new(3).unwrap()),
        all: all.get(),
        entries: 0.0,
        cpu: 0.0,
        refused: refused.get(),
        unknown: unknown.get(),
    }
}

fn claim() -> Command {
    let key = format!("{:032x}", rand::random::<u128>()).into();
    let request = RequestId(rand::random());
    Command::Claim(Claim {
        key: ClaimKey { workspace: "acme".into(), key, stage: StageIndex(0) },
        digest: 7,
        claimant: Claimant { instance: "a".into(), request, attempt: AttemptNumber(0) },
        settle_ms: 60_000,
    })
}

/// Greatest cost of control to an instance.
#[derive(Clone, Copy, Debug, Default)]
struct Greatest {
    /// Share of a core while idle, in percent.
    idle_cpu: f64,
    /// Bytes a second while idle.
    idle_bytes: f64,
    /// Bytes a change of the document.
    change_bytes: f64,
}

impl Greatest {
    /// Returns the bytes a second under the changes that the users expect.
    fn expected_bytes(&self) -> f64 {
        self.idle_bytes + self.change_bytes * EXPECTED_CHANGES
    }
}

/// Measures `size` instances, idle and under changes.
fn cost(size: usize) -> Greatest {
    let centres = ["east", "west", "south"].into_iter().cycle();
    let mut specs = controls();
    let entry = |(at, centre)| Spec { name: name(at), centre, control: false };
    specs.extend((specs.len()..size).zip(centres).map(entry));
    let names: Vec<_> = specs.iter().map(|s| s.name).collect();
    let mut cluster = Cluster::new(specs);
    cluster.start_all();
    support::run(async {
        // One more instance submits; the others don't count it among themselves.
        let parts = cluster.join("a", "east");
        let looking = cluster.join("b", "east");
        submit(&parts, request(1, 0, "text")).await;
        for name in &names {
            wait_for("the first version", async || {
                status(&looking, name).await.is_some_and(|s| s.version == Version(1))
            })
            .await;
        }
        // Its connections would cost every instance their keep-alive pings.
        looking.admin.endpoint.close();
        let pause = async { monoio::time::sleep(RUN).await };
        // Connections that only the start needed are closed after a while.
        monoio::time::sleep(SETTLE).await;
        let idle = usage(&cluster, &names, pause).await;
        report("idle", size, &names, &idle);
        let loaded = usage(&cluster, &names, change(&parts)).await;
        report("changes", size, &names, &loaded);
        let max =
            |costs: &[Cost], pick: fn(&Cost) -> f64| costs.iter().map(pick).fold(0.0, f64::max);
        let idle_bytes = max(&idle, |c| c.bytes);
        let change_bytes = (max(&loaded, |c| c.bytes) - idle_bytes) / CHANGES as f64;
        let greatest =
            Greatest { idle_cpu: max(&idle, |c| c.cpu_percent), idle_bytes, change_bytes };
        println!(
            "event=change instances={size} bytes_max={change_bytes:.0} expected_per_second={:.0}",
            greatest.expected_bytes(),
        );
        greatest
    })
}

/// Returns the name of the entry at a position; it lives as long as the process.
fn name(at: usize) -> &'static str {
    Box::leak(format!("e{at:03}").into_boxed_str())
}

/// Submits changes of a document with as many workspaces as are expected.
async fn change(parts: &ControlPlane) {
    let text = large(WORKSPACES);
    for number in 2..2 + CHANGES * RUN.as_secs() {
        assert_eq!(submit(parts, request(number, number - 1, &text)).await, accepted(number));
        monoio::time::sleep(Duration::from_secs(1) / CHANGES as u32).await;
    }
}

struct Cost {
    cpu_percent: f64,
    bytes: f64,
    datagrams: f64,
}

async fn usage(cluster: &Cluster, names: &[&str], work: impl Future<Output = ()>) -> Vec<Cost> {
    let read = || -> Vec<[f64; 3]> {
        let one = |name: &&str| {
            let usage = cluster.usage(name);
            let counters = [&usage.cpu, &usage.bytes, &usage.datagrams];
            counters.map(|c| c.load(Ordering::Relaxed) as f64)
        };
        names.iter().map(one).collect()
    };
    let (before, start) = (read(), Instant::now());
    work.await;
    let (after, seconds) = (read(), start.elapsed().as_secs_f64());
    let pairs = before.iter().zip(&after);
    pairs
        .map(|(before, after)| Cost {
            cpu_percent: (after[0] - before[0]) / 1e6 / seconds * 100.0,
            bytes: (after[1] - before[1]) / seconds,
            datagrams: (after[2] - before[2]) / seconds,
        })
        .collect()
}

/// Prints the largest and the mean cost of the control instances and of the others.
fn report(load: &str, size: usize, names: &[&str], costs: &[Cost]) {
    for (role, control) in [("control", true), ("entry", false)] {
        let of_role = names.iter().zip(costs).filter(|(n, _)| n.starts_with('c') == control);
        let costs: Vec<_> = of_role.map(|(_, cost)| cost).collect();
        let max = |pick: fn(&Cost) -> f64| costs.iter().map(|c| pick(c)).fold(0.0, f64::max);
        let mean = |pick: fn(&Cost) -> f64| {
            costs.iter().map(|c| pick(c)).sum::<f64>() / costs.len() as f64
        };
        println!(
            "event=cost load={load} instances={size} role={role} cpu_percent_max={:.2} \
             cpu_percent_mean={:.2} bytes_per_second_max={:.0} bytes_per_second_mean={:.0} \
             datagrams_per_second_mean={:.0}",
            max(|c| c.cpu_percent),
            mean(|c| c.cpu_percent),
            max(|c| c.bytes),
            mean(|c| c.bytes),
            mean(|c| c.datagrams),
        );
    }
}

fn controls() -> Vec<Spec> {
    let places = [("c1", "east"), ("c2", "west"), ("c3", "south")];
    places.into_iter().map(|(name, centre)| Spec { name, centre, control: true }).collect()
}
