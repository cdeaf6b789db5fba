//! The command `explain`, run through the binary: on written files, and on the logs of processes that
//! failed requests.

mod forward_harness;

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use tempfile::TempDir;

use crate::forward_harness::Harness;
use crate::forward_harness::TARGETS;
use crate::forward_harness::document::document;

/// Second bytes of the loopback addresses of the harnesses.
const NETS: [u8; 2] = [181, 182];
/// Time within which a load must be refused.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Requests sent at once to bring about a refusal under load.
const BURST: usize = 60;
/// Lines of a request, the first of which another process wrote later.
const FIRST: &str = "ts=2026-01-11T05:45:10.9Z level=info event=request-ended request=r-1 \
                     outcome=answered status=200 route=lots pool=ledger time_ms=5000 ms=1900";
const SECOND: &str = "ts=2026-01-11T05:45:10Z level=info event=desk-silent owner=entry-3 desk=a/0 \
                      request=r-1";
const OTHER: &str = "ts=2026-01-11T05:45:10.5Z level=info event=job-ended request=r-1 desk=a/0 \
                     stage=2 outcome=Gone";

fn run(request: &str, files: &[PathBuf], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hawthornkeel"))
        .args(["explain", request])
        .args(files)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Writes files and returns them with their folder.
fn write(files: &[(&str, &[u8])]) -> (TempDir, Vec<PathBuf>) {
    let folder = tempfile::tempdir().unwrap();
    let path = |(name, content): &(&str, &[u8])| {
        let path = folder.path().join(name);
        fs::write(&path, content).unwrap();
        path
    };
    let paths = files.iter().map(path).collect();
    (folder, paths)
}

/// Explains a request from the logs of a harness.
fn explain(harness: &Harness, request: &str) -> String {
    harness.settled_logs();
    let output = run(request, &harness.log_files(), "");
    assert_eq!(output.status.code(), Some(0), "{output:?}\n");
    text(&output.stdout)
}

fn fields(request: &str) -> String {
    format!("Authorization: Token k1\r\nRequest-Id: {request}\r\n")
}

#[track_caller]
fn assert_parts(story: &str, parts: &[&str]) {
    let mut rest = story;
    for part in parts {
        let at = rest.find(part).unwrap_or_else(|| panic!("no {part:?} in order in\n{story}"));
        rest = &rest[at + part.len()..];
    }
}

#[test]
fn files_interleaved() {
    let one = format!("{FIRST}\n{SECOND}\n");
    let two = format!("  12.5 front-2 {OTHER}\n");
    let (_folder, files) = write(&[("entry-1.log", one.as_bytes()), ("all.log", two.as_bytes())]);
    let output = run("r-1", &files, "");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_parts(
        &text(&output.stdout),
        &[
            "Request r-1\n",
            "     +0 ms  entry-1  came in on route lots",
            "  +1000 ms  entry-1  entry-3, which runs scheduler a/0, did not answer\n",
            "  +1500 ms  front-2  stage 2 at scheduler a/0 was not done",
            "  +1900 ms  entry-1  ended: answered (status 200)\n",
            "End: answered",
            "\n3 lines read\n",
        ],
    );
}

#[test]
fn bad_lines_told() {
    let mut log = format!("{FIRST}\npanic at x\nts=2026-01-11T05:45:10Z event=\"x\n").into_bytes();
    log.extend(b"\xff\xfe\n");
    log.extend(vec![b'x'; 100_000]);
    let (_folder, files) = write(&[("entry-1.log", &log)]);
    let output = run("r-1", &files, "");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let counts =
        "5 lines read, 4 unusable: 1 too long, 1 not UTF-8, 1 without a time, 1 not logfmt\n";
    assert!(text(&output.stdout).ends_with(counts), "{output:?}");
}

#[test]
fn standard_input() {
    let state = "ts=2026-01-11T05:45:10.8Z event=desk-state desk=a/0 waiting=3";
    let ended = FIRST.replace("answered", "overloaded").replace("200", "503");
    let output = run("r-1", &[], &format!("{state}\n{ended}\n"));
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_parts(&text(&output.stdout), &["ended: overloaded", "scheduler a/0 at -, -100 ms"]);
}

#[rstest]
#[case::other_request("r-2", FIRST)]
#[case::part_of_identity("r-", FIRST)]
#[case::nothing("r-1", "")]
fn request_not_named(#[case] request: &str, #[case] input: &str) {
    let output = run(request, &[], input);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(output.stdout.is_empty(), "{output:?}");
    let error = text(&output.stderr);
    assert!(error.starts_with("hawthornkeel: no line names request"), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
}

#[test]
fn file_unreadable() {
    let output = run("r-1", &[PathBuf::from("/nonexistent/entry.log")], "");
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(text(&output.stderr).contains("can't read /nonexistent/entry.log"), "{output:?}");
}

#[test]
fn failures_of_processes() {
    let harness = Harness::start(NETS[0]);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    harness.call_until(200, "/lots/1", &fields("first"));

    harness.call("GET", "/events/1", &fields("resumed"), "");
    let resumed = explain(&harness, "resumed");
    let parts =
        ["came in on route events to pool ledger", "broke off after event 1", "goes on with"];
    assert_parts(&resumed, &parts);
    assert_parts(&resumed, &["End: answered (answered, status 200)"]);

    // A refusal elsewhere ends no stream that may go on.
    thread::scope(|scope| {
        let caller = scope.spawn(|| harness.call("GET", "/events/drip", &fields("silent"), ""));
        harness.wait_for_request("GET /events/drip");
        TARGETS.iter().for_each(|target| harness.set_target(target, |t| t.refusing = true));
        caller.join().unwrap();
    });
    TARGETS.iter().for_each(|target| harness.set_target(target, |t| t.refusing = false));
    let silent = explain(&harness, "silent");
    let parts = [
        "did not resume the stream (status 503)",
        "End: its stream was cut at its deadline (stream-late, status 200)",
    ];
    assert_parts(&silent, &parts);
    assert!(!silent.contains("broke off"), "{silent}");

    harness.call("GET", "/paused/break/full/100", &fields("cut"), "");
    let cut = explain(&harness, "cut");
    let parts = [
        "broke off after event 1",
        "did not resume the stream (status 503)",
        "End: its stream broke off and was not resumed (stream-cut, status 200)",
        "the other targets did not resume it",
    ];
    assert_parts(&cut, &parts);

    harness.call_until(200, "/lots/1", &fields("next"));
    harness.call("POST", "/sign/endless", &fields("lost"), "x");
    let lost = explain(&harness, "lost");
    let parts = ["answer of target", "End: its answer was lost (answer-lost, status 502)", "yes;"];
    assert_parts(&lost, &parts);

    harness.call_until(200, "/lots/1", &fields("last"));
    harness.call("GET", "/lots/dead", &fields("dead"), "");
    let dead = explain(&harness, "dead");
    let parts =
        ["gave no answer", "End: no answer, and whether it ran is not known", "other requests"];
    assert_parts(&dead, &parts);

    // Until the entry is sure of its document, it answers 503 to what it would deny.
    let denied = "Authorization: Token other\r\nRequest-Id: denied\r\n";
    harness.call_until(401, "/lots/1", denied);
    assert_parts(&explain(&harness, "denied"), &["denied: its key", "May have run: no\n"]);
}

#[test]
fn load_refused() {
    let harness = Harness::start(NETS[1]);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    harness.call_until(200, "/lots/1", &fields("first"));
    let until = Instant::now() + TEST_TIMEOUT;
    let mut rounds = (0..).take_while(|_| Instant::now() < until);
    let refused = rounds.find_map(|round| refused_request(&harness, round));
    let refused = refused.unwrap_or_else(|| panic!("nothing refused:\n{}", harness.logs()));
    // The state of a scheduler is told once a second.
    harness.wait_for_log("event=desk-state");
    let story = explain(&harness, &refused);
    let parts = ["ended: overloaded (status 503)", "End: refused under load", "May have run: no\n"];
    assert_parts(&story, &parts);
}

/// Sends more than the targets can do; returns a request that was refused as overloaded, if any.
fn refused_request(harness: &Harness, round: usize) -> Option<String> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..BURST)
            .map(|at| {
                let request = format!("load-{round}-{at}");
                scope.spawn(move || {
                    let more = "Pieces: 2\r\nPiece-Key: slower\r\n";
                    let got = harness.call("POST", "/review/1", &(fields(&request) + more), "x");
                    got.body.contains("\"overloaded\"").then_some(request)
                })
            })
            .collect();
        callers.into_iter().filter_map(|caller| caller.join().unwrap()).last()
    })
}
