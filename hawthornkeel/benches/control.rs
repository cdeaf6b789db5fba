//! Claim throughput and commit latency with real syncs, with and without batching, and the cost of
//! the control plane to each instance.
//!
//! Prints one `key=value` line per measurement. Without batching each command is a separate log
//! entry and each save is synced separately; entries may still share a message. Regression limits
//! are checked at the end of the run, on figures that don't depend on other load of the machine:
//! log entries per claim, the leader's CPU time per claim relative to that without batching, and
//! the users' limits for the control plane.
//!
//! CPU time is that of an instance's event loop, without the disk writer thread. Bytes are those of
//! datagrams sent and received, without UDP and IP headers.

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
use support::cluster::InstanceSpec;
use support::operator::accepted;
use support::operator::leader;
use support::operator::request;
use support::operator::status;
use support::operator::submit;
use support::operator::wait_for;

/// Concurrent claimers of each measurement.
const CLAIMERS: [u32; 4] = [1, 16, 128, 512];
/// Number of claimers at which the limits on batching are checked.
const CHECKED_CLAIMERS: u32 = 512;
/// Maximum number of log entries per claim with batching.
const MAX_ENTRIES: f64 = 0.1;
/// Maximum CPU time of the leader per claim with batching, relative to that without.
const MAX_CPU_SHARE: f64 = 0.9;
/// Number of instances of each cost measurement.
const SIZES: [usize; 4] = [8, 16, 32, 64];
/// Duration of one measurement.
const MEASUREMENT: Duration = Duration::from_secs(3);
/// Time for connections to settle after the start.
///
/// Longer than the 15 s after which an instance returns to a preferred source.
const WARM_UP: Duration = Duration::from_secs(22);
/// Timeout of one claim.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum CPU usage of the control plane at an instance, in percent of a core.
const MAX_CPU_PERCENT: f64 = 2.6;
/// Maximum traffic of the control plane at an instance, in bytes per second.
const MAX_BYTES: f64 = 23_000.0;
/// Document changes per second while their cost is measured.
const CHANGES: u64 = 2;
/// Document changes per second that the users expect.
const EXPECTED_CHANGES: f64 = 9_200.0 / 86_400.0;
/// Number of workspaces that the users expect.
const WORKSPACES: u32 = 1_600;

fn main() {
    let mut checked = Vec::new();
    for claimers in CLAIMERS {
        let unbatched = measure_claims("off", unbatched_tuning(), claimers);
        let batched = measure_claims("on", Tuning::default(), claimers);
        println!(
            "event=gain claimers={claimers} claims_ratio={:.2} leader_cpu_ratio={:.2}",
            batched.per_second() / unbatched.per_second(),
            batched.cpu / unbatched.cpu,
        );
        if claimers == CHECKED_CLAIMERS {
            checked.push((batched.entries, batched.cpu / unbatched.cpu));
        }
    }
    let costs: Vec<_> = SIZES.into_iter().map(measure_cost).collect();
    for (entries, cpu) in checked {
        assert!(entries <= MAX_ENTRIES, "{entries:.3} log entries per claim exceed {MAX_ENTRIES}");
        assert!(
            cpu <= MAX_CPU_SHARE,
            "CPU time per claim is {cpu:.2} of that without batching, above {MAX_CPU_SHARE}"
        );
    }
    for cost in costs {
        assert!(cost.idle_cpu <= MAX_CPU_PERCENT, "{cost:?}: above {MAX_CPU_PERCENT}%");
        let bytes = cost.expected_bytes();
        assert!(bytes <= MAX_BYTES, "{cost:?}: {bytes:.0} bytes per second");
    }
}

fn unbatched_tuning() -> Tuning {
    let disk = DiskSettings { group_saves: 1, ..DiskSettings::default() };
    Tuning { batch: BatchLimits::single(), disk }
}

