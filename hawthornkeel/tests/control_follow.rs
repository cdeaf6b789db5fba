//! Instances that follow the published state.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthornkeel::control::start::ControlPlane;
use hawthornkeel_core::ids::Version;
use support::cluster::Cluster;
use support::cluster::Spec;
use support::operator::accepted;
use support::operator::request;
use support::operator::status;
use support::operator::submit;
use support::operator::wait_for;
use support::run;

/// Longest time from acceptance until a version is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(7);

const NAMES: [&str; 8] = ["c1", "c2", "c3", "e1", "e2", "e3", "e4", "e5"];

/// Eight instances in three data centres, three of them with the control role.
fn specs() -> Vec<Spec> {
    let centres = ["east", "west", "south"].into_iter().cycle();
    let spec =
        |(name, centre): (&'static str, _)| Spec { name, centre, control: name.starts_with('c') };
    NAMES.into_iter().zip(centres).map(spec).collect()
}

fn eight() -> Cluster {
    let mut cluster = Cluster::new(specs());
    cluster.start_all();
    cluster
}

async fn version(parts: &ControlPlane, name: &str) -> Option<Version> {
    status(parts, name).await.map(|s| s.version)
}

#[test]
fn in_force_everywhere() {
    let cluster = eight();
    run(async {
        let parts = cluster.join("a", "east");
        let mut longest = Duration::ZERO;
        for number in 1..=20 {
            let response = submit(&parts, request(number, number - 1, "text")).await;
            let start = Instant::now();
            assert_eq!(response, accepted(number));
            for name in NAMES {
                wait_for("the version", async || {
                    version(&parts, name).await >= Some(Version(number))
                })
                .await;
            }
            longest = longest.max(start.elapsed());
        }
        println!("longest time from acceptance to in force at 8 instances: {longest:?}");
        assert!(longest < IN_FORCE, "{longest:?}");
    });
}

#[test]
fn restarted_catches_up() {
    let mut cluster = eight();
    run(async {
        let parts = cluster.join("a", "east");
        for number in 1..=10 {
            submit(&parts, request(number, number - 1, "text")).await;
        }
        wait_for("e1", async || version(&parts, "e1").await == Some(Version(10))).await;
        cluster.kill("e1");
        for number in 11..=400 {
            assert_eq!(submit(&parts, request(number, number - 1, "text")).await, accepted(number));
        }
        cluster.start("e1");
        let start = Instant::now();
        let mut served = Version(10);
        wait_for("e1 to catch up", async || {
            // Version zero is none at all: the instance does not serve then.
            let now = version(&parts, "e1").await.filter(|v| *v > Version(0));
            assert!(now.is_none_or(|now| now >= served), "{now:?} after {served}");
            served = now.unwrap_or(served);
            served == Version(400)
        })
        .await;
        assert!(start.elapsed() < IN_FORCE, "{:?}", start.elapsed());
    });
}

#[test]
fn source_cut_off() {
    let mut cluster = Cluster::with_relays(specs());
    cluster.start_all();
    run(async {
        let parts = cluster.join("a", "south");
        submit(&parts, request(1, 0, "text")).await;
        wait_for("e4", async || version(&parts, "e4").await == Some(Version(1))).await;
        // `e4` follows `c1`, which from now on reaches only it.
        cluster.set_cut_between("c1", &["c2", "c3", "e1", "e2", "e3", "e5", "a"], true);
        assert_eq!(submit(&parts, request(2, 1, "text")).await, accepted(2));
        let start = Instant::now();
        wait_for("e4 from another", async || version(&parts, "e4").await == Some(Version(2))).await;
        println!("in force past a source that is cut off: {:?}", start.elapsed());
        assert!(start.elapsed() < IN_FORCE, "{:?}", start.elapsed());
    });
}
