//! Confirmations of the published state by control instances that lack committed changes.

mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::control::node::ControlNode;
use hawthornkeel::control::node::ControlOptions;
use hawthornkeel::control::proposal_queue::BatchLimits;
use hawthornkeel::control::start;
use hawthornkeel::control::start::ControlPlane;
use hawthornkeel::control::storage::LogStorage;
use hawthornkeel::peer::Endpoint;
use hawthornkeel::peer::Frame;
use hawthornkeel::peer::frame::Follow;
use hawthornkeel_config::settings;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::ids::ReplicaId;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::Node;
use hawthornkeel_core::replica::Payload;
use hawthornkeel_core::replica::PersistedState;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::SaveSeq;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use support::operator::accepted;
use support::operator::request;
use support::operator::submit;
use support::operator::wait_for;
use support::run;
use tempfile::TempDir;

/// Control instances of the test.
const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];
/// Size of a document. A few of them exceed what is sent to a follower that acknowledges nothing.
const DOCUMENT_BYTES: usize = 300_000;
/// Number of documents submitted while the disk hangs.
const DOCUMENTS: u64 = 10;
/// Time in which another instance becomes leader and would confirm its state.
const LEADERSHIP_TIME: Duration = Duration::from_secs(4);
/// Timeout of a call that is answered at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Saves that a disk never finishes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Hang {
    #[default]
    Nothing,
    /// The first entry of a new leader, and what is saved after it.
    NewLeader,
    Everything,
}

/// Storage that hangs.
struct HangingStorage {
    control: Rc<RefCell<Option<ControlNode>>>,
    hang: Rc<Cell<Hang>>,
}

impl LogStorage for HangingStorage {
    fn save(&self, seq: SaveSeq, save: Save) {
        if self.hang.get() == Hang::NewLeader && has_noop(&save) {
            self.hang.set(Hang::Everything);
        }
        if self.hang.get() == Hang::Everything {
            return;
        }
        let control = self.control.clone();
        monoio::spawn(async move {
            let control = control.borrow().clone();
            control.unwrap().synced(seq);
        });
    }
}

/// Returns whether a save has the first entry of a leader.
fn has_noop(save: &Save) -> bool {
    match save {
        Save::Log { entries, .. } => entries.iter().any(|e| e.payload == Payload::Noop),
        Save::Snapshot { .. } => false,
    }
}

/// Control instance whose disk can hang.
struct Control {
    plane: ControlPlane,
    hang: Rc<Cell<Hang>>,
}

impl Control {
    fn start(settings: &Settings, socket: std::net::UdpSocket, id: u64) -> Self {
        let endpoint = Endpoint::with_socket(socket, settings).unwrap();
        let (started, hang) = (Rc::default(), Rc::new(Cell::default()));
        let storage = HangingStorage { control: Rc::clone(&started), hang: Rc::clone(&hang) };
        let options = ControlOptions {
            node: Node { id: ReplicaId(id), name: endpoint.name().clone() },
            settings: start::replica_settings(settings),
            batch: BatchLimits::default(),
            rng: ChaCha8Rng::seed_from_u64(id),
            persisted: PersistedState::default(),
        };
        let control = ControlNode::start(options, endpoint.clone(), Box::new(storage)).unwrap();
        started.replace(Some(control.clone()));
        Self { plane: start::start(settings, &endpoint, Some(control)), hang }
    }

    fn name(&self) -> &InstanceName {
        self.plane.admin.endpoint.name()
    }

    fn is_leader(&self) -> bool {
        self.plane.control.as_ref().is_some_and(|c| c.lead().is_leader)
    }

    /// Stops the instance at once.
    fn kill(&self) {
        self.plane.admin.endpoint.close();
        self.plane.control.as_ref().unwrap().stop();
    }
}

/// Starts the control instances, and an instance without the control role.
fn start_all(folder: &TempDir) -> (Vec<Control>, ControlPlane) {
    let sockets: Vec<_> = CONTROLS.iter().map(|_| support::socket()).collect();
    let peers: Vec<_> = CONTROLS
        .iter()
        .zip(&sockets)
        .map(|(name, socket)| support::peer(name, socket.local_addr().unwrap()))
        .collect();
    let settings = |name: &str, enabled| {
        let others = peers.iter().filter(|p| p.name.as_str() != name).cloned().collect();
        let founders = CONTROLS.into_iter().map(InstanceName::new).collect();
        let control = settings::Control { enabled, founders, ..settings::Control::default() };
        Settings { control, ..support::settings(folder.path(), name, others) }
    };
    let start = |(id, (name, socket)): (u64, (&&str, std::net::UdpSocket))| {
        Control::start(&settings(name, true), socket, id)
    };
    let controls = (1..).zip(CONTROLS.iter().zip(sockets)).map(start).collect();
    let own = settings("a", false);
    let endpoint = Endpoint::with_socket(support::socket(), &own).unwrap();
    (controls, start::start(&own, &endpoint, None))
}

