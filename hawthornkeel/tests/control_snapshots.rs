//! Control instances that start from a snapshot.

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
/// Log entries between snapshots.
const SNAPSHOT_ENTRIES: u64 = 40;
/// Changes in a test, many times that.
const CHANGES: u64 = 300;

fn three() -> Cluster {
    let spec = |name| InstanceSpec { name, centre: "east", control: true };
    let mut cluster = Cluster::new(CONTROLS.into_iter().map(spec).collect());
    cluster.set_snapshot_entries(SNAPSHOT_ENTRIES);
    cluster.start_all();
    cluster
}

#[test]
fn replaced_disk_gets_snapshot() {
    let mut cluster = three();
    run(async {
        let parts = cluster.start_local("a", "east");
        for number in 1..=CHANGES {
            assert_eq!(submit(&parts, request(number, number - 1, "old")).await, accepted(number));
        }
        replace_disk(&mut cluster, &parts, "c1", "c2").await;
        cluster.kill("c2");
        // What came before the snapshot is still known: a resend gets the first outcome.
        assert_eq!(submit(&parts, request(1, 0, "old")).await, accepted(1));
        let next = CHANGES + 1;
        assert_eq!(submit(&parts, request(next, CHANGES, "new")).await, accepted(next));

        cluster.kill("c1");
        cluster.kill("c3");
        cluster.start_all();
        for name in CONTROLS {
            wait_for("the state from the snapshot", async || {
                status(&parts, name).await.is_some_and(|s| s.version == Version(next))
            })
            .await;
        }
        assert_eq!(submit(&parts, request(1, 0, "old")).await, accepted(1));
    });
}
