//! Certificates and versions that are refused.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use hawthornkeel::peer::Endpoint;
use hawthornkeel::peer::Frame;
use hawthornkeel::peer::certificate;
use hawthornkeel::peer::certificate::IssuedFiles;
use hawthornkeel::peer::certificate::Validity;
use hawthornkeel::peer::credentials::Credentials;
use hawthornkeel::peer::frame::Followed;
use hawthornkeel::peer::frame::FrameKind;
use hawthornkeel::peer::frame::Refusal;
use hawthornkeel::peer::runtime::MonoioRuntime;
use hawthornkeel::peer::wire;
use hawthornkeel_core::names::InstanceName;
use rstest::rstest;
use support::peer;
use support::run;
use support::settings;
use support::settings_with;
use support::socket;
use support::until;
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Kind of caller.
enum Caller {
    Known,
    Stranger,
    OtherName,
    Expired,
    Early,
}

fn expired() -> Validity {
    let now = SystemTime::now();
    Validity { from: now - Duration::from_secs(7200), until: now - Duration::from_secs(3600) }
}

fn early() -> Validity {
    let now = SystemTime::now();
    Validity { from: now + Duration::from_secs(3600), until: now + Duration::from_secs(7200) }
}

/// Issues the certificate that `caller` uses as instance `a`.
fn issued(caller: &Caller, own: &TempDir, other: &TempDir) -> IssuedFiles {
    let name = InstanceName::new("a");
    match caller {
        Caller::Known => certificate::issue(own.path(), &name).unwrap(),
        Caller::OtherName => certificate::issue(own.path(), &InstanceName::new("c")).unwrap(),
        Caller::Expired => certificate::issue_with_validity(own.path(), &name, expired()).unwrap(),
        Caller::Early => certificate::issue_with_validity(own.path(), &name, early()).unwrap(),
        Caller::Stranger => {
            let stranger = certificate::issue(other.path(), &name).unwrap();
            // The stranger trusts the right authority; only its own certificate is another's.
            let authority = certificate::issue(own.path(), &name).unwrap().authority;
            IssuedFiles { authority, ..stranger }
        }
    }
}

fn serving(folder: &TempDir) -> (Endpoint, SocketAddr) {
    let at = socket();
    let address = at.local_addr().unwrap();
    let b = Endpoint::with_socket(at, &settings(folder.path(), "b", Vec::new())).unwrap();
    b.on_call(FrameKind::Status, |_, _| async { Frame::Followed(Followed::default()) });
    (b, address)
}

/// Log output that a test reads.
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(data)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn capture(log: &Arc<Mutex<Vec<u8>>>) -> tracing::subscriber::DefaultGuard {
    let log = log.clone();
    let writer = move || Sink(log.clone());
    let subscriber = tracing_subscriber::fmt().with_ansi(false).with_writer(writer).finish();
    tracing::subscriber::set_default(subscriber)
}

fn logged(log: &Mutex<Vec<u8>>, event: &str, reason: &str) -> bool {
    let text = String::from_utf8_lossy(&log.lock().unwrap()).into_owned();
    text.lines().any(|line| line.contains(event) && line.contains(reason))
}

#[rstest]
#[case::known(Caller::Known, None)]
#[case::stranger(Caller::Stranger, Some("invalid peer certificate: BadSignature"))]
#[case::other_name(Caller::OtherName, Some("certificate is not for a"))]
#[case::expired(Caller::Expired, Some("certificate expired"))]
#[case::early(Caller::Early, Some("not valid yet"))]
fn caller_checked(#[case] caller: Caller, #[case] refusal: Option<&str>) {
    let (own, other) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    let log = Arc::new(Mutex::new(Vec::new()));
    let _guard = capture(&log);
    run(async {
        let (_b, address) = serving(&own);
        let issued = issued(&caller, &own, &other);
        let settings = settings_with("a", issued, vec![peer("b", address)]);
        let a = Endpoint::with_socket(socket(), &settings).unwrap();
        let answer = a.call(&InstanceName::new("b"), &Frame::Status, TIMEOUT).await;
        match refusal {
            None => assert_eq!(answer.unwrap(), Frame::Followed(Followed::default())),
            Some(reason) => {
                let error = answer.unwrap_err();
                assert!(!error.may_have_run(), "{error}");
                assert!(error.to_string().contains(reason), "{error}");
                until("the refusal's log line", || logged(&log, "peer-refused", reason)).await;
            }
        }
    });
}

#[rstest]
#[case::other_name(false, "certificate not valid for name")]
#[case::stranger(true, "BadSignature")]
fn called_checked(#[case] stranger: bool, #[case] reason: &str) {
    let (own, other) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    run(async {
        let folder = if stranger { &other } else { &own };
        let at = socket();
        let peers = vec![peer(if stranger { "b" } else { "c" }, at.local_addr().unwrap())];
        let served = settings(folder.path(), "b", Vec::new());
        let _b = Endpoint::with_socket(at, &served).unwrap();
        let to = peers[0].name.clone();
        let a = Endpoint::with_socket(socket(), &settings(own.path(), "a", peers)).unwrap();
        let error = a.call(&to, &Frame::Status, TIMEOUT).await.unwrap_err();
        assert!(!error.may_have_run(), "{error}");
        assert!(error.to_string().contains(reason), "{error}");
    });
}

#[test]
fn version_refused() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (_b, address) = serving(&folder);
        let credentials =
            Credentials::load(&settings(folder.path(), "a", Vec::new()).peers).unwrap();
        let config = quinn::EndpointConfig::default();
        let runtime = Arc::new(MonoioRuntime::default());
        let endpoint = quinn::Endpoint::new(config, None, socket(), runtime).unwrap();
        let connecting = endpoint.connect_with(credentials.client, address, "b").unwrap();
        let connection = connecting.await.unwrap();
        let hello = wire::encode(&Frame::Hello("a".into())).unwrap();
        let mut stream = connection.open_uni().await.unwrap();
        stream.write_all(&hello).await.unwrap();
        let mut later = wire::encode(&Frame::Status).unwrap().to_vec();
        later[..2].copy_from_slice(&9_u16.to_le_bytes());

        let (mut send, mut receive) = connection.open_bi().await.unwrap();
        send.write_all(&later).await.unwrap();
        send.finish().unwrap();
        let answer = wire::read(&mut receive).await.unwrap();
        let refusal = Refusal::Version { found: 9, known: wire::VERSION };
        assert_eq!(answer, Frame::Refused(refusal));

        stream.write_all(&later).await.unwrap();
        let reason = connection.closed().await.to_string();
        assert!(reason.contains("unknown protocol version 9"), "{reason}");
    });
}
