//! Pages of the platform's list that can't be decoded completely: what they name counts, and what is
//! missing stays as it was known.

mod cut_target;
mod forward_harness;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornkeel::forward::http_client::HttpClient;
use hawthornkeel::forward::list_reader::ListError;
use hawthornkeel::forward::list_reader::ListLimits;
use hawthornkeel::forward::list_reader::ListReading;
use hawthornkeel::forward::list_reader::read_list;
use hawthornkeel::runtime;
use hawthornkeel_fakes::thread::eventually;
use rstest::rstest;

use crate::cut_target::Answer;
use crate::cut_target::CutTarget;
use crate::forward_harness::Harness;
use crate::forward_harness::metrics::metrics;
use crate::forward_harness::requests::fields;

const LIMIT: Duration = Duration::from_secs(20);
/// Second byte of the loopback addresses of the harness.
const NET: u8 = 215;
/// Number of requests that show which targets are in use.
const REQUESTS: usize = 30;

fn entry(name: &str, address: &str, state: &str) -> String {
    format!(
        r#"{{"identifier":"{name}","service":"ledger","address":"{address}","zone":"a",
        "version":"v1","slots":4,"state":"{state}","cold_remaining_ms":0}}"#
    )
}

fn answer(body: &str) -> Answer {
    let length = body.len();
    let bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes();
    Answer { bytes, close: None }
}

/// Reads a list of three pages, the second of which is `second`.
fn read(second: &'static str) -> Result<ListReading, ListError> {
    let platform = CutTarget::start(move |request, _| {
        let number = request.path.split("page_token=").nth(1).unwrap_or("1");
        let next = if number == "1" { "\"2\"" } else { "null" };
        let name = entry(&format!("i-{number}"), &format!("10.0.0.{number}:1"), "ready");
        answer(&match number {
            "2" => second.replace("ENTRY", &name),
            _ => format!(r#"{{"instances":[{name}],"next":{next}}}"#),
        })
    });
    runtime::block_on(async {
        read_list(&HttpClient::default(), platform.address, &ListLimits::default()).await
    })
    .unwrap()
}

#[rstest]
#[case::whole(r#"{"instances":[ENTRY],"next":"3"}"#, &["i-1", "i-2", "i-3"], true)]
#[case::odd_entry(r#"{"instances":[NaN,ENTRY],"next":"3"}"#, &["i-1", "i-2", "i-3"], true)]
#[case::no_entry(r#"{"instances":[NaN],"next":"3"}"#, &["i-1", "i-3"], false)]
#[case::cut(r#"{"instances":[ENTRY,{"identif"#, &["i-1", "i-2"], false)]
#[case::cut_token(r#"{"instances":[ENTRY],"next":"3"#, &["i-1", "i-2"], false)]
#[case::no_list("<html>", &["i-1"], false)]
fn lost_page_costs_no_other(
    #[case] second: &'static str,
    #[case] names: &[&str],
    #[case] is_complete: bool,
) {
    let reading = read(second).unwrap();
    let read: Vec<&str> = reading.list.targets.iter().map(|t| t.name.as_str()).collect();
    assert_eq!((&read[..], reading.is_complete), (names, is_complete));
}

/// Returns whether one target gets all of some requests.
fn serves_all(harness: &Harness, target: &str) -> bool {
    let before = harness.request_count(target);
    for number in 0..REQUESTS {
        let path = format!("/lots/{target}/{number}");
        assert_eq!(harness.call("GET", &path, &fields("r1"), "").status, 200, "{}", harness.logs());
    }
    harness.request_count(target) - before == REQUESTS
}

// A cut page hid that a target drains, and must not hide the targets behind its end.
#[rstest]
#[case::first_drains(["i-plain", "i-other"], NET)]
#[case::second_drains(["i-other", "i-plain"], NET + 1)]
fn cut_page_hides_no_drain(#[case] names: [&'static str; 2], #[case] net: u8) {
    let mut harness = Harness::start(net);
    let [plain, other, _] = harness.targets().map(|address| address.to_string());
    let addresses = if names[0] == "i-plain" { [plain, other] } else { [other, plain] };
    let is_cut = Arc::<AtomicBool>::default();
    let cut = Arc::clone(&is_cut);
    let platform = CutTarget::start(move |_, _| {
        let (state, end) = match cut.load(Ordering::SeqCst) {
            true => ("draining", "{\"identif".to_owned()),
            false => ("ready", entry(names[1], &addresses[1], "ready") + "],\"next\":null}"),
        };
        let first = entry(names[0], &addresses[0], state);
        answer(&format!("{{\"instances\":[{first},{end}"))
    });
    let setting = "[platform]\naddress = ";
    harness.restart_with(0, setting, &format!("{setting}\"{}\" # ", platform.address));
    harness.serve_routes();
    is_cut.store(true, Ordering::SeqCst);
    harness.wait_for_log("event=list-incomplete");
    assert!(eventually(LIMIT, || serves_all(&harness, names[1])), "{}", harness.logs());
    let admin = harness.admin(0);
    let is_shown = || {
        let page = metrics(admin);
        page.contains("hawthornkeel_list_errors_total{cause=\"incomplete\"}")
            && page.contains("hawthornkeel_list_age_seconds")
    };
    assert!(eventually(LIMIT, is_shown), "{}", metrics(admin));
}
