//! One control instance and two entries as processes, with a platform's list and targets.

#![allow(dead_code, clippy::indexing_slicing, clippy::unwrap_used)]

use std::fs;
use std::io::Read;
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

use bytes::Bytes;
use hawthornkeel::http::channel::bounded;
use hawthornkeel::http::message::Body;
use hawthornkeel::http::message::Request;
use hawthornkeel::http::message::Response;
use hawthornkeel::http::server::Limits;
use hawthornkeel::http::server::Server;
use http::HeaderMap;
use http::StatusCode;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tempfile::TempDir;

/// Time for anything to come about.
const PATIENCE: Duration = Duration::from_secs(20);
/// Names of the targets, which listen on addresses of their own.
pub const TARGETS: [&str; 3] = ["i-plain", "i-other", "i-stage"];

/// Request as a target got it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub target: &'static str,
    pub line: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Answer as a caller got it.
#[derive(Debug)]
pub struct Got {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Callers of a site's entries.
pub struct Callers {
    entries: Vec<SocketAddr>,
}

impl Callers {
    /// Calls one of the entries once; `None` where there is no whole answer.
    pub fn try_call(&self, entry: usize, method: &str, path: &str, fields: &str) -> Option<Got> {
        call(self.entries[entry], method, path, fields, "")
    }
}

/// Process of the site.
struct Process {
    ip: String,
    child: Option<Child>,
}

/// Running site.
pub struct Site {
    pub seen: Arc<Mutex<Vec<Seen>>>,
    processes: Vec<Process>,
    root: TempDir,
    operators: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
}

impl Drop for Site {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|at| self.kill(at));
    }
}

impl Site {
    /// Starts a site with one control instance; `net` keeps tests that run at once apart.
    pub fn start(net: u8) -> Self {
        Self::with_controls(net, 1)
    }

    /// Starts a site; the first processes are its control instances, two entries follow.
    pub fn with_controls(net: u8, controls: u8) -> Self {
        let ip = |host: u8| format!("127.{net}.0.{host}");
        let port = free_port(&ip(1));
        let list = addr(&ip(9), port + 1);
        let seen = Arc::new(Mutex::new(Vec::new()));
        let targets = [addr(&ip(31), port), addr(&ip(32), port), addr(&ip(33), port)];
        serve_fakes(list, targets, &seen);
        let hosts: Vec<u8> = (1..=controls).collect();
        let entries: Vec<u8> = vec![controls + 1, controls + 2];
        let mut site = Self {
            seen,
            processes: Vec::new(),
            root: tempfile::tempdir().unwrap(),
            operators: hosts.iter().map(|h| addr(&ip(*h), port + 2)).collect(),
            entries: entries.iter().map(|h| addr(&ip(*h), port + 3)).collect(),
        };
        let seeds: Vec<String> = hosts.iter().map(|h| format!("\"{}:{port}\"", ip(*h))).collect();
        let common = |host: u8| {
            let (ip, seeds) = (ip(host), seeds.join(","));
            format!(
                "[instance]\nname = \"x\"\ndata_centre = \"a\"\n[peers]\nlisten = \"{ip}:{port}\"\n\
                 trust = \"addresses\"\nseeds = [{seeds}]\n"
            )
        };
        for host in hosts {
            let data = site.root.path().join(format!("data-{host}")).display().to_string();
            let (lost, operators) = (controls / 2, addr(&ip(host), port + 2));
            let role = format!(
                "[control]\nenabled = true\ndata = {data:?}\noperators = \"{operators}\"\n\
                 lost_disks = {lost}\n[platform]\naddress = \"{list}\"\npoll_ms = 100\n"
            );
            site.add(&ip(host), &(common(host) + &role));
        }
        for host in entries {
            let (listen, ready) = (addr(&ip(host), port + 3), addr(&ip(host), port + 4));
            let role = format!(
                "[forward]\nlisten = \"{listen}\"\nready = \"{ready}\"\ngrace_s = 2\n\
                 retry_slack = 100\n"
            );
            site.add(&ip(host), &(common(host) + &role));
        }
        site
    }

