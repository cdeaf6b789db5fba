//! Processes of a small deployment on loopback addresses, and stand-ins for the platform, the
//! runners, the operator and the consumers. Standard library only.

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Program of the build in `deploy/system.toml`.
const PROGRAM: &str = "target/release/hawthornkeel";
/// Longest time of a case in seconds.
const LONGEST: f64 = 112.0;

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Record of what was sent, answered and run, with seconds from the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).expect("record can be created");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn time(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.time(), text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Message of HTTP/1.1: first line, header fields in lower case, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }


    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if message.first.is_empty() { Ok(None) } else { Err(closed()) };
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn closed() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(closed());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| closed())?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Ok(length) = message.field("content-length").parse::<usize>() {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(())
}

/// Reads one message with its body.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Serves connections with `handler`, which writes its answer and returns whether to keep the channel.
pub fn serve<H>(address: &str, handler: H)
where
    H: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("address is free");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader) {
                    if !handler(&request, &mut writer).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes an answer with a length; `fields` end with CRLF each.
pub fn answer(writer: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> io::Result<bool> {
    let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    writer.write_all(&[head.as_bytes(), body].concat())?;
    Ok(true)
}

/// Sends one request on a new channel and reads the answer within `timeout` seconds.
pub fn call(
    address: &str,
    request: &str,
    fields: &str,
    body: &[u8],
    timeout: f64,
) -> io::Result<Message> {
    let limit = Duration::from_secs_f64(timeout);
    let target: SocketAddr = address.parse().map_err(|_| closed())?;
    let stream = TcpStream::connect_timeout(&target, limit.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut writer = stream.try_clone()?;
    let head = format!("{request} HTTP/1.1\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    writer.write_all(&[head.as_bytes(), body].concat())?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(closed)
}

/// Processes of the deployment by name; all of them end when it is dropped.
pub struct Fleet {
    pub net: String,
    pub folder: PathBuf,
    pub record: Record,
    pub controls: Vec<String>,
    pub entries: Vec<String>,
    /// Entries of the platform's list of runners, as JSON.
    pub list: Arc<Mutex<Vec<String>>>,
    children: HashMap<String, Child>,
    zones: Vec<&'static str>,
}

impl Fleet {
    /// Prepares the deployment and starts the platform's list.
    pub fn new(controls: usize, entries: usize) -> Self {
        let net = free_net();
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        let names =
            |part: u8, count: usize| (1..=count).map(|i| format!("{net}.{part}.{i}")).collect();
        end_after(LONGEST, folder.join("pids"));
        let fleet = Self {
            controls: names(1, controls),
            entries: names(2, entries),
            folder,
            record: Record::new(),
            list: Arc::default(),
            children: HashMap::new(),
            zones: vec!["zone-a", "zone-b", "zone-c"],
            net,
        };
        let list = Arc::clone(&fleet.list);
        serve(&fleet.platform(), move |request, writer| {
            let body = format!("{{\"instances\":[{}],\"next\":null}}", list.lock().unwrap().join(","));
            let id = echo(request);
            answer(writer, "200 OK", &format!("{id}Content-Type: application/json\r\n"), body.as_bytes())
        });
        fleet
    }

    pub fn platform(&self) -> String {
        format!("{}.9.1:8624", self.net)
    }

    fn seeds(&self) -> String {
        let seeds = self.controls.iter().take(3).map(|c| format!("\"{c}:8628\""));
        format!("[{}]", seeds.collect::<Vec<_>>().join(","))
    }

    /// Renders a template of the deploy file for the machine at `ip`.
    fn render(&self, template: &str, ip: &str, zone: usize, extra: &[(&str, String)]) -> String {
        let mut text = fs::read_to_string(template).expect("template");
        let mut values: Vec<(&str, String)> = vec![
            ("node_name", format!("node-{}", ip.replace('.', "-"))),
            ("zone", self.zones[zone % 3].to_owned()),
            ("ip_address", ip.to_owned()),
            ("internal_port_range.0", "7740".to_owned()),
            ("seed_nodes|json", self.seeds()),
            ("listen_addresses.frontend_address", format!("{ip}:8625")),
            ("listen_addresses.ready", format!("{ip}:8621")),
            ("listen_addresses.control_plane", format!("{ip}:8628")),
            ("bounds.revocation_ms", "5000".to_owned()),
            ("cloud_api.max_lag_ms", "800".to_owned()),
            ("cloud_api.address", self.platform()),
            ("bounds.grace_period_s", "8".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_slack", "56".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
            ("fault_tolerance.machines", "1".to_owned()),
        ];
        values.extend(extra.iter().cloned());
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        text
    }

    /// Starts the control process of machine `index`; `first` is true at the first start of all.
    pub fn start_control(&mut self, index: usize, first: bool) {
        let ip = self.controls[index].clone();
        let data = self.data(index);
        fs::create_dir_all(&data).expect("data folder");
        let extra = [("data_directory", data.display().to_string()), ("bootstrap", first.to_string())];
        let text = self.render("deploy/control.toml", &ip, index, &extra);
        self.start(&format!("control-{}", index + 1), &text);
    }

    pub fn start_entry(&mut self, index: usize) {
        let ip = self.entries[index].clone();
        let text = self.render("deploy/entry.toml", &ip, index, &[]);
        self.start(&format!("entry-{}", index + 1), &text);
    }

    pub fn data(&self, index: usize) -> PathBuf {
        self.folder.join(format!("data-{}", index + 1))
    }

    fn start(&mut self, name: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings");
        let open = || {
            let log = self.folder.join(format!("{name}.log"));
            File::options().create(true).append(true).open(log).expect("log")
        };
        let child = Command::new(PROGRAM)
            .args(["run", "--settings"])
            .arg(&path)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", &self.folder)
            .stdin(Stdio::null())
            .stdout(open())
            .stderr(open())
            .spawn()
            .expect("program of the deploy file is built");
        let pids = self.folder.join("pids");
        let _ = File::options().create(true).append(true).open(pids).and_then(|mut f| writeln!(f, "{}", child.id()));
        self.record.line(format!("started {name} (process {})", child.id()));
        self.children.insert(name.to_owned(), child);
    }

    /// Sends a signal to a process of the deployment.
    pub fn signal(&self, name: &str, signal: &str) {
        let id = self.children[name].id();
        let _ = Command::new("kill").args([&format!("-{signal}"), &id.to_string()]).status();
        self.record.line(format!("SIG{signal} to {name}"));
    }

    /// Waits until a process has ended, for `limit` seconds at most; returns whether it has.
    pub fn wait_end(&mut self, name: &str, limit: f64) -> bool {
        let start = Instant::now();
        let child = self.children.get_mut(name).expect("known process");
        while start.elapsed().as_secs_f64() < limit {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.line(format!("{name} has ended ({status})"));
                return true;
            }
            sleep(0.01);
        }
        false
    }

    /// Returns the processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        self.children.iter_mut().filter_map(|(n, c)| ended(c).then(|| n.clone())).collect()
    }

    /// Sends an order of the operator to machine `index`; returns the status, 0 without an answer.
    pub fn order(&self, index: usize, request: &str, body: &str, timeout: f64) -> (u16, String) {
        let address = format!("{}:8628", self.controls[index]);
        let fields = format!("Host: {address}\r\nContent-Type: application/json\r\n");
        match call(&address, request, &fields, body.as_bytes(), timeout) {
            Ok(message) => (message.status(), message.text()),
            Err(_) => (0, String::new()),
        }
    }

    /// Sends a manifest to the machines of `among` in turn until one acknowledges it, as the operator
    /// does; returns whether one did within `limit` seconds.
    pub fn replace(&self, among: &[usize], version: u64, manifest: &str, limit: f64) -> bool {
        let start = Instant::now();
        let mut pause = 0.1;
        while start.elapsed().as_secs_f64() < limit {
            for index in among {
                let (status, _) = self.order(*index, "POST /Configuration.Replace", manifest, 1.0);
                self.record.line(format!("manifest {version} sent to control-{}: {status}", index + 1));
                if status == 200 {
                    return true;
                }
                if start.elapsed().as_secs_f64() >= limit {
                    break;
                }
                sleep(pause);
                pause = (pause * 1.5_f64).min(1.0);
            }
        }
        false
    }

    /// Reads the manifest at the machines of `among` in turn for `limit` seconds, until one gives it.
    pub fn read(&self, among: &[usize], limit: f64) -> Option<String> {
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < limit {
            for index in among {
                let (status, text) = self.order(*index, "GET /Configuration.Read", "", 1.5);
                self.record.line(format!("manifest read at control-{}: {status}", index + 1));
                if status == 200 {
                    return Some(text);
                }
            }
            sleep(0.2);
        }
        None
    }

    /// Waits until all entries say that they are ready.
    pub fn wait_ready(&self, limit: f64) -> bool {
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < limit {
            if self.entries.iter().all(|ip| self.is_ready(ip)) {
                return true;
            }
            sleep(0.1);
        }
        false
    }

    pub fn is_ready(&self, ip: &str) -> bool {
        let address = format!("{ip}:8621");
        let fields = format!("Host: {address}\r\n");
        call(&address, "GET /readiness", &fields, b"", 1.0).is_ok_and(|m| m.status() == 200)
    }

    /// Adds a runner to the platform's list.
    pub fn list_runner(&self, id: &str, service: &str, address: &str, zone: &str, slots: u32) {
        self.list.lock().unwrap().push(format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"identifier\":\"{id}\"}}"
        ));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the header field that echoes the identity of a request.
pub fn echo(request: &Message) -> String {
    match request.field("request-id") {
        "" => String::new(),
        id => format!("Request-Id: {id}\r\n"),
    }
}

/// Ends the case and its processes after some seconds, as one that could not run.
fn end_after(seconds: f64, pids: PathBuf) {
    thread::spawn(move || {
        sleep(seconds);
        for id in fs::read_to_string(pids).unwrap_or_default().lines() {
            let _ = Command::new("kill").args(["-KILL", id]).status();
        }
        std::process::exit(2);
    });
}

/// Returns the first two parts of loopback addresses that nothing uses.
fn free_net() -> String {
    let seed = std::process::id();
    for step in 0..100 {
        let net = format!("127.{}", 40 + (seed + step) % 180);
        if TcpListener::bind(format!("{net}.9.1:8624")).is_ok()
            && TcpListener::bind(format!("{net}.1.1:8628")).is_ok()
        {
            return net;
        }
    }
    panic!("no free loopback addresses");
}

/// A runner of plain requests that answers after `work` seconds; records what it runs.
pub fn plain_runner(record: &Record, id: &str, address: &str, work: f64) {
    let (record, id) = (record.clone(), id.to_owned());
    serve(address, move |request, writer| {
        if request.path() == "/health" {
            return answer(writer, "200 OK", &format!("Instance-Id: {id}\r\n"), b"");
        }
        let expected = request.field("expected-instance");
        if !expected.is_empty() && expected != id {
            return answer(writer, "421 Misdirected Request", &echo(request), b"");
        }
        record.line(format!("runner {id} runs {} {}", request.field("request-id"), request.path()));
        sleep(work);
        let fields = format!("{}Server-Signature: {id}.1\r\n", echo(request));
        answer(writer, "200 OK", &fields, b"done")
    });
}
