//! Errors of reading the platform's list, as counted on the admin address.

mod forward_harness;
mod raw_target;

use std::time::Duration;

use hawthornkeel_fakes::thread::eventually;
use rstest::rstest;

use crate::forward_harness::Harness;
use crate::forward_harness::metrics::metrics;
use crate::raw_target::Pace;
use crate::raw_target::RawTarget;

/// Second byte of the loopback addresses of the harness.
const NET: u8 = 108;
const LIMIT: Duration = Duration::from_secs(20);

#[rstest]
#[case::bytes("HTTP/1.1 200 OK\r\n\r\n", Pace::Flood, "bytes", NET)]
#[case::time("HTTP/1.1 200 OK\r\n\r\n", Pace::Drip, "time", NET + 1)]
#[case::malformed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", Pace::Drip, "malformed", NET + 2)]
#[case::no_list("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", Pace::Drip, "malformed", NET + 5)]
#[case::status("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", Pace::Drip, "status", NET + 3)]
#[case::broken("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", Pace::Drip, "broken", NET + 4)]
fn counted_by_cause(
    #[case] prefix: &'static str,
    #[case] pace: Pace,
    #[case] cause: &str,
    #[case] net: u8,
) {
    let platform = RawTarget::start(prefix, "x", pace);
    let mut harness = Harness::start(net);
    let setting = "[platform]\naddress = ";
    harness.restart_with(0, setting, &format!("{setting}\"{}\" # ", platform.address));
    let line = format!("hawthornkeel_list_errors_total{{cause=\"{cause}\"}} ");
    let admin = harness.admin(0);
    let counted = eventually(LIMIT, || metrics(admin).contains(&line));
    assert!(counted, "{}\n{}", metrics(admin), harness.logs());
}
