//! Cluster of instances, each in its own thread, that communicate over UDP on loopback.

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
use hawthornkeel::forward::rollout_server::RolloutServer;
use hawthornkeel::peer::Endpoint;
use hawthornkeel::peer::credentials::Credentials;
use hawthornkeel::peer::credentials::Protocol;
use hawthornkeel_config::settings;
use hawthornkeel_config::settings::Peer;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_fakes::udp_relay::UdpRelay;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tempfile::TempDir;

use crate::support::full_disk::FolderLimit;
use crate::support::full_disk::FullDiskIo;

/// Interval at which an instance checks whether it has to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Instance of a test cluster.
pub struct InstanceSpec {
    /// Name.
    pub name: &'static str,
    /// Data centre.
    pub centre: &'static str,
    /// Whether it has the control role.
    pub control: bool,
}

/// Test cluster.
pub struct Cluster {
    folder: TempDir,
    tuning: Tuning,
    instances: Vec<ClusterInstance>,
    /// Relays between instances, by sender and receiver.
    relays: Mutex<Vec<((String, String), UdpRelay)>>,
    /// Whether instances communicate through relays.
    relayed: bool,
    /// Number of log entries between snapshots.
    snapshot_entries: u64,
}

struct ClusterInstance {
    spec: InstanceSpec,
    /// Protocols that it offers to its peers; an older build offers fewer.
    protocols: &'static [Protocol],
    /// Kept while the instance is down, so that no other test takes its port.
    socket: UdpSocket,
    /// Disk, which keeps its room while the instance is down.
    disk: FullDiskIo,
    running: Option<Running>,
}

/// Resource usage of an instance since its start.
#[derive(Default)]
pub struct Usage {
    /// CPU time of its event loop, in microseconds.
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
    fn record(&self, endpoint: &Endpoint) {
        let time = clock_gettime(ClockId::ThreadCPUTime);
        let cpu = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
        self.cpu.store(cpu, Ordering::Relaxed);
        self.bytes.store(endpoint.traffic().bytes(), Ordering::Relaxed);
        self.datagrams.store(endpoint.traffic().datagrams(), Ordering::Relaxed);
    }
}

impl Cluster {
    /// Returns the resource usage of a running instance.
    pub fn usage(&self, name: &str) -> Arc<Usage> {
        self.instance(name).running.as_ref().unwrap().usage.clone()
    }

    /// Creates a cluster without starting its instances.
    pub fn new(specs: Vec<InstanceSpec>) -> Self {
        let create = |spec| ClusterInstance {
            spec,
            protocols: &Protocol::ALL,
            socket: super::socket(),
            disk: FullDiskIo::default(),
            running: None,
        };
        Self {
            folder: TempDir::new().unwrap(),
            tuning: Tuning::default(),
            instances: specs.into_iter().map(create).collect(),
            relays: Mutex::default(),
            relayed: false,
            snapshot_entries: settings::Control::default().snapshot_entries,
        }
    }

    /// Creates a cluster whose instances communicate through relays, so that it can be partitioned.
    pub fn with_relays(specs: Vec<InstanceSpec>) -> Self {
        let mut cluster = Self::new(specs);
        cluster.relayed = true;
        cluster
    }

    /// Partitions the instances of `side` from the others, or heals the partition.
    pub fn set_partitioned(&self, side: &[&str], partitioned: bool) {
        let within = |name: &String| side.contains(&name.as_str());
        for ((from, to), relay) in &*self.relays.lock().unwrap() {
            if within(from) != within(to) {
                relay.set_blocked(partitioned);
            }
        }
    }

    /// Partitions `one` from the instances of `others`, or heals the partition.
    pub fn set_partitioned_between(&self, one: &str, others: &[&str], partitioned: bool) {
        let is_other = |name: &String| others.contains(&name.as_str());
        for ((from, to), relay) in &*self.relays.lock().unwrap() {
            if (from == one && is_other(to)) || (to == one && is_other(from)) {
                relay.set_blocked(partitioned);
            }
        }
    }

    /// Returns the address at which `from` reaches an instance.
    fn address(&self, from: &str, to: &ClusterInstance) -> SocketAddr {
        let address = to.socket.local_addr().unwrap();
        if !self.relayed {
            return address;
        }
        let ends = (from.to_owned(), to.spec.name.to_owned());
        let mut relays = self.relays.lock().unwrap();
        if let Some((_, relay)) = relays.iter().find(|(known, _)| *known == ends) {
            return relay.address;
        }
        let relay = UdpRelay::new(address).unwrap();
        let address = relay.address;
        relays.push((ends, relay));
        address
    }

