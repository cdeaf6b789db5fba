//! Late, duplicate, misrouted and truncated responses never reach a caller.

use std::time::Duration;

use bytes::Bytes;
use hawthornkeel::target::call::Call;
use hawthornkeel::target::client::Client;
use hawthornkeel::target::client::ClientLimits;
use hawthornkeel::target::error::CallError;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_fakes::behaviour::Behaviour;
use hawthornkeel_fakes::behaviour::Fault;
use hawthornkeel_fakes::thread;
use hawthornkeel_fakes::thread::TargetThread;
use rstest::rstest;

fn call(number: u128) -> Call {
    Call {
        id: CallId { request: RequestId(number), ..CallId::default() },
        path: "/rank".to_owned(),
        body: Bytes::from(format!("\"ref-{number}\"")),
        progress_timeout: Duration::from_millis(200),
        timeout: Duration::from_secs(5),
        ..Call::default()
    }
}

fn refused(not_run: bool) -> CallError {
    let retry_after = Some(Duration::from_secs(1));
    CallError::Refused { status: 503, retry_after, not_run }
}

/// Makes a call and checks that a successful response is the one to this call.
async fn call_and_check(
    client: &Client,
    target: TargetThread,
    call: &Call,
) -> Result<(), CallError> {
    let response = client.call(target.address, call).await?;
    let number = call.id.request;
    assert_eq!(response.body, format!("{{\"input\":\"ref-{number}\",\"service\":\"/rank\"}}"));
    Ok(())
}

#[rstest]
#[case::late(Fault::Late, CallError::TimedOut)]
#[case::silent(Fault::NoResponse, CallError::TimedOut)]
#[case::stalled(Fault::Stall, CallError::TimedOut)]
#[case::crossed(Fault::WrongCall, CallError::WrongCall)]
#[case::truncated(Fault::Truncated, CallError::Truncated)]
#[case::closed(Fault::CloseBeforeRun, CallError::Reset("closed before the response".to_owned()))]
#[case::dropped(Fault::CloseAfterRun, CallError::Reset("closed before the response".to_owned()))]
#[case::garbage(Fault::Malformed, CallError::Malformed("head can't be parsed"))]
#[case::failed(Fault::ServerError, CallError::Status(500))]
#[case::refused(Fault::Refuse, refused(true))]
fn fault_fails_only_its_call(
    #[case] fault: Fault,
    #[case] expected: CallError,
    #[values(true, false)] idempotent: bool,
) {
    let faulty = Behaviour { fault, fault_calls: Some(1), late_ms: 400, ..Behaviour::default() };
    let target = TargetThread::start(faulty).unwrap();
    thread::block_on(async {
        let client = Client::new(ClientLimits::default());
        let first = Call { idempotent, ..call(1) };
        assert_eq!(call_and_check(&client, target, &first).await, Err(expected));
        for number in 2..60 {
            let next = Call { idempotent, ..call(number) };
            call_and_check(&client, target, &next).await.unwrap();
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .unwrap();
    let report = target.report().unwrap();
    let ran = u32::from(!matches!(fault, Fault::CloseBeforeRun | Fault::Refuse));
    assert_eq!(report.runs.len(), 58 + ran as usize);
    assert_eq!(report.running, 0);
}

#[rstest]
#[case::non_idempotent(false, CallError::Status(503))]
#[case::idempotent(true, refused(false))]
fn bare_refusal_may_have_run(#[case] idempotent: bool, #[case] expected: CallError) {
    let faulty = Behaviour { fault: Fault::RefuseAmbiguous, ..Behaviour::default() };
    let target = TargetThread::start(faulty).unwrap();
    thread::block_on(async {
        let client = Client::new(ClientLimits::default());
        let call = Call { idempotent, ..call(1) };
        let error = call_and_check(&client, target, &call).await.unwrap_err();
        assert_eq!(error, expected);
        assert!(!error.is_not_run());
    })
    .unwrap();
}

#[rstest]
fn duplicate_response_is_discarded(
    #[values(true, false)] echo_id: bool,
    #[values(Fault::Duplicate, Fault::LateDuplicate)] fault: Fault,
) {
    let faulty = Behaviour { fault, echo_id, late_ms: 10, ..Behaviour::default() };
    let target = TargetThread::start(faulty).unwrap();
    thread::block_on(async {
        let client = Client::new(ClientLimits::default());
        for number in 1..20 {
            call_and_check(&client, target, &call(number)).await.unwrap();
        }
    })
    .unwrap();
    // A call that receives a late duplicate response runs again on a fresh connection.
    let max_runs = if fault == Fault::LateDuplicate && echo_id { 37 } else { 19 };
    assert!((19..=max_runs).contains(&target.report().unwrap().runs.len()));
}

#[test]
fn responses_match_under_load() {
    let target = TargetThread::start(Behaviour { floor_ms: 2, ..Behaviour::default() }).unwrap();
    thread::block_on(async {
        let client = Client::new(ClientLimits::default());
        let mut tasks = Vec::new();
        for number in 1..400 {
            let client = client.clone();
            tasks.push(monoio::spawn(async move {
                let call = Call { progress_timeout: Duration::from_secs(5), ..call(number) };
                call_and_check(&client, target, &call).await
            }));
        }
        for task in tasks {
            task.await.unwrap();
        }
    })
    .unwrap();
    assert_eq!(target.report().unwrap().runs.len(), 399);
}

#[test]
fn unsent_call_is_not_run() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    thread::block_on(async {
        let client = Client::new(ClientLimits::default());
        let error = client.call(closed, &call(1)).await.unwrap_err();
        assert!(matches!(error, CallError::NotSent(_)), "{error}");
        assert!(error.is_not_run());
        let bad = Call { path: "/a b\r\nx: y".to_owned(), ..call(2) };
        let error = client.call(closed, &bad).await.unwrap_err();
        assert!(matches!(error, CallError::NotSent(_)), "{error}");
    })
    .unwrap();
}
