//! Kills and freezes random processes under load; SOAK_SEEDS sets the number of seeds.

mod forward_site;

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::forward_site::Callers;
use crate::forward_site::Site;

/// Default number of seeds, as run in CI; longer runs use 50 and more.
const DEFAULT_SEEDS: u64 = 3;
/// Duration of the faults for each seed.
const FAULT_DURATION: Duration = Duration::from_secs(6);
/// Time within which requests must succeed again after the faults.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Header fields that callers send.
const FIELDS: &str = "Authorization: Token k1\r\nDeadline-Milliseconds: 900\r\n";

fn document(version: u64) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"a.example","path_prefix":"/{name}/","route_type":"{kind}",
            "timeout_ms":1000,"target_latency_ms":500,"service":"ledger","max_attempts":2}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{{"name":"ledger"}}],
        "tenants":[{{"name":"makers","api_keys":["k1"]}}]}}"#,
        route("sign", "non_idempotent"),
        route("lots", "idempotent")
    )
}

/// Response status of each request by its path, `None` without a response.
type Outcomes = BTreeMap<String, Option<u16>>;

/// Sends requests one after the other until `stop` is set.
fn load(callers: &Callers, seed: u64, caller: u64, stop: &AtomicBool) -> Outcomes {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 100 + caller);
    let mut outcomes = Outcomes::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let (method, kind) = if rng.random_bool(0.6) { ("POST", "sign") } else { ("GET", "lots") };
        let path = format!("/{kind}/{caller}-{number}");
        let fields = format!("{FIELDS}Request-Id: {caller}-{number}\r\n");
        let got = callers.try_call(rng.random_range(0..2), method, &path, &fields);
        if let Some(got) = got.as_ref().filter(|g| g.status == 200) {
            assert!(got.body.ends_with(&path), "response to another request: {got:?}");
        }
        outcomes.insert(path, got.map(|g| g.status));
        number += 1;
        thread::sleep(Duration::from_millis(rng.random_range(5..30)));
    }
    outcomes
}

/// Kills, freezes and restarts processes and replaces documents.
///
/// Returns the version of the last acknowledged document.
fn inject_faults(site: &mut Site, rng: &mut ChaCha8Rng, stop: &AtomicBool) -> u64 {
    let until = Instant::now() + FAULT_DURATION;
    let (mut version, mut acknowledged) = (1, 1);
    let mut frozen = Vec::new();
    while Instant::now() < until {
        let at = rng.random_range(0..site.processes());
        match rng.random_range(0..4) {
            0 if site.runs(at) => site.kill(at),
            0 | 1 if !site.runs(at) => site.spawn(at),
            2 if !frozen.contains(&at) => {
                site.signal(at, Signal::STOP);
                frozen.push(at);
            }
            _ => frozen.drain(..).for_each(|at| site.signal(at, Signal::CONT)),
        }
        version += 1;
        let put = site.try_put(rng.random_range(0..3), &document(version));
        if put.is_some_and(|g| g.status == 200) {
            acknowledged = version;
        }
        thread::sleep(Duration::from_millis(rng.random_range(50..400)));
    }
    for at in 0..site.processes() {
        site.signal(at, Signal::CONT);
        if !site.runs(at) {
            site.spawn(at);
        }
    }
    stop.store(true, Ordering::Relaxed);
    acknowledged
}

/// Waits until a condition holds; panics with `message` after the recovery timeout.
fn eventually(message: &str, site: &Site, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + RECOVERY_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "{message}:\n{}", site.logs());
        thread::sleep(Duration::from_millis(100));
    }
}

/// Asserts that non-idempotent requests ran at most once and as their response status implies.
fn check_runs(site: &Site, outcomes: &Outcomes, seed: u64) {
    for (path, status) in outcomes.iter().filter(|(p, _)| p.starts_with("/sign/")) {
        let runs = site.got(&format!("POST {path}?")).len();
        assert!(runs <= 1, "seed {seed}: {path} ran {runs} times");
        match status {
            Some(200) => assert_eq!(runs, 1, "seed {seed}: {path} was answered but never ran"),
            Some(429 | 503) => assert_eq!(runs, 0, "seed {seed}: {path} was rejected but ran"),
            _ => {}
        }
    }
}

#[test]
fn random_faults() {
    let seeds =
        std::env::var("SOAK_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    for seed in 0..seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // The fake targets of earlier seeds still listen on their addresses.
        let net = 80 + u8::try_from(seed % 150).unwrap();
        let mut site = Site::with_controls(net, 3);
        assert_eq!(site.put(&document(1)), 200);
        site.call_until(200, "/lots/first", &format!("{FIELDS}Request-Id: first\r\n"));
        let stop = AtomicBool::new(false);
        let callers = site.callers();
        let (acknowledged, outcomes) = thread::scope(|scope| {
            let loads: Vec<_> = (0..3)
                .map(|caller| {
                    let (callers, stop) = (&callers, &stop);
                    scope.spawn(move || load(callers, seed, caller, stop))
                })
                .collect();
            let acknowledged = inject_faults(&mut site, &mut rng, &stop);
            let outcomes: Outcomes = loads.into_iter().flat_map(|l| l.join().unwrap()).collect();
            (acknowledged, outcomes)
        });
        check_runs(&site, &outcomes, seed);
        eventually("requests fail after the faults", &site, || {
            let fields = format!("{FIELDS}Request-Id: last\r\n");
            let answers = (0..2).map(|e| callers.try_call(e, "GET", "/lots/last", &fields));
            answers.into_iter().all(|a| a.is_some_and(|g| g.status == 200))
        });
        eventually("acknowledged document lost", &site, || {
            let read = site.try_read(0).filter(|g| g.status == 200);
            read.is_some_and(|g| {
                let version = (acknowledged..acknowledged + 100).find(|v| g.body == document(*v));
                version.is_some()
            })
        });
        let succeeded = outcomes.values().filter(|s| **s == Some(200)).count();
        assert!(succeeded > 0, "seed {seed}: no request succeeded");
    }
}
