//! Recovery of control instances from snapshots.

mod support;

use hawthornkeel_core::ids::Version;
use support::cluster::Cluster;
use support::cluster::InstanceSpec;
use support::operator::accepted;
use support::operator::replace_disk;
use support::operator::request;
use support::operator::status;
use support::operator::submit;
use support::operator::wait_for;
use support::run;

const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];
/// Number of log entries between snapshots.
const SNAPSHOT_ENTRIES: u64 = 40;
/// Number of changes, which cause several snapshots.
const CHANGES: u64 = 300;

fn three_controls() -> Cluster {
    let spec = |name| InstanceSpec { name, centre: "east", control: true };
    let mut cluster = Cluster::new(CONTROLS.into_iter().map(spec).collect());
    cluster.set_snapshot_entries(SNAPSHOT_ENTRIES);
    cluster.start_all();
    cluster
}

#[test]
fn replaced_disk_gets_snapshot() {
    let mut cluster = three_controls();
    run(async {
        let plane = cluster.start_local("a", "east");
        for number in 1..=CHANGES {
            assert_eq!(submit(&plane, request(number, number - 1, "old")).await, accepted(number));
        }
        replace_disk(&mut cluster, &plane, "c1", "c2").await;
        cluster.kill("c2");
        // The snapshot includes the outcomes of operations, so a resend gets the original one.
        assert_eq!(submit(&plane, request(1, 0, "old")).await, accepted(1));
        let next = CHANGES + 1;
        assert_eq!(submit(&plane, request(next, CHANGES, "new")).await, accepted(next));

        cluster.kill("c1");
        cluster.kill("c3");
        cluster.start_all();
        for name in CONTROLS {
            wait_for("the state from the snapshot", async || {
                status(&plane, name).await.is_some_and(|s| s.version == Version(next))
            })
            .await;
        }
        assert_eq!(submit(&plane, request(1, 0, "old")).await, accepted(1));
    });
}
