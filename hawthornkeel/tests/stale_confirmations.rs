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
use hawthornkeel::peer::frame::Followed;
use hawthornkeel_config::settings;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::ids::ReplicaId;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::Node;
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
/// Timeout of a call that is answered at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Storage whose saves are never finished while it hangs.
struct HangingStorage {
    control: Rc<RefCell<Option<ControlNode>>>,
    hangs: Rc<Cell<bool>>,
}

impl LogStorage for HangingStorage {
    fn save(&self, seq: SaveSeq, _: Save) {
        if self.hangs.get() {
            return;
        }
        let control = self.control.clone();
        monoio::spawn(async move {
            let control = control.borrow().clone();
            control.unwrap().synced(seq);
        });
    }
}

/// Control instance whose disk can hang.
struct Control {
    plane: ControlPlane,
    hangs: Rc<Cell<bool>>,
}

impl Control {
    fn start(settings: &Settings, socket: std::net::UdpSocket, id: u64) -> Self {
        let endpoint = Endpoint::with_socket(socket, settings).unwrap();
        let (started, hangs) = (Rc::default(), Rc::new(Cell::new(false)));
        let storage = HangingStorage { control: Rc::clone(&started), hangs: hangs.clone() };
        let options = ControlOptions {
            node: Node { id: ReplicaId(id), name: endpoint.name().clone() },
            settings: start::replica_settings(settings),
            batch: BatchLimits::default(),
            rng: ChaCha8Rng::seed_from_u64(id),
            persisted: PersistedState::default(),
        };
        let control = ControlNode::start(options, endpoint.clone(), Box::new(storage)).unwrap();
        started.replace(Some(control.clone()));
        Self { plane: start::start(settings, &endpoint, Some(control)), hangs }
    }

    fn name(&self) -> &InstanceName {
        self.plane.admin.endpoint.name()
    }

    fn is_leader(&self) -> bool {
        self.plane.control.as_ref().is_some_and(|c| c.lead().is_leader)
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

/// Asks an instance for its published state; returns the reply and the time since the call.
async fn follow(plane: &ControlPlane, name: &InstanceName) -> Option<(Followed, Duration)> {
    let sent = Instant::now();
    let frame = Frame::Follow(Follow::Newer { after: None, wait_ms: 0 });
    match plane.admin.endpoint.call(name, &frame, CALL_TIMEOUT).await {
        Ok(Frame::Followed(followed)) => Some((followed, sent.elapsed())),
        _ => None,
    }
}

/// Submits documents one after the other, and records when each was acknowledged.
async fn submit_documents(plane: ControlPlane, acknowledged: Rc<RefCell<Vec<Instant>>>) {
    for number in 1..=DOCUMENTS {
        let text = number.to_string().repeat(DOCUMENT_BYTES);
        assert_eq!(submit(&plane, request(number + 1, number, &text)).await, accepted(number + 1));
        acknowledged.borrow_mut().push(Instant::now());
    }
}

#[test]
fn hung_disk_confirms_old_state() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (controls, plane) = start_all(&folder);
        assert_eq!(submit(&plane, request(1, 0, "first")).await, accepted(1));
        let hung = controls.iter().find(|c| !c.is_leader()).unwrap();
        wait_for("the first version", async || {
            let reply = follow(&plane, hung.name()).await;
            let first = |f: Followed| f.published.is_some_and(|p| p.version == Version(1));
            reply.is_some_and(|(f, _)| first(f))
        })
        .await;
        hung.hangs.set(true);

        let acknowledged = Rc::new(RefCell::new(Vec::new()));
        monoio::spawn(submit_documents(plane.clone(), acknowledged.clone()));
        let mut confirmed_at = Instant::now();
        let mut all_since: Option<Instant> = None;
        // A state that is confirmed later must include all that was acknowledged before.
        while all_since.is_none_or(|all| confirmed_at <= all) {
            assert!(confirmed_at.elapsed() < support::TEST_TIMEOUT, "confirmed nothing for long");
            let reply = follow(&plane, hung.name()).await;
            let now = Instant::now();
            if let Some((Followed { published, age_ms: Some(age), .. }, elapsed)) = reply {
                let confirmed = now.checked_sub(elapsed + Duration::from_millis(age)).unwrap();
                let required = acknowledged.borrow().iter().filter(|at| **at < confirmed).count();
                let version = published.unwrap().version;
                assert!(version > Version(required as u64), "{version}, {required} acknowledged");
                confirmed_at = confirmed_at.max(confirmed);
            }
            if acknowledged.borrow().len() as u64 == DOCUMENTS {
                all_since.get_or_insert(now);
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}