/// Measures claims by concurrent claimers.
///
/// Starts a new cluster, because claims are kept for a day and their number is limited.
fn measure_claims(batches: &str, tuning: Tuning, claimers: u32) -> Claims {
    let mut cluster = Cluster::new(controls());
    cluster.set_tuning(tuning);
    cluster.start_all();
    support::run(async {
        let plane = cluster.start_local("a", "east");
        let leader = leader(&plane).await;
        let before = read_counters(&cluster, &plane, leader.as_str()).await;
        let mut claims = run_claimers(&plane, claimers).await;
        let after = read_counters(&cluster, &plane, leader.as_str()).await;
        let granted = claims.granted as f64;
        claims.entries = (after.0 - before.0) / granted;
        claims.cpu = (after.1 - before.1) / granted;
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

/// Returns the commit index and the CPU time in microseconds of a leader.
async fn read_counters(cluster: &Cluster, plane: &ControlPlane, leader: &str) -> (f64, f64) {
    let status = status(plane, leader).await.unwrap();
    // The instance samples its CPU time periodically.
    monoio::time::sleep(Duration::from_millis(50)).await;
    let cpu = cluster.usage(leader).cpu.load(Ordering::Relaxed);
    (status.control.unwrap().commit.0 as f64, cpu as f64)
}

#[derive(Clone)]
struct Claims {
    latency: Histogram<u64>,
    /// Number of claims granted, including those after the end of the measurement.
    granted: u64,
    /// Log entries per claim.
    entries: f64,
    /// CPU time of the leader's event loop per claim, in microseconds.
    cpu: f64,
    /// Number of claims that were not granted.
    refused: u64,
    /// Number of claims without an outcome.
    unknown: u64,
}

impl Claims {
    fn per_second(&self) -> f64 {
        self.latency.len() as f64 / MEASUREMENT.as_secs_f64()
    }
}

async fn run_claimers(plane: &ControlPlane, claimers: u32) -> Claims {
    let latency = Rc::new(RefCell::new(Histogram::new(3).unwrap()));
    let granted = Rc::new(Cell::new(0));
    let (refused, unknown) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let running = Rc::new(Cell::new(claimers));
    let deadline = Instant::now() + MEASUREMENT;
    for _ in 0..claimers {
        let (latency, running) = (latency.clone(), running.clone());
        let (granted, refused, unknown) = (granted.clone(), refused.clone(), unknown.clone());
        let plane = plane.clone();
        monoio::spawn(async move {
            while Instant::now() < deadline {
                let start = Instant::now();
                match plane.client.propose(claim(), TIMEOUT).await {
                    Ok(Outcome::Claim(ClaimOutcome::Granted)) => {
                        granted.set(granted.get() + 1);
                        if Instant::now() < deadline {
                            let micros = start.elapsed().as_micros() as u64;
                            latency.borrow_mut().record(micros).unwrap();
                        }
                    }
                    Ok(_) => refused.set(refused.get() + 1),
                    Err(_) => unknown.set(unknown.get() + 1),
                }
            }
            running.set(running.get() - 1);
        });
    }
    support::wait_until("the claimers", || running.get() == 0).await;
    Claims {
        latency: latency.replace(Histogram::new(3).unwrap()),
        granted: granted.get(),
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

/// Maximum cost of the control plane to an instance.
#[derive(Clone, Copy, Debug, Default)]
struct MaxCost {
    /// CPU usage while idle, in percent of a core.
    idle_cpu: f64,
    /// Traffic while idle, in bytes per second.
    idle_bytes: f64,
    /// Traffic per document change, in bytes.
    change_bytes: f64,
}

impl MaxCost {
    /// Returns the traffic at the expected rate of changes, in bytes per second.
    fn expected_bytes(&self) -> f64 {
        self.idle_bytes + self.change_bytes * EXPECTED_CHANGES
    }
}

/// Measures the cost at `size` instances, idle and during document changes.
fn measure_cost(size: usize) -> MaxCost {
    let centres = ["east", "west", "south"].into_iter().cycle();
    let mut specs = controls();
    let entry = |(index, centre)| InstanceSpec { name: entry_name(index), centre, control: false };
    specs.extend((specs.len()..size).zip(centres).map(entry));
    let names: Vec<_> = specs.iter().map(|s| s.name).collect();
    let mut cluster = Cluster::new(specs);
    cluster.start_all();
    support::run(async {
        // Submits through an additional instance, which is not part of the measurement.
        let plane = cluster.start_local("a", "east");
        let observer = cluster.start_local("b", "east");
        submit(&plane, request(1, 0, "text")).await;
        for name in &names {
            wait_for("the first version", async || {
                status(&observer, name).await.is_some_and(|s| s.version == Version(1))
            })
            .await;
        }
        // Open connections of the observer would cost every instance keep-alive pings.
        observer.admin.endpoint.close();
        let idle_period = async { monoio::time::sleep(MEASUREMENT).await };
        // Connections that only the start needs are closed after a while.
        monoio::time::sleep(WARM_UP).await;
        let idle = measure_usage(&cluster, &names, idle_period).await;
        print_costs("idle", size, &names, &idle);
        let changing = measure_usage(&cluster, &names, submit_changes(&plane)).await;
        print_costs("changes", size, &names, &changing);
        let max =
            |costs: &[Cost], value: fn(&Cost) -> f64| costs.iter().map(value).fold(0.0, f64::max);
        let idle_bytes = max(&idle, |c| c.bytes);
        let change_bytes = (max(&changing, |c| c.bytes) - idle_bytes) / CHANGES as f64;
        let max_cost =
            MaxCost { idle_cpu: max(&idle, |c| c.cpu_percent), idle_bytes, change_bytes };
        println!(
            "event=change instances={size} bytes_max={change_bytes:.0} expected_per_second={:.0}",
            max_cost.expected_bytes(),
        );
        max_cost
    })
}

/// Returns the name of the entry with this index, leaked for a static lifetime.
fn entry_name(index: usize) -> &'static str {
    Box::leak(format!("e{index:03}").into_boxed_str())
}

/// Submits changes of a document with the expected number of workspaces.
async fn submit_changes(plane: &ControlPlane) {
    let text = large(WORKSPACES);
    for number in 2..2 + CHANGES * MEASUREMENT.as_secs() {
        assert_eq!(submit(plane, request(number, number - 1, &text)).await, accepted(number));
        monoio::time::sleep(Duration::from_secs(1) / CHANGES as u32).await;
    }
}

struct Cost {
    cpu_percent: f64,
    bytes: f64,
    datagrams: f64,
}

async fn measure_usage(
    cluster: &Cluster,
    names: &[&str],
    work: impl Future<Output = ()>,
) -> Vec<Cost> {
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

/// Prints the maximum and mean cost for control instances and for entries.
fn print_costs(load: &str, size: usize, names: &[&str], costs: &[Cost]) {
    for (role, control) in [("control", true), ("entry", false)] {
        let of_role = names.iter().zip(costs).filter(|(n, _)| n.starts_with('c') == control);
        let costs: Vec<_> = of_role.map(|(_, cost)| cost).collect();
        let max = |value: fn(&Cost) -> f64| costs.iter().map(|c| value(c)).fold(0.0, f64::max);
        let mean = |value: fn(&Cost) -> f64| {
            costs.iter().map(|c| value(c)).sum::<f64>() / costs.len() as f64
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

fn controls() -> Vec<InstanceSpec> {
    let controls = [("c1", "east"), ("c2", "west"), ("c3", "south")];
    controls
        .into_iter()
        .map(|(name, centre)| InstanceSpec { name, centre, control: true })
        .collect()
}
