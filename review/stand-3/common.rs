//! Shared by the cases of the third review: processes of the project on addresses of their own,
//! stand-ins for the platform and for runners, a client, and the record.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Port of each kind, the same on all machines, as on the platform.
pub const PEERS: u16 = 7740;
pub const OPERATORS: u16 = 8628;
pub const CONSUMERS: u16 = 8625;
pub const READY: u16 = 8621;
pub const PROVIDER: u16 = 8624;
pub const RUNNER: u16 = 8700;
const METRICS: u16 = 9464;

pub const ZONES: [&str; 3] = ["kumamoto-a", "fukuoka-b", "kagoshima-c"];

/// Process identifiers of what was started, which a failed script ends as well.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends the script as one that could not run, with status 2.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    unsafe extern "C" {
        fn kill(process: i32, signal: i32) -> i32;
    }
    for process in STARTED.lock().map(|s| s.clone()).unwrap_or_default() {
        // SAFETY: a plain system call; the processes are children of this one.
        unsafe { kill(process, 9) };
    }
    let _ = fs::remove_dir_all(temporary_folder());
    std::process::exit(2);
}

/// Returns the temporary folder of this run.
fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-3-{}", std::process::id()))
}

/// Returns whether the script runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let path = folder.join("record.txt");
        let file = File::create(&path).unwrap_or_else(|e| could_not_run(&format!("record: {e}")));
        let record = Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) };
        record.line(&format!("disruption: {}", if trouble() { "yes" } else { "no (TROUBLE=0)" }));
        record
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.seconds());
        let _ = self.file.lock().map(|mut f| f.write_all(line.as_bytes()));
    }
}

/// Small source of random numbers with a fixed seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn chance(&mut self, share: f64) -> bool {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64 <= share
    }
}

/// Temporary folder, and the processes that were started; both end with it.
pub struct World {
    pub folder: PathBuf,
    root: PathBuf,
    net: String,
    seeds: Vec<String>,
    provider: String,
    processes: HashMap<String, Child>,
    pub record: Record,
}

impl Drop for World {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl World {
    /// Prepares a world; `case` is the folder of the case.
    pub fn new(case: &str) -> Self {
        let root = PathBuf::from(".");
        let record = Record::new(Path::new(case));
        let id = std::process::id();
        let folder = temporary_folder();
        fs::create_dir_all(&folder).unwrap_or_else(|e| could_not_run(&e.to_string()));
        let net = free_net(u64::from(id));
        record.line(&format!("addresses {net}.*"));
        let seeds = (1..=3).map(|n| format!("{net}.{n}:{OPERATORS}")).collect();
        let provider = format!("{net}.90:{PROVIDER}");
        Self { folder, root, net, seeds, provider, processes: HashMap::new(), record }
    }

    /// Returns the address with a last number.
    pub fn ip(&self, last: u8) -> String {
        format!("{}.{last}", self.net)
    }

    /// Names the core machines that processes which start from now on are told as seeds.
    pub fn set_seeds(&mut self, numbers: &[u8]) {
        self.seeds = numbers.iter().map(|n| format!("{}:{OPERATORS}", self.ip(*n))).collect();
    }

    /// Starts the control role of core machine `number` (from 1 on).
    pub fn start_core(&mut self, number: u8, bootstrap: bool) {
        let name = format!("core-{number}");
        let data = self.folder.join(format!("data-{number}"));
        let _ = fs::create_dir_all(&data);
        let fields = [
            ("bootstrap", bootstrap.to_string()),
            ("data_directory", data.display().to_string()),
            ("fault_tolerance.machines", "1".to_owned()),
            ("listen_addresses.control_plane", format!("{}:{OPERATORS}", self.ip(number))),
        ];
        self.start(&name, number, "deploy/control.toml", &fields);
        self.record.line(&format!("{name} starts, bootstrap = {bootstrap}"));
    }

    /// Starts the entry role of frontend machine `number` (from 1 on).
    pub fn start_entry(&mut self, number: u8) {
        let name = format!("frontend-{number}");
        let ip = self.ip(10 + number);
        let fields = [
            ("listen_addresses.frontend_address", format!("{ip}:{CONSUMERS}")),
            ("listen_addresses.ready", format!("{ip}:{READY}")),
            ("limits.memory_mb", "260".to_owned()),
        ];
        self.start(&name, 10 + number, "deploy/entry.toml", &fields);
        self.record.line(&format!("{name} starts"));
    }

