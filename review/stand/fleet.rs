//! The processes of the system: settings from the templates of the deploy file, start, signals, end.

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

/// Values that the settings of a deployment have in common; those of the pages' small site.
pub const CONFIRM_MS: u64 = 5_000;
pub const GRACE_S: u64 = 8;

/// Processes that were started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for process in RUNNING.lock().unwrap().drain(..) {
        unsafe { kill(process as i32, SIGKILL) };
    }
}

/// One machine of the deployment with its process.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub zone: &'static str,
    is_core: bool,
    child: Option<Child>,
    starts: u32,
}

/// A small deployment on loopback addresses.
pub struct Fleet {
    folder: PathBuf,
    pub cores: Vec<Machine>,
    pub fronts: Vec<Machine>,
    peer_port: u16,
    metrics_port: u16,
    pub control_port: u16,
    pub front_port: u16,
    pub ready_port: u16,
    pub platform: SocketAddr,
    net: u32,
    /// Addresses of the core machines of the first start, which all settings name.
    seeds: Vec<String>,
}

pub const ZONES: [&str; 3] = ["kumamoto-a", "fukuoka-b", "kagoshima-c"];

/// Returns a port that is free on `ip` for TCP now.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
    listener.local_addr().unwrap().port()
}

impl Fleet {
    /// Lays a deployment out: one core machine a zone, and `fronts` front machines in turn.
    pub fn new(fronts: usize) -> Self {
        let net = 64 + std::process::id() % 128;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let machine = |name: String, zone: usize, host: usize, is_core| Machine {
            name,
            ip: format!("127.{net}.{}.{host}", zone + 1),
            zone: ZONES[zone],
            is_core,
            child: None,
            starts: 0,
        };
        let cores: Vec<Machine> =
            (0..3).map(|z| machine(format!("core-{}-1", ZONES[z]), z, 10, true)).collect();
        let seeds = cores.iter().map(|c| c.ip.clone()).collect();
        let fronts = (0..fronts)
            .map(|n| machine(format!("front-{}-{}", ZONES[n % 3], n / 3 + 1), n % 3, 20 + n, false))
            .collect();
        let ip = format!("127.{net}.1.10");
        let platform_ip = format!("127.{net}.9.9");
        let platform = format!("{platform_ip}:{}", free_port(&platform_ip)).parse().unwrap();
        let (peer_port, metrics_port) = (free_port(&ip), free_port(&ip));
        let (control_port, front_port, ready_port) =
            (free_port(&ip), free_port(&ip), free_port(&ip));
        Self {
            folder,
            cores,
            fronts,
            peer_port,
            metrics_port,
            control_port,
            front_port,
            ready_port,
            platform,
            net,
            seeds,
        }
    }

    /// Returns an address for a runner.
    pub fn runner_address(&self, zone: usize, number: usize) -> SocketAddr {
        let ip = format!("127.{}.{}.{}", self.net, zone + 1, 100 + number);
        format!("{ip}:{}", free_port(&ip)).parse().unwrap()
    }

    pub fn control(&self, core: usize) -> SocketAddr {
        format!("{}:{}", self.cores[core].ip, self.control_port).parse().unwrap()
    }

    pub fn front(&self, front: usize) -> SocketAddr {
        format!("{}:{}", self.fronts[front].ip, self.front_port).parse().unwrap()
    }

