//! Orders from the command line to an instance: requests and exit codes.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::thread;
use std::thread::JoinHandle;

use rstest::rstest;
use serde_json::Value;

/// Response to an order whose operation number was used for another order.
const CONFLICT: &str = r#"{"result":"conflict","order":{"operator":"ueda","operation":7,
"centre":"yatsushiro","state":"InService"},"index":12}"#;

/// Responds to one request with `status` and `body`, or closes the connection without a status.
fn serve_once(status: Option<&str>, body: &str) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address is free");
    let address = listener.local_addr().expect("the address is known");
    let head = status.map(|s| format!("HTTP/1.1 {s}\r\ncontent-length: {}\r\n\r\n", body.len()));
    let body = body.to_owned();
    let thread = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = String::new();
        while !is_whole(&request) {
            let mut piece = [0; 4096];
            let count = stream.read(&mut piece).expect("a request");
            assert!(count > 0, "closed after {request:?}");
            request.push_str(std::str::from_utf8(&piece[..count]).expect("text"));
        }
        if let Some(head) = head {
            stream.write_all((head + &body).as_bytes()).expect("the response is sent");
        }
        request
    });
    (address, thread)
}

fn is_whole(request: &str) -> bool {
    let Some((head, body)) = request.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |l| l.parse().expect("a length"))
}

fn run(admin: SocketAddr, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hawthornkeel"));
    command.args(args).args(["--admin", &admin.to_string()]);
    command.output().expect("the binary runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn take_out(admin: SocketAddr) -> Output {
    run(admin, &["take-out", "yatsushiro", "--operator", "mori", "--operation", "7"])
}

fn trial_document() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples/trial/environment.toml")
}

#[test]
fn submit_sends_document() {
    let (admin, server) = serve_once(Some("200 OK"), r#"{"result":"accepted","version":4}"#);
    let file = trial_document().display().to_string();
    let args = ["submit", &file, "--operator", "mori", "--operation", "7", "--expected", "3"];
    let output = run(admin, &args);
    let request = server.join().expect("the request is whole");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(stdout(&output), "{\"result\":\"accepted\",\"version\":4}\n");
    let (head, body) = request.split_once("\r\n\r\n").expect("a head and a body");
    assert!(head.starts_with("POST /admin/submit HTTP/1.1\r\n"), "{head}");
    let body: Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(body["operator"], "mori");
    assert_eq!(body["operation"], 7);
    assert_eq!(body["expected"], 3);
    assert_eq!(body["text"], fs::read_to_string(file).expect("the document").as_str());
}

#[test]
fn document_with_findings_is_not_sent() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("environment.toml");
    fs::write(&file, "[[workspace]]\nname = \"a\"\n").expect("a file is written");
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    let file = file.display().to_string();
    let output = run(unused, &["submit", &file, "--operator", "mori", "--expected", "3"]);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn random_number_is_printed_and_sent() {
    let (admin, server) = serve_once(Some("200 OK"), r#"{"result":"held"}"#);
    let output = run(admin, &["bring-back", "yatsushiro", "--operator", "mori"]);
    let request = server.join().expect("the request is whole");
    assert_eq!(output.status.code(), Some(0));
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    let number = printed.trim().strip_prefix("operation ").expect("the number is printed");
    let (head, body) = request.split_once("\r\n\r\n").expect("a head and a body");
    assert!(head.starts_with("POST /admin/bring-back HTTP/1.1\r\n"), "{head}");
    let body: Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(body["operation"].to_string(), number);
    assert_eq!(body["centre"], "yatsushiro");
}

#[test]
fn status_is_printed() {
    let (admin, server) = serve_once(Some("200 OK"), "{\"version\":4}\n");
    let output = run(admin, &["status"]);
    let request = server.join().expect("the request is whole");
    assert!(request.starts_with("GET /admin/status HTTP/1.1\r\n"), "{request}");
    assert_eq!(stdout(&output), "{\"version\":4}\n");
    assert_eq!(output.status.code(), Some(0));
}

#[rstest]
#[case::number_used(Some("200 OK"), CONFLICT, 3, "refused: {\"result\":\"conflict\",")]
#[case::no_quorum(Some("200 OK"), r#"{"result":"not-accepted"}"#, 4, "not carried out: {")]
#[case::full(Some("200 OK"), r#"{"result":"full"}"#, 4, "not carried out: {")]
#[case::undecided(Some("200 OK"), r#"{"result":"unknown"}"#, 5, "outcome not known: {")]
#[case::no_result(Some("200 OK"), "{}", 5, "outcome not known: the answer can't be read")]
#[case::not_found(
    Some("404 Not Found"),
    r#"{"title":"Absent."}"#,
    3,
    "refused: status 404: Absent."
)]
#[case::not_run(
    Some("503 Service Unavailable"),
    r#"{"ran":"not-run","detail":"stopping"}"#,
    4,
    "not carried out: status 503: stopping"
)]
#[case::failed(
    Some("503 Service Unavailable"),
    r#"{"ran":"unknown"}"#,
    5,
    "outcome not known: status 503"
)]
#[case::garbage(Some("500 Internal Server Error"), "<html>", 5, "outcome not known: status 500")]
#[case::no_response(None, "", 5, "outcome not known: no answer from")]
fn exit_code_shows_outcome(
    #[case] status: Option<&str>,
    #[case] body: &str,
    #[case] code: i32,
    #[case] line: &str,
) {
    let (admin, server) = serve_once(status, body);
    let output = take_out(admin);
    server.join().expect("the request is whole");
    assert_eq!(output.status.code(), Some(code));
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    let printed: Vec<&str> = printed.lines().collect();
    assert_eq!(printed.len(), 2, "the number and one line: {printed:?}");
    assert!(printed[1].starts_with(&format!("hawthornkeel: {line}")), "{printed:?}");
}

