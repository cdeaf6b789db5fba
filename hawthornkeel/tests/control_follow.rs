//! Propagation of the published state to all instances.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthornkeel::control::start::ControlPlane;
use hawthornkeel_core::ids::Version;
use support::cluster::Cluster;
use support::cluster::InstanceSpec;
use support::operator::accepted;
use support::operator::request;
use support::operator::status;
use support::operator::submit;
use support::operator::wait_for;
use support::run;

/// Maximum time from acceptance until a version is in force everywhere.
const MAX_PROPAGATION: Duration = Duration::from_secs(7);

const NAMES: [&str; 8] = ["c1", "c2", "c3", "e1", "e2", "e3", "e4", "e5"];

/// Returns eight instances in three data centres, three of them with the control role.
fn specs() -> Vec<InstanceSpec> {
    let centres = ["east", "west", "south"].into_iter().cycle();
    let spec = |(name, centre): (&'static str, _)| InstanceSpec {
        name,
        centre,
        control: name.starts_with('c'),
    };
    NAMES.into_iter().zip(centres).map(spec).collect()
}

fn start_cluster() -> Cluster {
    let mut cluster = Cluster::new(specs());
    cluster.start_all();
    cluster
}

async fn version(plane: &ControlPlane, name: &str) -> Option<Version> {
    status(plane, name).await.map(|s| s.version)
}

#[test]
fn version_propagates() {
    let cluster = start_cluster();
    run(async {
        let plane = cluster.start_local("a", "east");
        let mut longest = Duration::ZERO;
        for number in 1..=20 {
            let response = submit(&plane, request(number, number - 1, "text")).await;
            let start = Instant::now();
            assert_eq!(response, accepted(number));
            for name in NAMES {
                wait_for("the version", async || {
                    version(&plane, name).await >= Some(Version(number))
                })
                .await;
            }
            longest = longest.max(start.elapsed());
        }
        println!("maximum propagation time to 8 instances: {longest:?}");
        assert!(longest < MAX_PROPAGATION, "{longest:?}");
    });
}

#[test]
fn restarted_instance_catches_up() {
    let mut cluster = start_cluster();
    run(async {
        let plane = cluster.start_local("a", "east");
        for number in 1..=10 {
            submit(&plane, request(number, number - 1, "text")).await;
        }
        wait_for("e1", async || version(&plane, "e1").await == Some(Version(10))).await;
        cluster.kill("e1");
        for number in 11..=400 {
            assert_eq!(submit(&plane, request(number, number - 1, "text")).await, accepted(number));
        }
        cluster.start("e1");
        let start = Instant::now();
        let mut served = Version(10);
        wait_for("e1 to catch up", async || {
            // Version zero means that the instance has no document yet and does not serve.
            let now = version(&plane, "e1").await.filter(|v| *v > Version(0));
            assert!(now.is_none_or(|now| now >= served), "{now:?} after {served}");
            served = now.unwrap_or(served);
            served == Version(400)
        })
        .await;
        assert!(start.elapsed() < MAX_PROPAGATION, "{:?}", start.elapsed());
    });
}

#[test]
fn isolated_source_is_replaced() {
    let mut cluster = Cluster::with_relays(specs());
    cluster.start_all();
    run(async {
        let plane = cluster.start_local("a", "south");
        submit(&plane, request(1, 0, "text")).await;
        wait_for("e4", async || version(&plane, "e4").await == Some(Version(1))).await;
        // `e4` follows `c1`, which is now isolated from all instances but `e4`.
        cluster.set_partitioned_between("c1", &["c2", "c3", "e1", "e2", "e3", "e5", "a"], true);
        assert_eq!(submit(&plane, request(2, 1, "text")).await, accepted(2));
        let start = Instant::now();
        wait_for("e4 from another source", async || {
            version(&plane, "e4").await == Some(Version(2))
        })
        .await;
        println!("propagation time past an isolated source: {:?}", start.elapsed());
        assert!(start.elapsed() < MAX_PROPAGATION, "{:?}", start.elapsed());
    });
}
