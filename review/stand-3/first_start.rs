//! A core machine dies in the first second of the very first start and comes back: no group is formed.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::OPERATORS;
use common::World;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_else(|| common::could_not_run("no folder"));
    let mut world = World::new(&case);
    let _list = world.start_provider();
    // All machines start within 0.3 s of each other, in any order.
    world.start_core(1, true);
    world.start_core(2, true);
    thread::sleep(Duration::from_millis(200));
    if common::trouble() {
        world.kill("core-1");
    }
    thread::sleep(Duration::from_millis(100));
    world.start_core(3, true);
    world.start_entry(1);
    world.start_entry(2);
    if common::trouble() {
        thread::sleep(Duration::from_millis(500));
        // The whole system no longer starts for the first time.
        world.start_core(1, false);
    }
    let back = Instant::now();
    let route = common::route("idempotent", 1_000, 100, 2);
    let manifest = common::manifest(3, &route);
    let is_acknowledged = world.replace(&manifest, Duration::from_secs(60));
    let waited = back.elapsed().as_secs_f64();
    // Read back at the end, for longer than contact_window_ms.
    let until = Instant::now() + Duration::from_secs(6);
    let mut is_read = false;
    while Instant::now() < until && !is_read {
        for number in 1..=3_u8 {
            let address = format!("{}:{OPERATORS}", world.ip(number));
            let get = common::request("GET", "/Configuration.Read", "op", &[], b"");
            let answered = common::exchange(&address, &get, Duration::from_secs(2));
            let status = answered.as_ref().map(|a| a.status);
            world.record.line(&format!("manifest read at core-{number}: {status:?}"));
            is_read |= answered.is_some_and(|a| a.status == 200 && a.body == manifest.as_bytes());
        }
        thread::sleep(Duration::from_millis(500));
    }
    world.check_processes();
    let result = format!(
        "the first manifest was acknowledged: {is_acknowledged}, {waited:.1} s after all machines \
         were there; it was read back: {is_read}"
    );
    world.record.line(&result);
    println!("{result}");
    drop(world);
    std::process::exit(i32::from(!is_read));
}
