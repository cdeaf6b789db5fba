//! A core machine is replaced as planned, and half a second later another one loses its disk: the group
//! never comes back, though a single machine counts as lost at any moment.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::OPERATORS;
use common::World;

/// Time for which the successor has run when its predecessor is stopped: catch_up_s and more.
const SUCCESSOR: Duration = Duration::from_millis(4_500);
/// Time from the SIGTERM to the loss of the other machine.
const GAP: Duration = Duration::from_millis(500);
/// Time after which the machine that lost its disk is back.
const DOWN: Duration = Duration::from_secs(1);
/// recovery_s of the sheet.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the manifest is read after that.
const READ: Duration = Duration::from_secs(10);

fn main() {
    let case = std::env::args().nth(1).unwrap_or_else(|| common::could_not_run("no folder"));
    let mut world = World::new(&case);
    let _list = world.start_provider();
    let route = common::route("idempotent", 1_000, 100, 2);
    world.start_system(2, &common::manifest(3, &route));
    // The successor of core machine 1: another address, an empty disk.
    world.start_core(4, false);
    thread::sleep(SUCCESSOR);
    let manifest = common::manifest(5, &route);
    if !world.replace(&manifest, Duration::from_secs(5)) {
        common::could_not_run("the second manifest is not acknowledged");
    }
    if common::trouble() {
        world.stop("core-1");
        thread::sleep(GAP);
        world.kill("core-2");
        world.empty_disk(2);
        thread::sleep(DOWN);
        world.set_seeds(&[2, 3, 4]);
        world.start_core(2, false);
        world.wait_end("core-1", Duration::from_secs(8));
    }
    // From now on nothing is disrupted: core machines 2, 3 and 4 run and reach each other.
    thread::sleep(RECOVERY);
    let until = Instant::now() + READ;
    let (mut is_read, mut is_older) = (false, false);
    while Instant::now() < until {
        for number in 2..=4_u8 {
            let address = format!("{}:{OPERATORS}", world.ip(number));
            let get = common::request("GET", "/Configuration.Read", "op", &[], b"");
            let answered = common::exchange(&address, &get, Duration::from_secs(2));
            let status = answered.as_ref().map(|a| a.status);
            world.record.line(&format!("manifest read at core-{number}: {status:?}"));
            let is_success = status == Some(200);
            let is_newest = answered.is_some_and(|a| a.body == manifest.as_bytes());
            is_read |= is_success && is_newest;
            is_older |= is_success && !is_newest;
        }
        thread::sleep(Duration::from_millis(500));
    }
    let next = common::manifest(7, &route);
    let is_acknowledged = world.replace_at(&[2, 3, 4], &next, Duration::from_secs(8));
    world.check_processes();
    let result = format!(
        "the acknowledged manifest was read back: {is_read}, an older one: {is_older}; a further one \
         was acknowledged: {is_acknowledged}"
    );
    world.record.line(&result);
    println!("{result}");
    drop(world);
    std::process::exit(i32::from(!is_read || is_older));
}
