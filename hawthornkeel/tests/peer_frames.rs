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
use hawthornkeel_core::fleet::ProcessId;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::placement::limit::LimitReport;
use hawthornkeel_core::placement::limit::RequestRate;
use hawthornkeel_core::quarantine::evidence::Ending;
use hawthornkeel_core::quarantine::evidence::Evidence;
use hawthornkeel_core::quarantine::evidence::SoundRuns;
use hawthornkeel_core::quarantine::evidence::Subject;
use hawthornkeel_core::quarantine::record::SubjectRecord;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::command::CentreState;
use hawthornkeel_core::state::published::PublishedState;
use hawthornkeel_core::state::take_out::TakeOut;
use hawthornkeel_core::streams::origin::StreamBatch;
use hawthornkeel_core::streams::origin::StreamKey;
use hawthornkeel_core::streams::origin::StreamOrigin;
use hawthornkeel_core::streams::origin::Writer;
use hawthornkeel_fakes::document::large;
use support::peer;
use support::run;
use support::settings;
use support::socket;
use support::wait_until;
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Expected changes of the document per day.
const CHANGES_PER_DAY: f64 = 9_200.0;
/// Budget of an instance's control traffic, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 23_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

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
fn call_returns_response() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (a, b) = pair(&folder);
        let large = "x".repeat(3_000_000);
        let text = large.clone();
        b.on_call(FrameKind::Follow, move |from, frame| {
            assert_eq!(from.as_str(), "a");
            let Frame::Follow(follow) = frame else { panic!("not a follow") };
            let Follow::Newer { after, .. } = follow else { panic!("not a newer") };
            let response = followed(after.unwrap().0 + 1, &text);
            async move { response }
        });
        for after in 0..3 {
            let response = a.call(&InstanceName::new("b"), &follow(after), TIMEOUT).await.unwrap();
            assert_eq!(response, followed(after + 1, &large));
        }
        let refused = a.call(&InstanceName::new("b"), &Frame::Status, TIMEOUT).await;
        assert!(matches!(refused, Err(PeerError::Refused(Refusal::Unsupported))));
    });
}

#[test]
fn frames_keep_order() {
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
        wait_until("all frames", || seen.borrow().len() == 500).await;
        assert!(seen.borrow().iter().copied().eq(0..500));
    });
}

#[test]
fn queue_bounded() {
    let folder = TempDir::new().unwrap();
    run(async {
        let unserved = socket();
        let peers = vec![peer("b", unserved.local_addr().unwrap())];
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
        let unserved = socket();
        let peers = vec![peer("b", unserved.local_addr().unwrap())];
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
fn document_fits_traffic_budget() {
    let text = large(1_600);
    let frame = followed(1, &text);
    let encoded = wire::encode(&frame).unwrap();
    // The busiest instance transfers each change of the document seven times (bench `control`).
    let traffic = encoded.len() as f64 * 7.0 * CHANGES_PER_DAY / SECONDS_PER_DAY;
    assert!(
        traffic <= MAX_BYTES_PER_SECOND,
        "{traffic} bytes per second for a document of {} bytes",
        text.len()
    );
    let body = compression::compress(&postcard::to_allocvec(&frame).unwrap()).unwrap();
    assert_eq!(wire::decode(BodyEncoding::Deflate, &body).unwrap(), frame);
}

#[test]
fn decompressed_body_bounded() {
    let bomb = compression::compress(&vec![0; wire::MAX_BODY_BYTES + 1]).unwrap();
    assert!(bomb.len() < wire::MAX_BODY_BYTES / 100);
    assert!(matches!(wire::decode(BodyEncoding::Deflate, &bomb), Err(WireError::Decompress)));
    assert!(matches!(
        wire::decode(BodyEncoding::Deflate, b"no such data"),
        Err(WireError::Decompress)
    ));
}

/// Returns the size of a frame on the wire, in bytes.
fn encoded_size(frame: &Frame) -> usize {
    wire::encode(frame).unwrap().len()
}

// What one crash and one limit cost an instance, as docs/CAPACITY.md has it.
#[test]
fn target_evidence_is_small() {
    let part = |n: u64| SoundRuns {
        subject: Subject::Part(u64::MAX - n),
        thousandths: 20_000,
        age_ms: Some(60_000),
    };
    // Work that comes again has no sound runs.
    let work =
        |n: u64| SoundRuns { subject: Subject::Work(u64::MAX - n), thousandths: 0, age_ms: None };
    let ending = |n: u64| Ending {
        process: ProcessId(u64::MAX - n),
        request: u32::MAX - n as u32,
        begun: true,
        subjects: (0..3).map(part).chain((0..2).map(work)).collect(),
        age_ms: 20,
    };
    let evidence = |count: u64| {
        Frame::Evidence(Evidence {
            reporter: "10.1.0.30".into(),
            endings: (0..count).map(ending).collect(),
            sound: Vec::new(),
            all_thousandths: 500_000,
            relayed: false,
        })
    };
    let record = |n: u64| SubjectRecord {
        subject: Subject::Part(u64::MAX - n),
        suspected_ms: Some(600_000),
        rejected_ms: Some(600_000),
        sound_ms: Some(600_000),
        companions: vec![Subject::Part(n)],
        probed_ms: Some(600_000),
        probes: 3,
    };
    let limit = |n: u64| LimitReport {
        process: ProcessId(u64::MAX - n),
        rate: Some(RequestRate(1_800)),
        age_ms: 60_000,
    };
    let records = |count: u64| Frame::SubjectRecords((0..count).map(record).collect());
    let limits = |count: u64| Frame::Limits((0..count).map(limit).collect());
    // Few enough that the frame is not compressed.
    let each = |of: &dyn Fn(u64) -> Frame| (encoded_size(&of(21)) - encoded_size(&of(1))) / 20;
    let (ending, record, limit) = (each(&evidence), each(&records), each(&limits));
    println!("bytes an ending {ending}, a record {record}, a limit {limit}");
    assert!(ending <= 100 && record <= 48 && limit <= 20, "{ending} {record} {limit}");
}

// What the origin of a stream costs an entry that begins 140 a second and tells three holders, as
// docs/CAPACITY.md has it.
#[test]
fn stream_records_are_small() {
    let batch = |unproved: Option<Writer>| StreamBatch {
        origin: StreamOrigin { pool: "huvo11a".into(), version: "v1.12".into() },
        unproved,
        age_ms: 1_500,
        streams: vec![StreamKey(u64::MAX)],
    };
    let writer = Writer { place: u32::MAX, process: u32::MAX };
    let size = |batch: StreamBatch| encoded_size(&Frame::Streams(vec![batch]));
    let (proved, unproved) = (size(batch(None)), size(batch(Some(writer))));
    println!("bytes a proved record {proved}, an unproved one {unproved}");
    assert!(unproved <= 23_000 / (140 * 3), "{proved} {unproved}");
}