    pub fn ready(&self, front: usize) -> SocketAddr {
        format!("{}:{}", self.fronts[front].ip, self.ready_port).parse().unwrap()
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> io::Result<String> {
        let template = if machine.is_core { "deploy/control.toml" } else { "deploy/entry.toml" };
        let seeds: Vec<String> =
            self.seeds.iter().map(|ip| format!("\"{ip}:{}\"", self.control_port)).collect();
        let data = self.folder.join("data").join(&machine.name);
        let values: HashMap<&str, String> = HashMap::from([
            ("node_name", machine.name.clone()),
            ("zone", machine.zone.to_owned()),
            ("ip_address", machine.ip.clone()),
            ("internal_port_range.0", self.peer_port.to_string()),
            ("seed_nodes|json", format!("[{}]", seeds.join(","))),
            ("listen_addresses.frontend_address", format!("{}:{}", machine.ip, self.front_port)),
            ("listen_addresses.ready", format!("{}:{}", machine.ip, self.ready_port)),
            ("listen_addresses.control_plane", format!("{}:{}", machine.ip, self.control_port)),
            ("bounds.revocation_ms", CONFIRM_MS.to_string()),
            ("cloud_api.max_lag_ms", "800".to_owned()),
            ("bounds.grace_period_s", GRACE_S.to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_slack", "56".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("limits.memory_mb", if machine.is_core { "256" } else { "260" }.to_owned()),
            ("data_directory", data.display().to_string()),
            ("bootstrap", bootstrap.to_string()),
            ("fault_tolerance.machines", "1".to_owned()),
            ("cloud_api.address", self.platform.to_string()),
        ]);
        let mut text = fs::read_to_string(template)?;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        // The template names a fixed port for metrics; any free one will do.
        Ok(text.replace(":9464", &format!(":{}", self.metrics_port)))
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, is_core: bool, index: usize) {
        let machine = if is_core { &self.cores[index] } else { &self.fronts[index] };
        let bootstrap = machine.starts == 0;
        let settings = self.settings(machine, bootstrap).expect("the templates can be read");
        let (name, starts) = (machine.name.clone(), machine.starts);
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = File::create(self.folder.join(format!("{name}-{starts}.log"))).unwrap();
        let errors = log.try_clone().unwrap();
        let mut command = Command::new("target/release/hawthornkeel");
        command.args(["run", "--settings"]).arg(&path).stdout(log).stderr(errors);
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().expect("the program can be started");
        RUNNING.lock().unwrap().push(child.id());
        record::line(&format!("start {name} bootstrap={bootstrap}"));
        let machine = if is_core { &mut self.cores[index] } else { &mut self.fronts[index] };
        machine.child = Some(child);
        machine.starts += 1;
    }

    /// Adds an empty core machine at a new address in the zone of another one; it is not started.
    pub fn add_core(&mut self, other: usize) -> usize {
        let zone = self.cores[other].zone;
        let number = ZONES.iter().position(|z| *z == zone).unwrap_or_default();
        self.cores.push(Machine {
            name: format!("core-{zone}-2"),
            ip: format!("127.{}.{}.11", self.net, number + 1),
            zone,
            is_core: true,
            child: None,
            // The system does not start for the first time with it.
            starts: 1,
        });
        self.cores.len() - 1
    }

    /// Starts all machines.
    pub fn start_all(&mut self) {
        for core in 0..self.cores.len() {
            self.start(true, core);
        }
        for front in 0..self.fronts.len() {
            self.start(false, front);
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&mut self, is_core: bool, index: usize, signal: i32) {
        let machine = if is_core { &mut self.cores[index] } else { &mut self.fronts[index] };
        let Some(child) = &mut machine.child else { return };
        unsafe { kill(child.id() as i32, signal) };
        record::line(&format!("signal {signal} to {}", machine.name));
        if signal == SIGKILL {
            let _ = child.wait();
            let ended = child.id();
            RUNNING.lock().unwrap().retain(|p| *p != ended);
            machine.child = None;
        }
    }

    /// Returns the machines whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let machines = self.cores.iter_mut().chain(self.fronts.iter_mut());
        let has_ended = |m: &mut Machine| {
            m.child.as_mut().is_some_and(|c| c.try_wait().ok().flatten().is_some())
        };
        machines.filter_map(|m| has_ended(m).then(|| m.name.clone())).collect()
    }

    /// Waits until a front machine says that it is ready.
    pub fn wait_ready(&self, front: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let second = Duration::from_secs(1);
            let answer = http::call(self.ready(front), "GET", "/readiness", &[], b"", second);
            if answer.is_ok_and(|a| a.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    /// Ends all processes and removes the temporary folder, unless KEEP is set.
    fn drop(&mut self) {
        end_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// An operator: sends an order to the machines in the order given, as the pages say: the next one
/// after a failure, a 5xx, a 408 or 429, or a second without a response. Returns the acknowledging
/// machine's address.
pub fn order(
    controls: &[SocketAddr],
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> Option<SocketAddr> {
    let until = Instant::now() + limit;
    let mut pause = Duration::from_millis(50);
    while Instant::now() < until {
        for control in controls {
            let headers = [("Content-Type", "application/json")];
            let second = Duration::from_secs(1);
            let answer = http::call(*control, method, path, &headers, body, second);
            let status = answer.as_ref().map_or(0, |a| a.status);
            let outcome = match &answer {
                Ok(_) => status.to_string(),
                Err(error) => format!("none ({:?})", error.kind()),
            };
            record::line(&format!("operator {method} {path} to {control}: {outcome}"));
            if status / 100 == 2 {
                return Some(*control);
            }
            thread::sleep(pause);
        }
        pause = (pause * 2).min(Duration::from_millis(400));
    }
    None
}
