//! End-to-end tests of forwarded routes, from the operators' document to the caller's response.

mod forward_site;

use crate::forward_site::Site;

/// Returns a document whose route without stages has the path prefix `prefix`.
fn document(version: u32, prefix: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, extra: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"a.example","path_prefix":"{prefix}","route_type":"{kind}",
            "timeout_ms":5000,"target_latency_ms":2000,"service":"ledger","max_attempts":2{extra}}}"#
        )
    };
    let staged = r#","stages":[{"service":"portal","after":[],"byte_count":1000}]"#;
    let routes = [
        route("lots", prefix, "idempotent", ""),
        route("sign", "/sign/", "non_idempotent", ""),
        route("events", "/events/", "streaming", r#","stream_resumption":true"#),
        route("review", "/review/", "idempotent", staged),
        route("open", "/open/", "idempotent", r#","public":true"#),
    ];
    let pieces = r#""pieces":{"slots":1,"queue":2,"batch":8,"call_overhead_ms":10.0,
        "item_time_ms":1.0,"headroom_mb":41.0,"handle_ttl_s":4.0,"link_bandwidth_mbps":10000}"#;
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"ledger"}},
        {{"name":"portal",{pieces}}}],"tenants":[{{"name":"makers","api_keys":["k1"]}}]}}"#,
        routes.join(",")
    )
}

const KEY: &str = "Authorization: Token k1\r\nRequest-Id: r1\r\n";

#[test]
fn request_passes() {
    let site = Site::start(71);
    assert_eq!(site.put(&document(3, "/lots/")), 200);
    site.call_until(200, "/lots/warm", KEY);
    let fields =
        format!("{KEY}Deadline-Milliseconds: 900\r\nTenant: other\r\nHold: 1\r\nX-Kept: yes\r\n");
    let got = site.call("POST", "/lots/a%20b?c=d&e", &fields, "the body");
    assert_eq!((got.status, got.body.ends_with(" /lots/a%20b")), (200, true), "{got:?}");
    assert!(got.head.contains("server-signature: s.1") && got.head.contains("request-id: r1"));
    let seen = site.got("POST /lots/a%20b?c=d&e").remove(0);
    let header = |name: &str| seen.headers.get(name).map(|v| v.to_str().unwrap());
    assert_eq!(&seen.body[..], b"the body");
    assert_eq!(
        (header("tenant"), header("expected-instance")),
        (Some("makers"), Some(seen.target))
    );
    assert_eq!((header("host"), header("x-kept")), (Some("a.example"), Some("yes")));
    assert_eq!((header("authorization"), header("hold"), header("connection")), (None, None, None));
    let left: u64 = header("deadline-milliseconds").unwrap().parse().unwrap();
    assert!((500..=900).contains(&left), "{left}");
}

#[test]
fn denied_and_unready() {
    let site = Site::start(72);
    // Without a document, even a missing route can't be denied.
    site.call_until(503, "/lots/1", KEY);
    assert_eq!(site.put(&document(3, "/lots/")), 200);
    site.call_until(200, "/lots/1", KEY);
    assert_eq!(site.call("GET", "/lots/1", "", "").status, 401);
    assert_eq!(site.call("GET", "/lots/1", "Authorization: Token k2\r\n", "").status, 401);
    assert_eq!(site.call("GET", "/other/1", KEY, "").status, 404);
    assert_eq!(site.call("GET", "/open/1", "", "").status, 200);
}

#[test]
fn highest_document() {
    let site = Site::start(73);
    assert_eq!(site.put(&document(5, "/lots/")), 200);
    site.call_until(200, "/lots/1", KEY);
    assert_eq!(site.put(&document(4, "/old/")), 200);
    assert_eq!(site.put(&document(5, "/same/")), 200);
    assert_eq!(site.put("{\"version\": 9"), 400);
    let read = site.read().unwrap();
    assert_eq!((read.status, read.body), (200, document(5, "/lots/")));
    assert_eq!(site.put(&document(8, "/new/")), 200);
    site.call_until(200, "/new/1", KEY);
    assert_eq!(site.call("GET", "/lots/1", KEY, "").status, 404);
}

#[test]
fn retries() {
    let site = Site::start(74);
    assert_eq!(site.put(&document(1, "/lots/")), 200);
    site.call_until(200, "/lots/1", KEY);
    for path in ["/lots/full", "/lots/broken"] {
        assert_eq!(site.call("GET", path, KEY, "").status, 200, "{path}");
        let targets: Vec<_> = site.got(&format!("GET {path}")).iter().map(|s| s.target).collect();
        assert_eq!(targets.len(), 2);
        assert_ne!(targets[0], targets[1]);
    }
}

#[test]
fn stages_run_first() {
    let site = Site::start(75);
    assert_eq!(site.put(&document(1, "/lots/")), 200);
    site.call_until(200, "/lots/1", KEY);
    let fields = format!("{KEY}Pieces: 2\r\nPiece-Key: 7c1e\r\n");
    let got = site.call("POST", "/review/1", &fields, "x");
    assert_eq!(got.status, 200, "{got:?}\n{}", site.logs());
    let run = site.got("POST /stage-run").remove(0);
    let run = String::from_utf8_lossy(&run.body).into_owned();
    assert!(
        run.contains(r#""identifier":"r1","stage":0,"piece":1"#) && run.contains(r#""key":"7c1e""#),
        "{run}"
    );
    let seen = site.got("POST /review/1").remove(0);
    assert_eq!(seen.headers.get("inputs").unwrap(), "10.0.0.1:1/aa,10.0.0.1:1/bb");
    let freed = site.wait_for("POST /stage-free");
    assert_eq!(&freed.body[..], br#"{"handles":["10.0.0.1:1/aa","10.0.0.1:1/bb"]}"#);
}

#[test]
fn stream_resumes() {
    let site = Site::start(76);
    assert_eq!(site.put(&document(1, "/lots/")), 200);
    site.call_until(200, "/lots/1", KEY);
    let got = site.call("GET", "/events/1", KEY, "");
    assert_eq!(got.status, 200);
    // Each event arrives complete and once, followed by the last chunk of the body.
    let events: String =
        got.body.split("\r\n").filter(|l| !l.chars().all(|c| c.is_ascii_hexdigit())).collect();
    assert_eq!(events, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert!(got.body.ends_with("0\r\n\r\n"), "{got:?}");
    let attempts = site.got("GET /events/1");
    assert_eq!(attempts[1].headers.get("last-event-id").unwrap(), "1");
    assert_ne!(attempts[0].target, attempts[1].target);
}
