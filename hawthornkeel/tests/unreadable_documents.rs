//! Documents in force that an entry can't decode.

mod support;

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel::clock::boot_now;
use hawthornkeel::control::directory::ControlDirectory;
use hawthornkeel::forward::access;
use hawthornkeel::forward::context::Context;
use hawthornkeel::forward::stop::EntryStop;
use hawthornkeel::http::message::Head;
use hawthornkeel::http::message::Request;
use hawthornkeel::http::problem::Code;
use hawthornkeel::http::signal::Signal;
use hawthornkeel::peer::Endpoint;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::state::published::PublishedState;
use hawthornkeel_platform::document;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::header::AUTHORIZATION;
use http::header::HOST;
use support::run;
use tempfile::TempDir;

const DOCUMENT: &str = r#"{"version":1,
  "routes":[{"name":"lots","hostname":"a.example","path_prefix":"/lots/","route_type":"idempotent",
    "timeout_ms":5000,"service":"ledger","max_attempts":1},
    {"name":"open","hostname":"a.example","path_prefix":"/open/","route_type":"idempotent",
    "timeout_ms":5000,"service":"ledger","max_attempts":1,"public":true}],
  "services":[{"name":"ledger"}],
  "tenants":[{"name":"makers","api_keys":["k1"]}]}"#;

/// Returns the context of an entry with the document in force.
fn context(folder: &TempDir) -> Context {
    let settings = support::settings(folder.path(), "e1", Vec::new());
    let endpoint = Endpoint::with_socket(support::socket(), &settings).unwrap();
    let directory = ControlDirectory::new(&settings);
    let context = Context::new(settings, endpoint, directory, EntryStop::new(Signal::new()));
    let table = document::decode(DOCUMENT.as_bytes()).unwrap();
    context.table.replace(Some(Rc::new(table)));
    context
}

/// Has a version confirmed as the newest one.
fn confirm(context: &Context, version: u64) {
    context.watch.update(PublishedState {
        index: LogIndex(version),
        version: Version(version),
        ..PublishedState::default()
    });
    context.watch.record_confirmation(boot_now());
}

/// Returns the problem of a request with the key, if it isn't admitted.
fn admit(context: &Context, path: &str) -> Option<Code> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("a.example"));
    headers.insert(AUTHORIZATION, HeaderValue::from_static("Token k1"));
    let request = Request {
        head: Head { method: Method::GET, path: path.into(), query: String::new(), headers },
        body: Bytes::new(),
        peer: "127.0.0.1:1".parse().unwrap(),
        began: Instant::now(),
        disconnected: Signal::new(),
    };
    access::admit(context, request).err().map(|p| p.code)
}

// The confirmation of a document that the entry can't decode kept the keys of the one before alive.
#[test]
fn old_keys_expire() {
    let folder = TempDir::new().unwrap();
    run(async {
        let context = context(&folder);
        confirm(&context, 1);
        assert_eq!(admit(&context, "/lots/1"), None);
        confirm(&context, 2);
        assert_eq!(admit(&context, "/lots/1"), Some(Code::NotReady));
        assert_eq!(admit(&context, "/open/1"), None);
        // It may have the route or the key that the older one lacks.
        assert_eq!(admit(&context, "/missing/1"), Some(Code::NotReady));
    });
}