    /// Sets the number of log entries between snapshots for instances started from now on.
    pub fn set_snapshot_entries(&mut self, entries: u64) {
        self.snapshot_entries = entries;
    }

    /// Sets the protocols that an instance offers from its next start on.
    pub fn set_protocols(&mut self, name: &str, protocols: &'static [Protocol]) {
        let at = self.instances.iter().position(|p| p.spec.name == name).unwrap();
        self.instances[at].protocols = protocols;
    }

    /// Sets the tuning of instances started from now on.
    pub fn set_tuning(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// Returns settings for an instance that knows all others.
    pub fn settings(&self, name: &str, centre: &str, control: bool) -> Settings {
        let others = self.instances.iter().filter(|p| p.spec.name != name);
        let peers = others.map(|p| peer(p, self.address(name, p))).collect();
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
        let instance = self.instance(name);
        let settings = self.settings(name, instance.spec.centre, instance.spec.control);
        let socket = instance.socket.try_clone().unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, tuning, disk) = (stop.clone(), self.tuning, instance.disk.clone());
        let credentials = Credentials::with_protocols(&settings, instance.protocols).unwrap();
        let usage = Arc::new(Usage::default());
        let recorded = usage.clone();
        let thread = std::thread::spawn(move || {
            let open = |settings: &Settings| {
                Endpoint::with_credentials(socket, settings, credentials).unwrap()
            };
            serve(&settings, open, tuning, disk, &stopped, &recorded);
        });
        let at = self.instances.iter().position(|p| p.spec.name == name).unwrap();
        self.instances[at].running = Some(Running { stop, usage, thread });
    }

    /// Sets whether the disk of an instance is full.
    pub fn set_full(&self, name: &str, full: bool) {
        self.instance(name).disk.set_full(full);
    }

    /// Limits the data folder of each instance that is started from now on, in bytes.
    pub fn set_disk_bytes(&mut self, bytes: u64) {
        for instance in &mut self.instances {
            let path = self.folder.path().join(format!("{}-data", instance.spec.name));
            instance.disk.set_limit(FolderLimit { path, bytes });
        }
    }

    /// Stops an instance at once; its outstanding work is lost.
    pub fn kill(&mut self, name: &str) {
        let at = self.instances.iter().position(|p| p.spec.name == name).unwrap();
        if let Some(running) = self.instances[at].running.take() {
            running.stop.store(true, Ordering::Relaxed);
            running.thread.join().unwrap();
        }
    }

    /// Deletes the data folder of an instance that is down.
    pub fn wipe(&self, name: &str) {
        let instance = self.instance(name);
        let settings = self.settings(name, instance.spec.centre, instance.spec.control);
        std::fs::remove_dir_all(settings.control.data).unwrap();
    }

    /// Starts an instance without the control role in the current thread.
    pub fn start_local(&self, name: &str, centre: &str) -> ControlPlane {
        let settings = self.settings(name, centre, false);
        let endpoint = Endpoint::with_socket(super::socket(), &settings).unwrap();
        start::start(&settings, &endpoint, None)
    }

    fn instance(&self, name: &str) -> &ClusterInstance {
        self.instances.iter().find(|p| p.spec.name == name).unwrap()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(running) = instance.running.take() {
                running.stop.store(true, Ordering::Relaxed);
                let _ = running.thread.join();
            }
        }
    }
}

fn peer(instance: &ClusterInstance, address: SocketAddr) -> Peer {
    Peer {
        name: InstanceName::new(instance.spec.name),
        address,
        data_centre: CentreName::new(instance.spec.centre),
        control: instance.spec.control,
        entry: true,
    }
}

fn serve(
    settings: &Settings,
    open_endpoint: impl FnOnce(&Settings) -> Endpoint,
    tuning: Tuning,
    disk: FullDiskIo,
    stop: &AtomicBool,
    usage: &Usage,
) {
    super::run(async {
        let endpoint = open_endpoint(settings);
        let open = || open_with(settings, &endpoint, tuning, disk).unwrap();
        let parts = start::start(settings, &endpoint, settings.control.enabled.then(open));
        if let Some(control) = &parts.control {
            RolloutServer::start(&endpoint, control, &parts.watch, None);
        }
        while !stop.load(Ordering::Relaxed) {
            monoio::time::sleep(POLL_INTERVAL).await;
            usage.record(&endpoint);
        }
        // The tasks of a thread that has ended are not dropped, so the lock is released here.
        endpoint.close();
        if let Some(control) = parts.control {
            control.stop();
        }
    });
}
