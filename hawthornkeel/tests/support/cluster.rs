//! Instances in threads of their own, which talk over real UDP on loopback.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use hawthornkeel::control::open::Tuning;
use hawthornkeel::control::open::open_with;
use hawthornkeel::control::start;
use hawthornkeel::control::start::ControlPlane;
use hawthornkeel::peer::Endpoint;
use hawthornkeel_config::settings;
use hawthornkeel_config::settings::Peer;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_fakes::relay::Relay;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tempfile::TempDir;

/// Time between looks at whether an instance is to end.
const POLL: Duration = Duration::from_millis(20);

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
    tuning: Tuning,
    instances: Vec<Placed>,
    /// Relays between instances, by who sends and who is sent to.
    relays: Mutex<Vec<((String, String), Relay)>>,
    /// Whether instances reach each other through relays.
    relayed: bool,
    /// Log entries between snapshots.
    snapshot_entries: u64,
}

struct Placed {
    spec: Spec,
    /// Held while the instance is down too, so that no other test takes its port.
    socket: UdpSocket,
    running: Option<Running>,
}

/// What an instance has used since its start.
#[derive(Default)]
pub struct Usage {
    /// Processor time of its event loop, in microseconds.
    pub cpu: AtomicU64,
    /// Bytes in datagrams sent and received.
    pub bytes: AtomicU64,
    /// Datagrams sent and received.
    pub datagrams: AtomicU64,
}

struct Running {
    stop: Arc<AtomicBool>,
    usage: Arc<Usage>,
    thread: JoinHandle<()>,
}

impl Usage {
    fn count(&self, endpoint: &Endpoint) {
        let time = clock_gettime(ClockId::ThreadCPUTime);
        let cpu = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
        self.cpu.store(cpu, Ordering::Relaxed);
        self.bytes.store(endpoint.traffic().bytes(), Ordering::Relaxed);
        self.datagrams.store(endpoint.traffic().datagrams(), Ordering::Relaxed);
    }
}

impl Cluster {
    /// Returns what an instance that runs has used.
    pub fn usage(&self, name: &str) -> Arc<Usage> {
        self.placed(name).running.as_ref().unwrap().usage.clone()
    }

    /// Places instances without starting them.
    pub fn new(specs: Vec<Spec>) -> Self {
        let place = |spec| Placed { spec, socket: super::socket(), running: None };
        Self {
            folder: TempDir::new().unwrap(),
            tuning: Tuning::default(),
            instances: specs.into_iter().map(place).collect(),
            relays: Mutex::default(),
            relayed: false,
            snapshot_entries: settings::Control::default().snapshot_entries,
        }
    }

    /// Places instances that reach each other through relays, so that they can be cut off.
    pub fn with_relays(specs: Vec<Spec>) -> Self {
        let mut cluster = Self::new(specs);
        cluster.relayed = true;
        cluster
    }

    /// Cuts every way between the instances of `side` and the others, or mends it.
    pub fn set_cut(&self, side: &[&str], cut: bool) {
        let within = |name: &String| side.contains(&name.as_str());
        for ((from, to), relay) in &*self.relays.lock().unwrap() {
            if within(from) != within(to) {
                relay.set_cut(cut);
            }
        }
    }

    /// Cuts the ways between `one` and the instances of `others`, or mends them.
    pub fn set_cut_between(&self, one: &str, others: &[&str], cut: bool) {
        let is_other = |name: &String| others.contains(&name.as_str());
        for ((from, to), relay) in &*self.relays.lock().unwrap() {
            if (from == one && is_other(to)) || (to == one && is_other(from)) {
                relay.set_cut(cut);
            }
        }
    }

    /// Returns the address at which `from` reaches an instance.
    fn way(&self, from: &str, to: &Placed) -> SocketAddr {
        let address = to.socket.local_addr().unwrap();
        if !self.relayed {
            return address;
        }
        let ends = (from.to_owned(), to.spec.name.to_owned());
        let mut relays = self.relays.lock().unwrap();
        if let Some((_, relay)) = relays.iter().find(|(known, _)| *known == ends) {
            return relay.address;
        }
        let relay = Relay::new(address).unwrap();
        let address = relay.address;
        relays.push((ends, relay));
        address
    }

    /// Sets the log entries between snapshots for instances started from now on.
    pub fn set_snapshots(&mut self, entries: u64) {
        self.snapshot_entries = entries;
    }

    /// Sets the bounds for instances started from now on.
    pub fn set_tuning(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// Returns settings for an instance that knows all others.
    pub fn settings(&self, name: &str, centre: &str, control: bool) -> Settings {
        let others = self.instances.iter().filter(|p| p.spec.name != name);
        let peers = others.map(|p| peer(p, self.way(name, p))).collect();
        let mut settings = super::settings(self.folder.path(), name, peers);
        let founders = self.instances.iter().filter(|p| p.spec.control);
        settings.instance.data_centre = CentreName::new(centre);
        settings.control = settings::Control {
            enabled: control,
            data: self.folder.path().join(format!("{name}-data")),
            founders: founders.map(|p| InstanceName::new(p.spec.name)).collect(),
            snapshot_entries: self.snapshot_entries,
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
        let (stopped, tuning) = (stop.clone(), self.tuning);
        let usage = Arc::new(Usage::default());
        let counted = usage.clone();
        let thread =
            std::thread::spawn(move || serve(&settings, socket, tuning, &stopped, &counted));
        let at = self.instances.iter().position(|p| p.spec.name == name).unwrap();
        self.instances[at].running = Some(Running { stop, usage, thread });
    }

    /// Ends an instance at once: nothing that it still had to do is done.
    pub fn kill(&mut self, name: &str) {
        let at = self.instances.iter().position(|p| p.spec.name == name).unwrap();
        if let Some(running) = self.instances[at].running.take() {
            running.stop.store(true, Ordering::Relaxed);
            running.thread.join().unwrap();
        }
    }

    /// Loses the disk of an instance that is down.
    pub fn wipe(&self, name: &str) {
        let placed = self.placed(name);
        let settings = self.settings(name, placed.spec.centre, placed.spec.control);
        std::fs::remove_dir_all(settings.control.data).unwrap();
    }

    /// Starts an instance without the control role in the calling thread.
    pub fn join(&self, name: &str, centre: &str) -> ControlPlane {
        let settings = self.settings(name, centre, false);
        let endpoint = Endpoint::with_socket(super::socket(), &settings).unwrap();
        start::start(&settings, &endpoint, None)
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

fn peer(placed: &Placed, address: SocketAddr) -> Peer {
    Peer {
        name: InstanceName::new(placed.spec.name),
        address,
        data_centre: CentreName::new(placed.spec.centre),
        control: placed.spec.control,
        entry: true,
    }
}

fn serve(settings: &Settings, socket: UdpSocket, tuning: Tuning, stop: &AtomicBool, usage: &Usage) {
    super::run(async {
        let endpoint = Endpoint::with_socket(socket, settings).unwrap();
        let open = || open_with(settings, &endpoint, tuning).unwrap();
        let parts = start::start(settings, &endpoint, settings.control.enabled.then(open));
        while !stop.load(Ordering::Relaxed) {
            monoio::time::sleep(POLL).await;
            usage.count(&endpoint);
        }
        // Tasks of a thread that has ended are not dropped, so the lock is given back here.
        endpoint.close();
        if let Some(control) = parts.control {
            control.stop();
        }
    });
}
