//! Streams and the software versions of the targets that write them.

mod forward_harness;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use rustix::process::Signal;

use crate::forward_harness::EntryClient;
use crate::forward_harness::Harness;
use crate::forward_harness::HttpResponse;
use crate::forward_harness::TARGETS;
use crate::forward_harness::requests::fields;
use crate::forward_harness::targets::FakeTargets;
use crate::forward_harness::writers::EVENTS;

/// Versions of the software of the two targets that write streams.
const VERSIONS: [&str; 2] = ["old", "new"];
/// Processes of the entries.
const ENTRIES: [usize; 2] = [1, 2];
/// Time within which a condition must hold.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a harness whose two targets have different software.
fn start(net: u8) -> Harness {
    let fakes = FakeTargets::default();
    for (at, version) in VERSIONS.into_iter().enumerate() {
        fakes.lock().unwrap()[at].writer.version = Some(version);
    }
    let harness = Harness::with_fakes(net, 1, fakes);
    harness.serve_routes();
    wait_for_entries(&harness);
    harness
}

/// Waits until both entries serve callers.
fn wait_for_entries(harness: &Harness) {
    let (client, until) = (harness.client(), Instant::now() + TEST_TIMEOUT);
    for entry in 0..2 {
        while client
            .try_call(entry, "GET", "/lots/warm", &fields("warm"))
            .is_none_or(|r| r.status != 200)
        {
            assert!(Instant::now() < until, "{}", harness.logs());
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Sets what the list and the streams of a target say from now on.
fn set_draining(harness: &Harness, version: &str) {
    let at = VERSIONS.iter().position(|v| *v == version).unwrap();
    harness.set_target(TARGETS[at], |target| target.writer.draining = true);
    let line = "event=list-changed targets=3 leaving=1";
    harness.wait_for_log(line);
}

/// Asks for a stream; one that is taken up goes on after the event `last` of the attempt `first`.
fn ask(
    client: &EntryClient,
    entry: usize,
    id: &str,
    taken_up: Option<(&str, u32)>,
) -> HttpResponse {
    let mut fields = fields(id);
    if let Some((first, last)) = taken_up {
        fields += &format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n");
    }
    client.try_call(entry, "GET", "/events/written/1", &fields).unwrap()
}

/// Returns the versions that wrote the events of a response.
fn versions(response: &HttpResponse) -> IndexSet<&str> {
    response.body.lines().filter_map(|l| l.strip_prefix("data: ")).collect()
}

/// Returns the number of the last event of a response.
fn last_event(response: &HttpResponse) -> u32 {
    let ids = response.body.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).max().unwrap_or(0)
}

/// Begins streams that are cut after their first events as both entries end at once, and starts the
/// entries anew; returns the identity, the version and the last event of each.
fn cut_streams(harness: &mut Harness, count: usize) -> Vec<(String, String, u32)> {
    let client = harness.client();
    let begun: Vec<_> = (0..count)
        .map(|n| {
            let client = harness.client();
            let id = format!("cut-{n}");
            thread::spawn(move || {
                let response = client.try_call(n % 2, "GET", "/events/written/1", &fields(&id));
                (id, response)
            })
        })
        .collect();
    drop(client);
    thread::sleep(Duration::from_millis(450));
    ENTRIES.iter().for_each(|entry| harness.kill(*entry));
    let cut = begun.into_iter().filter_map(|thread| {
        let (id, response) = thread.join().unwrap();
        let response = response?;
        let last = last_event(&response);
        let version = versions(&response).first().copied()?.to_owned();
        Some((id, version, last)).filter(|_| last < EVENTS)
    });
    let cut: Vec<_> = cut.collect();
    ENTRIES.iter().for_each(|entry| harness.spawn(*entry));
    wait_for_entries(harness);
    cut
}

// The system resumed a stream at a target with other software.
#[test]
fn broken_stream_keeps_its_software() {
    let harness = start(221);
    for target in &TARGETS[..2] {
        harness.set_target(target, |t| t.writer.breaks_after = Some(3));
    }
    let client = harness.client();
    for n in 0..8 {
        let response = ask(&client, n % 2, &format!("broken-{n}"), None);
        assert_eq!(versions(&response).len(), 1, "{response:?}\n{}", harness.logs());
    }
}

// Entries that had just started sent streams on to targets with other software.
#[test]
fn taken_up_stream_keeps_its_software() {
    let mut harness = start(222);
    let cut = cut_streams(&mut harness, 24);
    let begun: IndexSet<&str> = cut.iter().map(|(_, version, _)| version.as_str()).collect();
    assert_eq!(begun.len(), 2, "{cut:?}");
    let client = harness.client();
    let mut whole = 0;
    for (n, (id, version, last)) in cut.iter().enumerate() {
        let response = ask(&client, n % 2, &format!("on-{id}"), Some((id, *last)));
        let written = versions(&response);
        assert!(written.iter().all(|v| v == version), "{id} {version} {response:?}");
        whole += usize::from(response.status == 200 && last_event(&response) == EVENTS);
    }
    // Both versions still serve.
    assert!(whole * 10 >= cut.len() * 9, "{whole} of {}:\n{}", cut.len(), harness.logs());
}

// A stream whose software had left went on at the only target that was left.
#[test]
fn stream_of_departed_software_is_refused() {
    let mut harness = start(223);
    let cut = cut_streams(&mut harness, 24);
    set_draining(&harness, "old");
    let client = harness.client();
    thread::sleep(Duration::from_secs(1));
    let before = harness.requests("GET /events/").len();
    let old: Vec<_> = cut.iter().filter(|(_, version, _)| version == "old").collect();
    assert!(!old.is_empty(), "{cut:?}");
    for (id, _, last) in &old {
        let response = ask(&client, 0, &format!("on-{id}"), Some((id, *last)));
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.body.contains(r#""ran":"not-run""#), "{response:?}");
        assert!(response.body.contains("stream-software-gone"), "{response:?}");
    }
    assert_eq!(harness.requests("GET /events/").len(), before);
}

// A stream that nobody knows went on at any software.
#[test]
fn unknown_stream_is_refused() {
    let harness = start(224);
    let client = harness.client();
    for n in 0..4 {
        let response = ask(&client, n % 2, &format!("on-{n}"), Some(("never", 3)));
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.body.contains("stream-unknown"), "{response:?}");
    }
}

/// Starts a harness whose entries are new, and whose first target has started anew under its name with
/// other software, which the list does not show yet.
fn start_behind_list(net: u8) -> Harness {
    let fakes = FakeTargets::default();
    for fake in fakes.lock().unwrap().iter_mut() {
        fake.writer.version = Some("old");
        fake.born = Some(1);
    }
    let mut harness = Harness::with_fakes(net, 1, fakes);
    harness.serve_routes();
    harness.set_target(TARGETS[0], |target| {
        target.writer.version = Some("new");
        target.writer.listed = Some("old");
        target.writer.breaks_after = Some(3);
    });
    ENTRIES.iter().for_each(|entry| harness.kill(*entry));
    ENTRIES.iter().for_each(|entry| harness.spawn(*entry));
    wait_for_entries(&harness);
    harness
}

/// Begins streams beside each other, and lets the list show the software of the first target meanwhile.
fn begin_and_catch_up(harness: &Harness) -> Vec<(String, HttpResponse)> {
    let begin = |n: usize| {
        let (client, id) = (harness.client(), format!("behind-{n}"));
        thread::spawn(move || {
            let response = ask(&client, n % 2, &id, None);
            (id, response)
        })
    };
    let streams: Vec<_> = (0..12).map(begin).collect();
    thread::sleep(Duration::from_millis(500));
    harness.set_target(TARGETS[0], |target| {
        target.writer.listed = None;
        target.born = Some(2);
    });
    streams.into_iter().map(|s| s.join().unwrap()).collect()
}

// The list named the software from before a restart, and a stream of the new one went on at the old one.
#[test]
fn restart_behind_the_list_joins_nothing() {
    let harness = start_behind_list(225);
    let responses = begin_and_catch_up(&harness);
    let has_new = |(_, r): &(String, HttpResponse)| versions(r).contains("new");
    assert!(responses.iter().any(has_new), "{}", harness.logs());
    for (_, response) in &responses {
        assert_eq!(versions(response).len(), 1, "{response:?}\n{}", harness.settled_logs());
    }
}

// The same, for callers that take their streams up.
#[test]
fn take_up_behind_the_list_joins_nothing() {
    let harness = start_behind_list(226);
    harness.set_target(TARGETS[1], |target| target.writer.breaks_after = Some(3));
    let begun = begin_and_catch_up(&harness);
    for target in &TARGETS[..2] {
        harness.set_target(target, |t| t.writer.breaks_after = None);
    }
    let client = harness.client();
    let mut whole = 0;
    for (id, first) in &begun {
        let (version, last) = (versions(first), last_event(first));
        let second = ask(&client, 0, &format!("on-{id}"), Some((id, last)));
        let written = versions(&second);
        assert!(written.iter().all(|v| version.contains(v)), "{first:?} {second:?}");
        whole += usize::from(version.contains("old") && last_event(&second) == EVENTS);
    }
    let old = begun.iter().filter(|(_, r)| versions(r).contains("old")).count();
    assert!(old > 0 && old < begun.len(), "{begun:?}");
    assert!(whole * 10 >= old * 9, "{whole} of {old}:\n{}", harness.logs());
}

/// Begins streams that break, at targets with the same software that both report their starts; returns
/// the responses. The list names the starts if `listed` is set.
fn resumed_streams(net: u8, listed: bool) -> (Harness, Vec<HttpResponse>) {
    let fakes = FakeTargets::default();
    for fake in fakes.lock().unwrap().iter_mut() {
        fake.writer.breaks_after = Some(6);
        (fake.reported, fake.born) = (Some(7), listed.then_some(7));
    }
    let harness = Harness::with_fakes(net, 1, fakes);
    harness.serve_routes();
    wait_for_entries(&harness);
    let client = harness.client();
    let responses = (0..6).map(|n| ask(&client, n % 2, &format!("resumed-{n}"), None)).collect();
    (harness, responses)
}

// Where the list names no start of a process, what the process reports of it contradicted the list.
#[test]
fn streams_are_resumed_without_listed_starts() {
    let (harness, responses) = resumed_streams(227, false);
    let whole = responses.iter().filter(|r| last_event(r) == EVENTS).count();
    assert_eq!(whole, responses.len(), "{}", harness.logs());
}

#[test]
fn reported_start_proves_a_young_connection() {
    let (harness, responses) = resumed_streams(228, true);
    let whole = responses.iter().filter(|r| last_event(r) == EVENTS).count();
    assert_eq!(whole, responses.len(), "{}", harness.logs());
}

// An entry that had stood still took streams up at the software that it knew from before.
#[test]
fn suspended_entry_joins_nothing() {
    let fakes = FakeTargets::default();
    for fake in fakes.lock().unwrap().iter_mut() {
        fake.writer.version = Some("old");
        fake.born = Some(1);
    }
    let harness = Harness::with_fakes(230, 1, fakes);
    harness.serve_routes();
    wait_for_entries(&harness);
    harness.signal(ENTRIES[1], Signal::STOP);
    harness.set_target(TARGETS[0], |target| {
        target.writer.version = Some("new");
        target.writer.breaks_after = Some(3);
        target.born = Some(2);
    });
    // The list is read every 100 ms.
    thread::sleep(Duration::from_millis(1_000));
    let client = harness.client();
    let begin = |n: usize| (format!("begun-{n}"), ask(&client, 0, &format!("begun-{n}"), None));
    let mut begun: Vec<_> = (0..12).map(begin).collect();
    begun.retain(|(_, r)| versions(r).contains("new") && last_event(r) < EVENTS);
    assert!(!begun.is_empty(), "{}", harness.logs());
    harness.set_target(TARGETS[0], |target| target.writer.breaks_after = None);
    harness.signal(ENTRIES[1], Signal::CONT);
    for (id, first) in &begun {
        let taken_up = ask(&client, 1, &format!("on-{id}"), Some((id, last_event(first))));
        let written = versions(&taken_up);
        assert!(!written.contains("old"), "{first:?} {taken_up:?}\n{}", harness.settled_logs());
    }
}