    fn start(&mut self, name: &str, last: u8, template: &str, fields: &[(&str, String)]) {
        let text = fs::read_to_string(self.root.join(template));
        let mut text = text.unwrap_or_else(|e| could_not_run(&format!("{template}: {e}")));
        let zone = ZONES[usize::from(last - 1) % 10 % 3];
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let common = [
            ("node_name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip_address", self.ip(last)),
            ("internal_port_range.0", PEERS.to_string()),
            ("seed_nodes|json", format!("[{}]", seeds.join(","))),
            ("cloud_api.address", self.provider.clone()),
            ("cloud_api.max_lag_ms", "800".to_owned()),
            ("bounds.grace_period_s", "8".to_owned()),
            ("bounds.revocation_ms", "5000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_slack", "56".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
        ];
        for (field, value) in common.iter().chain(fields) {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap_or_else(|e| could_not_run(&e.to_string()));
        let log = File::options().create(true).append(true).open(self.folder.join(name));
        let log = log.unwrap_or_else(|e| could_not_run(&e.to_string()));
        // The command of the deploy file, with the settings in the temporary folder.
        let child = Command::new("target/release/hawthornkeel")
            .args(["run", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|e| could_not_run(&format!("hawthornkeel: {e}")));
        let _ = STARTED.lock().map(|mut s| s.push(child.id() as i32));
        self.processes.insert(name.to_owned(), child);
    }

    /// Sends SIGTERM to the process of a machine.
    pub fn stop(&mut self, name: &str) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        if let Some(child) = self.processes.get(name) {
            // SAFETY: a plain system call; the process is a child of this one.
            unsafe { kill(child.id() as i32, 15) };
            self.record.line(&format!("{name} gets SIGTERM"));
        }
    }

    /// Waits for the end of the process of a machine, for `limit` at most; returns whether it ended.
    pub fn wait_end(&mut self, name: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            match self.processes.get_mut(name).map(Child::try_wait) {
                Some(Ok(None)) => thread::sleep(Duration::from_millis(20)),
                _ => {
                    self.processes.remove(name);
                    self.record.line(&format!("{name} has ended"));
                    return true;
                }
            }
        }
        false
    }

    /// Empties the disk of core machine `number`, whose process has ended.
    pub fn empty_disk(&self, number: u8) {
        let _ = fs::remove_dir_all(self.folder.join(format!("data-{number}")));
        self.record.line(&format!("core-{number} has lost its disk"));
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.remove(name) {
            let _ = STARTED.lock().map(|mut s| s.retain(|p| *p != child.id() as i32));
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{name} is killed (SIGKILL)"));
        }
    }

    /// Fails the script if a process has ended by itself.
    pub fn check_processes(&mut self) {
        for (name, child) in &mut self.processes {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.line(&format!("{name} ended by itself: {status}"));
            }
        }
    }

    /// Starts the stand-in for the provider's list.
    pub fn start_provider(&self) -> Arc<Mutex<Vec<String>>> {
        let list = Arc::new(Mutex::new(Vec::new()));
        let shown = Arc::clone(&list);
        serve(&self.provider, move |_| {
            let entries: Vec<String> = shown.lock().map(|l| l.clone()).unwrap_or_default();
            let body = format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","));
            Reply::keep(answer(200, &[("Content-Type", "application/json")], body.as_bytes()))
        });
        list
    }

    /// Starts three core machines and some frontends, and waits until they serve a manifest.
    pub fn start_system(&mut self, entries: u8, manifest: &str) {
        (1..=3).for_each(|n| self.start_core(n, true));
        (1..=entries).for_each(|n| self.start_entry(n));
        if !self.replace(manifest, Duration::from_secs(20)) {
            could_not_run("the first manifest is not acknowledged");
        }
        let ready = |ip: &str| {
            let get = request("GET", "/readiness", "ready", &[], b"");
            exchange(&format!("{ip}:{READY}"), &get, Duration::from_secs(1))
                .is_some_and(|a| a.status == 200)
        };
        let until = Instant::now() + Duration::from_secs(10);
        while !(1..=entries).all(|n| ready(&self.ip(10 + n))) {
            if Instant::now() > until {
                could_not_run("a frontend is not ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        // The list has reached all frontends by then.
        thread::sleep(Duration::from_secs(3));
        self.record.line("the system serves");
    }

    /// Sends a manifest until a core machine acknowledges it.
    pub fn replace(&self, manifest: &str, limit: Duration) -> bool {
        self.replace_at(&[1, 2, 3], manifest, limit)
    }

    /// Sends a manifest to some core machines in turn until one acknowledges it.
    pub fn replace_at(&self, numbers: &[u8], manifest: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let fields = [("Content-Type", "application/json")];
        let post = request("POST", "/Configuration.Replace", "op", &fields, manifest.as_bytes());
        for turn in 0_u8.. {
            let number = numbers[usize::from(turn) % numbers.len()];
            let address = format!("{}:{OPERATORS}", self.ip(number));
            let answered = exchange(&address, &post, Duration::from_secs(1));
            let status = answered.map(|a| a.status);
            if turn < 6 || status == Some(200) {
                self.record.line(&format!("manifest sent to core-{number}: {status:?}"));
            }
            if status == Some(200) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(200));
            if turn == 254 {
                return false;
            }
        }
        false
    }
}

/// Returns the first three numbers of loopback addresses on which no port of use is taken.
fn free_net(seed: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_nanos() as u64);
    let mut random = Random(now ^ (seed << 32) | 1);
    for _ in 0..200 {
        let (a, b) = (random.next() % 200 + 20, random.next() % 250 + 1);
        let net = format!("127.{a}.{b}");
        let is_free = (1..=5).chain(11..=18).all(|last| {
            let tcp = [OPERATORS, CONSUMERS, READY, METRICS];
            let free = |port: &u16| TcpListener::bind(format!("{net}.{last}:{port}")).is_ok();
            tcp.iter().all(free) && UdpSocket::bind(format!("{net}.{last}:{PEERS}")).is_ok()
        });
        if is_free {
            return net;
        }
    }
    could_not_run("no free addresses")
}