#[test]
fn unreachable_instance_changed_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address is free");
    let address = listener.local_addr().expect("the address is known");
    drop(listener);
    assert_eq!(take_out(address).status.code(), Some(4));
}

/// Rollout as the admin address returns it.
const RECORD: &str = r#""order":{"pool":"ledger","version":"v2","duration_ms":1500},"id":9,
"began":5,"phase":"Trial","allowance":0,"replaced":[],"cause":null}"#;

// A command sends another order than was typed, or the exit code hides that nothing was begun.
#[rstest]
#[case::begun("recorded", 0)]
#[case::busy("busy", 3)]
#[case::completed("completed", 3)]
fn rollout_orders(#[case] result: &str, #[case] code: i32) {
    let body = format!(r#"{{"result":"{result}",{RECORD}"#);
    let (admin, server) = serve_once(Some("200 OK"), &body);
    let output = run(admin, &["rollout", "ledger", "v2", "--duration", "1.5"]);
    let request = server.join().expect("the request is whole");
    assert_eq!(output.status.code(), Some(code));
    let (head, body) = request.split_once("\r\n\r\n").expect("a head and a body");
    assert!(head.starts_with("POST /admin/rollout HTTP/1.1\r\n"), "{head}");
    assert_eq!(body, r#"{"pool":"ledger","version":"v2","duration_ms":1500}"#);
}

#[rstest]
#[case::no_pool(r#"{"result":"unknown-pool"}"#, 3)]
#[case::members(r#"{"result":"unavailable","members":["c"]}"#, 4)]
#[case::no_quorum(r#"{"result":"not-accepted"}"#, 4)]
#[case::undecided(r#"{"result":"unknown"}"#, 5)]
fn roll_back_orders(#[case] response: &str, #[case] code: i32) {
    let (admin, server) = serve_once(Some("200 OK"), response);
    let output = run(admin, &["roll-back", "ledger"]);
    let request = server.join().expect("the request is whole");
    assert!(request.starts_with("POST /admin/roll-back HTTP/1.1\r\n"), "{request}");
    assert!(request.ends_with(r#"{"pool":"ledger"}"#), "{request}");
    assert_eq!(output.status.code(), Some(code));
}
