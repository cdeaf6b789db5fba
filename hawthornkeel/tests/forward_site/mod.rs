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

/// Running site.
pub struct Site {
    pub seen: Arc<Mutex<Vec<Seen>>>,
    children: Vec<Child>,
    root: TempDir,
    operators: SocketAddr,
    entry: SocketAddr,
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Site {
    /// Starts the site; `net` keeps the addresses of tests that run at once apart.
    pub fn start(net: u8) -> Self {
        let ip = |host: u8| format!("127.{net}.0.{host}");
        let port = free_port(&ip(1));
        let (list, operators) = (addr(&ip(9), port + 1), addr(&ip(1), port + 2));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let targets = [addr(&ip(31), port), addr(&ip(32), port), addr(&ip(33), port)];
        serve_fakes(list, targets, &seen);
        let root = tempfile::tempdir().unwrap();
        let entry = addr(&ip(2), port + 3);
        let mut site = Self { seen, children: Vec::new(), root, operators, entry };
        let data = site.root.path().join("data").display().to_string();
        site.spawn(&format!(
            "[control]\nenabled = true\ndata = {data:?}\noperators = \"{operators}\"\nlost_disks = 0\n\
             [platform]\naddress = \"{list}\"\npoll_ms = 100\n",
        ), &ip(1), port, &ip(1));
        for host in [2, 3] {
            let listen = addr(&ip(host), port + 3);
            let ready = addr(&ip(host), port + 4);
            let forward = format!(
                "[forward]\nlisten = \"{listen}\"\nready = \"{ready}\"\ngrace_s = 2\nretry_slack = 100\n"
            );
            site.spawn(&forward, &ip(host), port, &ip(1));
        }
        site
    }

    fn spawn(&mut self, role: &str, ip: &str, port: u16, seed: &str) {
        let settings = format!(
            "[instance]\nname = \"x\"\ndata_centre = \"a\"\n[peers]\nlisten = \"{ip}:{port}\"\n\
             trust = \"addresses\"\nseeds = [\"{seed}:{port}\"]\n{role}",
        );
        let file: PathBuf = self.root.path().join(format!("{ip}.toml"));
        fs::write(&file, settings).unwrap();
        let log = fs::File::create(self.root.path().join(format!("{ip}.log"))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_hawthornkeel"))
            .args(["run", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.children.push(child);
    }

    /// Puts a document into force, and waits until it is acknowledged.
    pub fn put(&self, document: &str) -> u16 {
        let until = Instant::now() + PATIENCE;
        loop {
            let got = call(self.operators, "POST", "/Configuration.Replace", "", document);
            match got {
                Some(got) if got.status != 503 => return got.status,
                _ => assert!(Instant::now() < until, "no acknowledgement:\n{}", self.logs()),
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the document in force, as operators read it.
    pub fn read(&self) -> Option<Got> {
        call(self.operators, "GET", "/Configuration.Read", "", "")
    }

    /// Calls an entry, which must be listening.
    pub fn call(&self, method: &str, path: &str, fields: &str, body: &str) -> Got {
        call(self.entry, method, path, fields, body).unwrap_or_else(|| panic!("{}", self.logs()))
    }

    /// Calls an entry until the answer has a status.
    pub fn call_until(&self, status: u16, path: &str, fields: &str) -> Got {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(got) = call(self.entry, "GET", path, fields, "")
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
            let refusal = Response::whole(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "full");
            return refusal.with_header("not-executed", "1").with_header("request-id", &id);
        }
        "/lots/broken" if first => {
            Response::whole(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "no")
        }
        "/events/1" => events(first),
        path => Response::whole(StatusCode::OK, "text/plain", format!("{target} {path}")),
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
    if let Body::Whole(_) = response.body {
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
