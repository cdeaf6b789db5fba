//! Instances in threads of their own, which talk over real UDP on loopback.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use hawthornkeel::control::node::Control;
use hawthornkeel::control::node::ControlOptions;
use hawthornkeel::control::pending::BatchLimits;
use hawthornkeel::control::saver::Saver;
use hawthornkeel::control::start;
use hawthornkeel::control::start::Parts;
use hawthornkeel::peer::Endpoint;
use hawthornkeel_config::settings;
use hawthornkeel_config::settings::Peer;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::ids::ReplicaId;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::Node;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::Stored;
use hawthornkeel_core::replica::Ticket;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;

/// Instance of a test.
pub struct Spec {
    /// Name.
    pub name: &'static str,
    /// Data centre.
    pub centre: &'static str,
    /// Whether it has the control role.
    pub control: bool,
}

/// Instances of a test.
pub struct Cluster {
    folder: TempDir,
    instances: Vec<Placed>,
}

struct Placed {
    spec: Spec,
    /// Held while the instance is down too, so that no other test takes its port.
    socket: UdpSocket,
    running: Option<Running>,
}

struct Running {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Cluster {
    /// Places instances without starting them.
    pub fn new(specs: Vec<Spec>) -> Self {
        let place = |spec| Placed { spec, socket: super::socket(), running: None };
        Self { folder: TempDir::new().unwrap(), instances: specs.into_iter().map(place).collect() }
    }

    /// Returns settings for an instance that knows all others.
    pub fn settings(&self, name: &str, centre: &str, control: bool) -> Settings {
        let others = self.instances.iter().filter(|p| p.spec.name != name);
        let mut settings = super::settings(self.folder.path(), name, others.map(peer).collect());
        let founders = self.instances.iter().filter(|p| p.spec.control);
        settings.instance.data_centre = CentreName::new(centre);
        settings.control = settings::Control {
            enabled: control,
            data: self.folder.path().join(format!("{name}-data")),
            founders: founders.map(|p| InstanceName::new(p.spec.name)).collect(),
            ..settings::Control::default()
        };
        settings
    }

    /// Starts every instance.
    pub fn start_all(&mut self) {
        let names: Vec<_> = self.instances.iter().map(|p| p.spec.name).collect();
        names.into_iter().for_each(|name| self.start(name));
    }

    /// Starts an instance.
    pub fn start(&mut self, name: &str) {
        let placed = self.placed(name);
        let settings = self.settings(name, placed.spec.centre, placed.spec.control);
        let socket = placed.socket.try_clone().unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || serve(&settings, socket, &stopped));
        let at = self.instances.iter().position(|p| p.spec.name == name).unwrap();
        self.instances[at].running = Some(Running { stop, thread });
    }

    /// Ends an instance at once: nothing that it still had to do is done.
    pub fn kill(&mut self, name: &str) {
        let at = self.instances.iter().position(|p| p.spec.name == name).unwrap();
        if let Some(running) = self.instances[at].running.take() {
            running.stop.store(true, Ordering::Relaxed);
            running.thread.join().unwrap();
        }
    }

    /// Starts an instance without the control role in the calling thread.
    pub fn join(&self, name: &str, centre: &str) -> Parts {
        let settings = self.settings(name, centre, false);
        let endpoint = Endpoint::with_socket(super::socket(), &settings).unwrap();
        start::start(&settings, &endpoint, None)
    }

    /// Returns the address of an instance.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.placed(name).socket.local_addr().unwrap()
    }

    fn placed(&self, name: &str) -> &Placed {
        self.instances.iter().find(|p| p.spec.name == name).unwrap()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for placed in &mut self.instances {
            if let Some(running) = placed.running.take() {
                running.stop.store(true, Ordering::Relaxed);
                let _ = running.thread.join();
            }
        }
    }
}

fn peer(placed: &Placed) -> Peer {
    Peer {
        name: InstanceName::new(placed.spec.name),
        address: placed.socket.local_addr().unwrap(),
        data_centre: CentreName::new(placed.spec.centre),
        control: placed.spec.control,
    }
}

fn serve(settings: &Settings, socket: UdpSocket, stop: &AtomicBool) {
    super::run(async {
        let endpoint = Endpoint::with_socket(socket, settings).unwrap();
        let control = settings.control.enabled.then(|| start_control(settings, &endpoint));
        let _parts = start::start(settings, &endpoint, control);
        while !stop.load(Ordering::Relaxed) {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Disk that keeps nothing: an instance that comes back has lost it.
#[derive(Clone, Default)]
pub struct MemorySaver {
    control: Rc<RefCell<Option<Control>>>,
}

impl Saver for MemorySaver {
    fn save(&self, ticket: Ticket, _save: Save) {
        let saver = self.clone();
        monoio::spawn(async move {
            hawthornkeel::peer::signal::yield_now().await;
            let control = saver.control.borrow().clone();
            if let Some(control) = control {
                control.synced(ticket);
            }
        });
    }
}

fn start_control(settings: &Settings, endpoint: &Endpoint) -> Control {
    let saver = MemorySaver::default();
    let options = ControlOptions {
        node: Node { id: ReplicaId(rand::random()), name: settings.instance.name.clone() },
        settings: start::log_settings(settings),
        batch: BatchLimits::default(),
        rng: ChaCha8Rng::seed_from_u64(rand::random()),
        stored: Stored::default(),
    };
    let control = Control::start(options, endpoint.clone(), Box::new(saver.clone())).unwrap();
    *saver.control.borrow_mut() = Some(control.clone());
    control
}