/// Request as a stand-in received it.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Number of the channel at this stand-in.
    pub channel: u64,
}

impl Received {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// What a stand-in does with a request; a piece is sent after its pause.
pub struct Reply {
    pub pieces: Vec<(Duration, Vec<u8>)>,
    /// Called if the caller leaves before it has taken all pieces.
    pub cut: Option<Box<dyn Fn()>>,
    pub data: Vec<u8>,
    pub end: End,
}

/// What a stand-in does with the channel afterwards.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum End {
    Keep,
    Reset,
}

impl Reply {
    pub fn keep(data: Vec<u8>) -> Self {
        Self { pieces: Vec::new(), cut: None, data, end: End::Keep }
    }

    /// Replies in pieces, each after a pause.
    pub fn pieces(pieces: Vec<(Duration, Vec<u8>)>) -> Self {
        Self { pieces, cut: None, data: Vec::new(), end: End::Keep }
    }

    pub fn reset() -> Self {
        Self { pieces: Vec::new(), cut: None, data: Vec::new(), end: End::Reset }
    }
}

/// Serves HTTP on an address; `handle` is called on the thread of the channel.
pub fn serve(address: &str, handle: impl Fn(&Received) -> Reply + Send + Sync + 'static) {
    let listener = TcpListener::bind(address);
    let listener = listener.unwrap_or_else(|e| could_not_run(&format!("{address}: {e}")));
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let (Ok(stream), handle) = (stream, Arc::clone(&handle)) else { continue };
            thread::spawn(move || serve_channel(stream, number as u64, handle.as_ref()));
        }
    });
}

/// Sends the pieces of a reply; returns whether the caller took them all.
fn send_pieces(out: &mut TcpStream, pieces: &[(Duration, Vec<u8>)]) -> bool {
    for (pause, piece) in pieces {
        thread::sleep(*pause);
        if !is_open(out) || out.write_all(piece).is_err() {
            return false;
        }
    }
    true
}

/// Returns whether the other side has not closed the channel.
fn is_open(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count > 0,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}

fn serve_channel(stream: TcpStream, channel: u64, handle: &dyn Fn(&Received) -> Reply) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(received) = read_request(&mut reader, channel) {
        let reply = handle(&received);
        if reply.end == End::Reset {
            reset_at_close(&out);
            return;
        }
        if !send_pieces(&mut out, &reply.pieces) {
            if let Some(cut) = &reply.cut {
                cut();
            }
            return;
        }
        if out.write_all(&reply.data).is_err() {
            return;
        }
    }
    let _ = out.shutdown(Shutdown::Both);
}

/// Sets SO_LINGER to zero seconds, so that the close of the channel is a reset.
fn reset_at_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, size: u32) -> i32;
    }
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: a plain system call on an open socket; SOL_SOCKET is 1 and SO_LINGER 13 on Linux, on
    // x86-64 and on arm64.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
}

fn read_request(reader: &mut BufReader<TcpStream>, channel: u64) -> Option<Received> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let path = words.next()?.to_owned();
    let fields = read_fields(reader)?;
    let length = fields.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Received { method, path, fields, body, channel })
}

fn read_fields(reader: &mut BufReader<TcpStream>) -> Option<HashMap<String, String>> {
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(fields);
        }
        let (name, value) = line.split_once(':')?;
        fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Encodes an answer with a length.
