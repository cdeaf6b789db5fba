//! Control instances with full disks while large documents change.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthornkeel::control::open::Tuning;
use hawthornkeel::control::start::ControlPlane;
use hawthornkeel::disk::DiskSettings;
use hawthornkeel_core::ids::Version;
use support::cluster::Cluster;
use support::cluster::InstanceSpec;
use support::operator::accepted;
use support::operator::request;
use support::operator::status;
use support::operator::submit;
use support::operator::wait_for;
use support::run;

const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];
/// Number of log entries between snapshots; a tenth of them is retained for slow followers.
const SNAPSHOT_ENTRIES: u64 = 20;
/// Time for which each disk is full.
const FULL_TIME: Duration = Duration::from_secs(3);
/// Size of a document.
const DOCUMENT_BYTES: usize = 400_000;
/// Size of a disk, a few times the log that is retained.
const DISK_BYTES: u64 = 30_000_000;
/// Size of a segment, small beside the disk.
const SEGMENT_BYTES: u64 = 2_000_000;
/// Number of documents, several times as large together as a disk.
const DOCUMENTS: u64 = 200;
/// Pause between two submissions.
const PAUSE: Duration = Duration::from_millis(20);

/// Operator that submits one document after the other.
struct Operator {
    plane: ControlPlane,
    text: String,
    version: u64,
}

impl Operator {
    async fn submit_next(&mut self) {
        let next = self.version + 1;
        let response = submit(&self.plane, request(next, self.version, &self.text)).await;
        assert_eq!(response, accepted(next));
        self.version = next;
    }

    /// Submits documents for `time`.
    async fn submit_for(&mut self, time: Duration) {
        let start = Instant::now();
        while start.elapsed() < time {
            self.submit_next().await;
            monoio::time::sleep(PAUSE).await;
        }
    }

    /// Waits until an instance has the last document.
    async fn wait_for_last(&self, name: &str) {
        wait_for("the last document", async || {
            status(&self.plane, name).await.is_some_and(|s| s.version == Version(self.version))
        })
        .await;
    }
}

fn three_controls() -> Cluster {
    let spec = |name| InstanceSpec { name, centre: "east", control: true };
    Cluster::new(CONTROLS.into_iter().map(spec).collect())
}

// The log between two snapshots, counted in entries only, filled the disks for good.
#[test]
fn large_documents_fit_disk() {
    let mut cluster = three_controls();
    let disk = DiskSettings { segment_bytes: SEGMENT_BYTES, ..DiskSettings::default() };
    cluster.set_tuning(Tuning { disk, ..Tuning::default() });
    cluster.set_disk_bytes(DISK_BYTES);
    cluster.start_all();
    run(async {
        let plane = cluster.start_local("a", "east");
        let mut operator = Operator { plane, text: "x".repeat(DOCUMENT_BYTES), version: 0 };
        while operator.version < DOCUMENTS {
            operator.submit_next().await;
        }
        for name in CONTROLS {
            operator.wait_for_last(name).await;
        }
    });
}

#[test]
fn changes_go_on_afterwards() {
    let mut cluster = three_controls();
    cluster.set_snapshot_entries(SNAPSHOT_ENTRIES);
    cluster.start_all();
    run(async {
        let plane = cluster.start_local("a", "east");
        let mut operator = Operator { plane, text: "x".repeat(DOCUMENT_BYTES), version: 0 };
        operator.submit_next().await;
        for name in CONTROLS {
            cluster.set_full(name, true);
            operator.submit_for(FULL_TIME).await;
            cluster.set_full(name, false);
        }
        operator.submit_next().await;
        for name in CONTROLS {
            operator.wait_for_last(name).await;
        }
        // Each of them is a voter that can replace any other.
        for name in CONTROLS {
            cluster.kill(name);
            operator.submit_next().await;
            cluster.start(name);
            operator.wait_for_last(name).await;
        }
    });
}
