//! Refusals: stable codes, whether the request ran, and the time to come back.

use std::time::Duration;

use hawthornkeel::http::message::Body;
use hawthornkeel::http::message::Response;
use hawthornkeel::http::problem::Code;
use hawthornkeel::http::problem::Problem;
use hawthornkeel_core::request::refusal::RunStatus;
use rstest::rstest;
use serde_json::Value;

fn parse(response: Response) -> Value {
    let Body::Full(body) = response.body else { panic!("a refusal is sent whole") };
    serde_json::from_slice(&body).unwrap()
}

#[rstest]
#[case::not_run(Code::Overloaded, RunStatus::NotRun, 503, "overloaded", "not-run")]
#[case::unknown(Code::OutcomeUnknown, RunStatus::Unknown, 502, "outcome-unknown", "unknown")]
#[case::done(Code::InProgress, RunStatus::Done, 409, "in-progress", "done")]
fn refusal_says_code_and_ran(
    #[case] code: Code,
    #[case] ran: RunStatus,
    #[case] status: u16,
    #[case] text: &str,
    #[case] said: &str,
) {
    let response = Problem::new(code, ran).with_detail("why").into_response();
    assert_eq!(response.status.as_u16(), status);
    assert_eq!(response.headers["content-type"], "application/problem+json");
    assert!(!response.headers.contains_key("retry-after"));
    let document = parse(response);
    assert_eq!(document["code"], text);
    assert_eq!(document["status"], status);
    assert_eq!(document["ran"], said);
    assert_eq!(document["detail"], "why");
    assert_eq!(document["type"], format!("urn:hawthornkeel:problem:{text}"));
}

#[rstest]
#[case(0, "1")]
#[case(999, "1")]
#[case(1000, "1")]
#[case(1001, "2")]
fn time_to_come_back_is_rounded_up(#[case] millis: u64, #[case] expected: &str) {
    let after = Duration::from_millis(millis);
    let response = Problem::not_run(Code::NoQuorum).with_retry_after(after).into_response();
    assert_eq!(response.headers["retry-after"], expected);
    assert_eq!(parse(response)["retry_after"].to_string(), expected);
}