/// Asks an instance for its published state, and checks that a confirmed one includes the versions
/// acknowledged before, the first of which is 1.
///
/// Returns the time until which the state is confirmed, if it is.
async fn check_confirmation(
    plane: &ControlPlane,
    name: &InstanceName,
    acknowledged: &RefCell<Vec<Instant>>,
) -> Option<Instant> {
    let sent = Instant::now();
    let frame = Frame::Follow(Follow::Newer { after: None, wait_ms: 0 });
    let reply = plane.admin.endpoint.call(name, &frame, CALL_TIMEOUT).await;
    let Ok(Frame::Followed(followed)) = reply else { return None };
    let confirmed_at = sent - Duration::from_millis(followed.age_ms?);
    let required = acknowledged.borrow().iter().filter(|at| **at < confirmed_at).count();
    let version = followed.published.unwrap_or_default().version;
    assert!(version >= Version(required as u64), "{name}: {version}, {required} acknowledged");
    Some(confirmed_at)
}

/// Starts the instances, and has a first version acknowledged and applied everywhere.
async fn start_with_version(folder: &TempDir) -> (Vec<Control>, ControlPlane) {
    let (controls, plane) = start_all(folder);
    assert_eq!(submit(&plane, request(1, 0, "first")).await, accepted(1));
    for control in &controls {
        wait_for("the first version", async || {
            control.plane.control.as_ref().unwrap().published().version == Version(1)
        })
        .await;
    }
    (controls, plane)
}

/// Submits documents one after the other, and records when each was acknowledged.
async fn submit_documents(plane: ControlPlane, acknowledged: Rc<RefCell<Vec<Instant>>>) {
    for version in 1..=DOCUMENTS {
        let text = version.to_string().repeat(DOCUMENT_BYTES);
        let response = submit(&plane, request(version + 1, version, &text)).await;
        assert_eq!(response, accepted(version + 1));
        acknowledged.borrow_mut().push(Instant::now());
    }
}

#[test]
fn hung_disk_confirms_old_state() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (controls, plane) = start_with_version(&folder).await;
        let acknowledged = Rc::new(RefCell::new(vec![Instant::now()]));
        let hung = controls.iter().find(|c| !c.is_leader()).unwrap();
        hung.hang.set(Hang::Everything);
        monoio::spawn(submit_documents(plane.clone(), Rc::clone(&acknowledged)));

        let start = Instant::now();
        let mut confirmed_at = start;
        let is_last = |at: Instant| {
            let acknowledged = acknowledged.borrow();
            acknowledged.len() as u64 > DOCUMENTS && acknowledged.last().is_some_and(|l| *l < at)
        };
        while !is_last(confirmed_at) {
            assert!(start.elapsed() < support::TEST_TIMEOUT, "the last version isn't confirmed");
            let at = check_confirmation(&plane, hung.name(), &acknowledged).await;
            confirmed_at = confirmed_at.max(at.unwrap_or(confirmed_at));
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

// A leader without a committed entry of its term doesn't know what the one before it committed.
#[test]
fn new_leader_confirms_old_state() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (controls, plane) = start_with_version(&folder).await;
        let (old, others): (Vec<_>, Vec<_>) = controls.iter().partition(|c| c.is_leader());
        let first = Instant::now();
        others.iter().for_each(|c| c.hang.set(Hang::NewLeader));
        assert_eq!(submit(&plane, request(2, 1, "second")).await, accepted(2));
        old[0].kill();
        let acknowledged = RefCell::new(vec![first, Instant::now()]);

        let start = Instant::now();
        let mut led = 0;
        while start.elapsed() < LEADERSHIP_TIME {
            for control in &others {
                led += usize::from(control.is_leader());
                check_confirmation(&plane, control.name(), &acknowledged).await;
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(led > 0, "no instance became leader");
    });
}