    fn add(&mut self, ip: &str, settings: &str) {
        fs::write(self.root.path().join(format!("{ip}.toml")), settings).unwrap();
        self.processes.push(Process { ip: ip.to_owned(), child: None });
        self.spawn(self.processes.len() - 1);
    }

    /// Starts a process that doesn't run.
    pub fn spawn(&mut self, at: usize) {
        let process = &mut self.processes[at];
        let file: PathBuf = self.root.path().join(format!("{}.toml", process.ip));
        let log = self.root.path().join(format!("{}.log", process.ip));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_hawthornkeel"))
            .args(["run", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        process.child = Some(child);
    }

    /// Kills a process.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.processes[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells whether a process runs, frozen or not.
    pub fn runs(&self, at: usize) -> bool {
        self.processes[at].child.is_some()
    }

    /// Returns the number of processes.
    pub fn processes(&self) -> usize {
        self.processes.len()
    }

    /// Sends a signal to a process that runs.
    pub fn signal(&self, at: usize, signal: Signal) {
        if let Some(child) = &self.processes[at].child {
            kill_process(Pid::from_child(child), signal).unwrap();
        }
    }

    /// Returns callers, who go on while processes are killed and started.
    pub fn callers(&self) -> Callers {
        Callers { entries: self.entries.clone() }
    }

    /// Hands a document to one control instance once.
    pub fn try_put(&self, control: usize, document: &str) -> Option<Got> {
        call(self.operators[control], "POST", "/Configuration.Replace", "", document)
    }

    /// Reads the document in force from one control instance.
    pub fn try_read(&self, control: usize) -> Option<Got> {
        call(self.operators[control], "GET", "/Configuration.Read", "", "")
    }

    /// Puts a document into force, and waits until it is acknowledged.
    pub fn put(&self, document: &str) -> u16 {
        let until = Instant::now() + PATIENCE;
        loop {
            let got = call(self.operators[0], "POST", "/Configuration.Replace", "", document);
            match got {
                Some(got) if got.status != 503 => return got.status,
                _ => assert!(Instant::now() < until, "no acknowledgement:\n{}", self.logs()),
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the document in force, as operators read it.
    pub fn read(&self) -> Option<Got> {
        call(self.operators[0], "GET", "/Configuration.Read", "", "")
    }

    /// Calls an entry, which must be listening.
    pub fn call(&self, method: &str, path: &str, fields: &str, body: &str) -> Got {
        call(self.entries[0], method, path, fields, body)
            .unwrap_or_else(|| panic!("{}", self.logs()))
    }

    /// Calls an entry until the answer has a status.
    pub fn call_until(&self, status: u16, path: &str, fields: &str) -> Got {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(got) = call(self.entries[0], "GET", path, fields, "")
                && got.status == status
            {
                return got;
            }
            assert!(Instant::now() < until, "never {status}:\n{}", self.logs());
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns what targets got, of requests whose first line begins so.
    pub fn got(&self, line: &str) -> Vec<Seen> {
        let seen = self.seen.lock().unwrap();
        seen.iter().filter(|s| s.line.starts_with(line)).cloned().collect()
    }

    /// Waits until targets got a request whose first line begins so.
    pub fn wait_for(&self, line: &str) -> Seen {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(seen) = self.got(line).first() {
                return seen.clone();
            }
            assert!(Instant::now() < until, "never {line}:\n{}", self.logs());
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn logs(&self) -> String {
        let files = fs::read_dir(self.root.path()).unwrap().map(|f| f.unwrap().path());
        let logs = files.filter(|f| f.extension().is_some_and(|e| e == "log"));
        logs.map(|f| fs::read_to_string(f).unwrap()).collect()
    }
}

fn addr(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().unwrap()
}

/// Returns a port below those that the system hands out, free with the next few.
fn free_port(ip: &str) -> u16 {
    let start = 20_000 + u16::try_from(std::process::id() % 800).unwrap() * 10;
    let free = |port: &u16| (0..5).all(|n| TcpListener::bind((ip, port + n)).is_ok());
    (start..32_000).step_by(10).find(free).unwrap()
}

/// Serves the platform's list and the targets on a thread of their own.
fn serve_fakes(list: SocketAddr, targets: [SocketAddr; 3], seen: &Arc<Mutex<Vec<Seen>>>) {
    let seen = Arc::clone(seen);
    thread::spawn(move || {
        hawthornkeel::runtime::block_on(async move {
            let entries = TARGETS.iter().zip(targets).map(|(name, address)| {
                let pool = if *name == "i-stage" { "portal" } else { "ledger" };
                format!(
                    r#"{{"identifier":"{name}","service":"{pool}","address":"{address}","zone":"a",
                    "version":"v1","slots":4,"state":"ready","cold_remaining_ms":0}}"#
                )
            });
            let entries: Vec<String> = entries.collect();
            let page = format!(r#"{{"instances":[{}],"next":null}}"#, entries.join(","));
            let server = Server::bind(list, Limits::default()).unwrap();
            monoio::spawn(server.serve(move |_: Request| {
                let page = page.clone();
                async move { Response::json(page) }
            }));
            for (target, address) in TARGETS.into_iter().zip(targets) {
                let server = Server::bind(address, Limits::default()).unwrap();
                let seen = Arc::clone(&seen);
                monoio::spawn(server.serve(move |request: Request| {
                    let first = note(target, &request, &seen);
                    async move { answer(target, &request, first).await }
                }));
            }
            std::future::pending::<()>().await;
        })
        .unwrap();
    });
}

/// Notes a request and tells whether it is the first with its line.
fn note(target: &'static str, request: &Request, seen: &Mutex<Vec<Seen>>) -> bool {
    let head = &request.head;
    let line = format!("{} {}?{}", head.method, head.path, head.query);
    let mut seen = seen.lock().unwrap();
    let first = !seen.iter().any(|s| s.line == line);
    let (headers, body) = (head.headers.clone(), request.body.clone());
    seen.push(Seen { target, line, headers, body });
    first
}

async fn answer(target: &str, request: &Request, first: bool) -> Response {
    let head = &request.head;
    let id = head.header("request-id").unwrap_or_default().to_owned();
    let response = match head.path.as_str() {
        "/stage-run" => {
            return Response::json(
                r#"{"items":[{"handle":"10.0.0.1:1/aa"},{"handle":"10.0.0.1:1/bb"}]}"#,
            );
        }
        "/stage-free" => return Response::json("{}"),
        "/lots/full" if first => {
            let refusal = Response::full(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "full");
            return refusal.with_header("not-executed", "1").with_header("request-id", &id);
        }
        "/lots/broken" if first => {
            Response::full(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "no")
        }
        "/events/1" => events(first),
        path => Response::full(StatusCode::OK, "text/plain", format!("{target} {path}")),
    };
    response.with_header("server-signature", "s.1").with_header("request-id", &id)
}

/// Answers with a stream that breaks off inside its second event at the first time.
fn events(first: bool) -> Response {
    let (sender, receiver) = bounded(4);
    monoio::spawn(async move {
        let all = if first { "id: 1\ndata: a\n\nid: 2\nda" } else { "id: 2\ndata: b\n\n" };
        let _ = sender.send(Bytes::from_static(all.as_bytes())).await;
        if !first {
            sender.finish();
        }
    });
    let mut response = Response::events(receiver);
    if let Body::Full(_) = response.body {
        response.status = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response
}

/// Sends one request and reads its answer, `None` where there is no connection or no answer.
fn call(to: SocketAddr, method: &str, path: &str, fields: &str, body: &str) -> Option<Got> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n{fields}\
         Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Got { status, head: head.to_lowercase(), body: body.to_owned() })
}