pub fn answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Encodes a request with a length.
pub fn request(
    method: &str,
    path: &str,
    host: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Answer as a client received it.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    pub status: u16,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Answered {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Sends a request on a new channel; `None` if there is no whole answer in time.
pub fn exchange(address: &str, data: &[u8], limit: Duration) -> Option<Answered> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    stream.write_all(data).ok()?;
    read_answer(&mut BufReader::new(stream))
}

/// Channel of a client that is kept for many requests.
#[derive(Default)]
pub struct Channel {
    reader: Option<BufReader<TcpStream>>,
}

impl Channel {
    /// Sends a request, on a new channel if there is none.
    pub fn exchange(&mut self, address: &str, data: &[u8], limit: Duration) -> Option<Answered> {
        let mut reader = match self.reader.take() {
            Some(reader) => reader,
            None => {
                let address: SocketAddr = address.parse().ok()?;
                let stream = TcpStream::connect_timeout(&address, limit).ok()?;
                let _ = stream.set_nodelay(true);
                BufReader::new(stream)
            }
        };
        let _ = reader.get_ref().set_read_timeout(Some(limit));
        reader.get_mut().write_all(data).ok()?;
        let answered = read_answer(&mut reader)?;
        if !answered.field("connection").eq_ignore_ascii_case("close") {
            self.reader = Some(reader);
        }
        Some(answered)
    }
}

/// Encodes a piece of an answer in chunks; an empty one ends it.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", data.len()).into_bytes();
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out
}

/// What a consumer got of a stream.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    pub status: u16,
    /// Number of events.
    pub events: usize,
    pub is_complete: bool,
    /// Whether the other side closed the channel before the end.
    pub is_closed: bool,
}

impl Channel {
    /// Sends a request for a stream and reads what comes of it.
    pub fn stream(&mut self, address: &str, data: &[u8], limit: Duration) -> Option<Streamed> {
        let mut reader = match self.reader.take() {
            Some(reader) => reader,
            None => {
                let address: SocketAddr = address.parse().ok()?;
                BufReader::new(TcpStream::connect_timeout(&address, limit).ok()?)
            }
        };
        let _ = reader.get_ref().set_nodelay(true);
        let _ = reader.get_ref().set_read_timeout(Some(limit));
        reader.get_mut().write_all(data).ok()?;
        let mut streamed = Streamed::default();
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        streamed.status = line.split_whitespace().nth(1)?.parse().ok()?;
        let fields = read_fields(&mut reader)?;
        let is_kept = !fields.get("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        if let Some(length) = fields.get("content-length").and_then(|l| l.parse::<usize>().ok()) {
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            streamed.is_complete = true;
        }
        while !streamed.is_complete {
            let mut size = String::new();
            let read = reader.read_line(&mut size);
            let size = usize::from_str_radix(size.trim(), 16);
            let (Ok(1..), Ok(size)) = (read, size) else {
                streamed.is_closed = true;
                return Some(streamed);
            };
            let mut part = vec![0; size + 2];
            if reader.read_exact(&mut part).is_err() {
                streamed.is_closed = true;
                return Some(streamed);
            }
            streamed.events += part.windows(5).filter(|w| w == b"data:").count();
            streamed.is_complete = size == 0;
        }
        if is_kept {
            self.reader = Some(reader);
        }
        Some(streamed)
    }
}

/// Reads a whole answer, with a length or in chunks.
fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Answered> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let fields = read_fields(reader)?;
    let mut body = Vec::new();
    if let Some(length) = fields.get("content-length").and_then(|l| l.parse::<usize>().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body).ok()?;
    } else if fields.get("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&part[..size]);
        }
    }
    Some(Answered { status, fields, body })
}

/// Returns an entry of the provider's list, with all fields.
pub fn list_entry(identifier: &str, service: &str, address: &str, zone: &str) -> String {
    format!(
        "{{\"identifier\":\"{identifier}\",\"service\":\"{service}\",\"address\":\"{address}\",\
         \"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\
         \"cold_remaining_ms\":0}}"
    )
}

/// Returns a manifest with one service and one route for `/ledger/`, and two tenants.
pub fn manifest(version: u32, route: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{route}],\"services\":[{{\"name\":\"release-ledger\",\
         \"health_check_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"maker-a\",\
         \"api_keys\":[\"key-a\"],\"priority\":1}},{{\"name\":\"maker-b\",\
         \"api_keys\":[\"key-b\"],\"priority\":1}}]}}"
    )
}

/// Returns a route of a manifest.
pub fn route(kind: &str, timeout_ms: u32, target_ms: u32, max_attempts: u32) -> String {
    format!(
        "{{\"name\":\"r-ledger\",\"hostname\":\"ledger.example\",\"path_prefix\":\"/ledger/\",\
         \"route_type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\
         \"priority\":1,\"service\":\"release-ledger\",\"max_attempts\":{max_attempts},\
         \"stages\":[],\"public\":false,\"session_affinity\":false,\"stream_resumption\":{},\
         \"target_gap_ms\":300}}",
        kind == "streaming"
    )
}
