//! An entry of the platform's list has bytes that can't be read; another runner of the list leaves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::ZONES;
use crate::late_order;
use crate::record;
use crate::runners;
use crate::runners::List;
use crate::runners::Listed;

/// `drain_timeout_ms` of the installation.
const DRAIN: Duration = Duration::from_millis(3_000);
/// `max_lag_ms` of the list.
const LAG: Duration = Duration::from_millis(800);
/// Time for which arrivals are counted after both; the runner goes on serving meanwhile.
const COUNTED: Duration = Duration::from_secs(6);

pub fn play(trouble: bool) -> Verdict {
    let mut fleet = Fleet::new(3);
    let list = List::default();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    for (number, zone) in ZONES.iter().enumerate() {
        let address = fleet.runner_address(number, number);
        let runner = Listed::new("ledger", number, zone, address, 6);
        list.runners.lock().unwrap().push(runner.clone());
        runners::serve_plain(runner, Arc::clone(&arrivals));
    }
    runners::serve_list(fleet.platform, list.clone());
    fleet.start_all();
    let all: Vec<SocketAddr> = (0..3).map(|c| fleet.control(c)).collect();
    let body = late_order::MANIFEST.as_bytes();
    let limit = Duration::from_secs(20);
    if fleet::order(&all, "POST", "/Configuration.Replace", body, limit).is_none() {
        return Verdict::NotRun("the manifest was not acknowledged".to_owned());
    }
    if !(0..3).all(|f| fleet.wait_ready(f, Duration::from_secs(10))) {
        return Verdict::NotRun("a front machine is not ready".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new(0));
    let consumers: Vec<_> = (0..3)
        .map(|front| {
            let (address, stop) = (fleet.front(front), Arc::clone(&stop));
            let served = Arc::clone(&served);
            thread::spawn(move || late_order::consume(address, front, &stop, &served))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if trouble {
        // The zone's name is two bytes that are no text.
        let entry = b"{\"service\":\"ledger\",\"address\":\"127.0.0.1:1\",\"zone\":\"\xff\x01\",\
            \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
            \"identifier\":\"i-other\"}";
        list.foreign.lock().unwrap().push(entry.to_vec());
        record::line("the list has an entry of another writer, with bytes that can't be read");
    }
    thread::sleep(Duration::from_secs(2));
    list.runners.lock().unwrap()[1].state = "draining";
    let shown = Instant::now();
    record::line("the list shows that i-ledger-1 is draining; it goes on serving");
    let from = shown + DRAIN + LAG;
    thread::sleep(from.saturating_duration_since(Instant::now()) + COUNTED);
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let ended = fleet.ended();
    let arrivals = arrivals.lock().unwrap().clone();
    let late = arrivals.iter().filter(|a| a.at > from && a.runner == "i-ledger-1").count();
    let counted = arrivals.iter().filter(|a| a.at > from).count();
    record::line(&format!(
        "{} requests were served; {late} of {counted} arrivals later than {} ms after the list \
         showed it reached the draining runner; processes that ended: {ended:?}",
        served.lock().unwrap(),
        (DRAIN + LAG).as_millis()
    ));
    if counted < 50 {
        return Verdict::NotRun("too few requests were served".to_owned());
    }
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
