//! Frames between two endpoints over real UDP.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel::peer::Endpoint;
use hawthornkeel::peer::Frame;
use hawthornkeel::peer::PeerError;
use hawthornkeel::peer::compression;
use hawthornkeel::peer::compression::BodyEncoding;
use hawthornkeel::peer::frame::Follow;
use hawthornkeel::peer::frame::Followed;
use hawthornkeel::peer::frame::FrameKind;
use hawthornkeel::peer::frame::Refusal;
use hawthornkeel::peer::wire;
use hawthornkeel::peer::wire::WireError;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::command::CentreState;
use hawthornkeel_core::state::published::PublishedState;
use hawthornkeel_core::state::take_out::TakeOut;
use hawthornkeel_fakes::document::large;
use support::peer;
use support::run;
use support::settings;
use support::socket;
use support::until;
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Changes of the document that are expected in a day.
const CHANGES_A_DAY: f64 = 9_200.0;
/// Bytes a second that an instance may spend on control.
const BYTES_A_SECOND: f64 = 23_000.0;
const SECONDS_A_DAY: f64 = 86_400.0;

/// Returns an endpoint `a` that knows `b`, and `b`.
fn pair(folder: &TempDir) -> (Endpoint, Endpoint) {
    let (at_a, at_b) = (socket(), socket());
    let peers = vec![peer("b", at_b.local_addr().unwrap())];
    let a = Endpoint::with_socket(at_a, &settings(folder.path(), "a", peers)).unwrap();
    let b = Endpoint::with_socket(at_b, &settings(folder.path(), "b", Vec::new())).unwrap();
    (a, b)
}

fn followed(index: u64, text: &str) -> Frame {
    let published =
        PublishedState { index: LogIndex(index), text: text.into(), ..PublishedState::default() };
    Frame::Followed(Followed { published: Some(published), ..Followed::default() })
}

fn follow(after: u64) -> Frame {
    Frame::Follow(Follow::Newer { after: Some(LogIndex(after)), wait_ms: 0 })
}

#[test]
fn call_answered() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (a, b) = pair(&folder);
        let large = "x".repeat(3_000_000);
        let text = large.clone();
        b.on_call(FrameKind::Follow, move |from, frame| {
            assert_eq!(from.as_str(), "a");
            let Frame::Follow(follow) = frame else { panic!("not a follow") };
            let Follow::Newer { after, .. } = follow else { panic!("not a newer") };
            let answer = followed(after.unwrap().0 + 1, &text);
            async move { answer }
        });
        for after in 0..3 {
            let answer = a.call(&InstanceName::new("b"), &follow(after), TIMEOUT).await.unwrap();
            assert_eq!(answer, followed(after + 1, &large));
        }
        let refused = a.call(&InstanceName::new("b"), &Frame::Status, TIMEOUT).await;
        assert!(matches!(refused, Err(PeerError::Refused(Refusal::Unsupported))));
    });
}

#[test]
fn sends_ordered() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (a, b) = pair(&folder);
        let seen = Rc::new(RefCell::new(Vec::new()));
        let sink = seen.clone();
        b.on_frame(FrameKind::TakeOuts, move |_, frame| {
            let Frame::TakeOuts(orders) = frame else { panic!("not take-outs") };
            sink.borrow_mut().extend(orders.into_iter().map(|o| o.order.operation.0));
        });
        for number in 0..500 {
            let order = CentreOrder {
                operator: "ops".into(),
                operation: hawthornkeel_core::ids::OperationNumber(number),
                centre: "east".into(),
                state: CentreState::TakenOut,
            };
            a.send(
                &InstanceName::new("b"),
                &Frame::TakeOuts(vec![TakeOut { order, log_index: None }]),
            )
            .unwrap();
        }
        until("all frames", || seen.borrow().len() == 500).await;
        assert!(seen.borrow().iter().copied().eq(0..500));
    });
}

#[test]
fn queue_bounded() {
    let folder = TempDir::new().unwrap();
    run(async {
        let gone = socket();
        let peers = vec![peer("b", gone.local_addr().unwrap())];
        let a = Endpoint::with_socket(socket(), &settings(folder.path(), "a", peers)).unwrap();
        for _ in 0..10_000 {
            a.send(&InstanceName::new("b"), &Frame::Status).unwrap();
        }
        assert!(a.dropped_frames() > 0);
    });
}

#[test]
fn call_unreachable() {
    let folder = TempDir::new().unwrap();
    run(async {
        let gone = socket();
        let peers = vec![peer("b", gone.local_addr().unwrap())];
        let a = Endpoint::with_socket(socket(), &settings(folder.path(), "a", peers)).unwrap();
        let error = a.call(&InstanceName::new("b"), &follow(0), Duration::from_millis(200)).await;
        assert!(!error.unwrap_err().may_have_run());
        let error = a.call(&InstanceName::new("c"), &follow(0), TIMEOUT).await;
        assert!(matches!(error, Err(PeerError::UnknownPeer(_))));
    });
}

#[test]
fn frame_bounded() {
    let long = followed(1, &"x".repeat(wire::MAX_BODY_BYTES));
    let error = wire::encode(&long).unwrap_err();
    assert!(matches!(error, WireError::TooLong(_)));
}

#[test]
fn document_keeps_the_budget() {
    let text = large(1_600);
    let frame = followed(1, &text);
    let encoded = wire::encode(&frame).unwrap();
    // The busiest instance moves a document seven times a change (bench `control`).
    let moved = encoded.len() as f64 * 7.0 * CHANGES_A_DAY / SECONDS_A_DAY;
    assert!(moved <= BYTES_A_SECOND, "{moved} bytes a second for {} bytes", text.len());
    let body = compression::compress(&postcard::to_allocvec(&frame).unwrap()).unwrap();
    assert_eq!(wire::decode(BodyEncoding::Deflate, &body).unwrap(), frame);
}

#[test]
fn unpacked_body_bounded() {
    let bomb = compression::compress(&vec![0; wire::MAX_BODY_BYTES + 1]).unwrap();
    assert!(bomb.len() < wire::MAX_BODY_BYTES / 100);
    assert!(matches!(wire::decode(BodyEncoding::Deflate, &bomb), Err(WireError::Decompress)));
    assert!(matches!(
        wire::decode(BodyEncoding::Deflate, b"no such data"),
        Err(WireError::Decompress)
    ));
}
