//! Access control: routes, keys, and documents that may be outdated.

use std::sync::Arc;
use std::time::Duration;

use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::RouteName;
use hawthornkeel_core::names::WorkspaceName;
use hawthornkeel_core::table::KeyOwner;
use hawthornkeel_core::table::Limits;
use hawthornkeel_core::table::RouteTable;
use hawthornkeel_core::table::access::AccessRequest;
use hawthornkeel_core::table::access::Denied;
use hawthornkeel_core::table::access::Freshness;
use hawthornkeel_core::table::access::authorize;
use hawthornkeel_core::table::route::PoolWeight;
use hawthornkeel_core::table::route::Route;
use hawthornkeel_core::table::route::RouteKind;
use rstest::rstest;

fn route(name: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: RouteName::new(name),
        host: Arc::from("a.example"),
        prefix: Arc::from(prefix),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        event_patience: Duration::from_secs(2),
        priority: 2,
        pools: vec![PoolWeight { pool: PoolName::new("pool"), weight: 1 }],
        max_attempts: 2,
        stages: Vec::new(),
        public,
        session_affinity: false,
    }
}

fn table() -> RouteTable {
    let mut table = RouteTable::new(Version(1), Limits::default());
    assert!(table.add(route("short", "/lots/", false)).is_none());
    assert!(table.add(route("long", "/lots/open/", false)).is_none());
    assert!(table.add(route("public", "/status/", true)).is_none());
    table.requires_key = true;
    let owner = KeyOwner { workspace: WorkspaceName::new("makers"), priority: 1 };
    table.keys.insert(Arc::from("key"), owner);
    table
}

fn freshness(age_ms: u64) -> Freshness {
    Freshness {
        age: Duration::from_millis(age_ms),
        max_key_age: Duration::from_millis(3_000),
        max_denial_age: Duration::from_millis(1_500),
    }
}

fn request<'a>(path: &'a str, key: Option<&'a str>) -> AccessRequest<'a> {
    AccessRequest { host: "a.example", path, key }
}

#[rstest]
#[case::short("/lots/closed/1", "short")]
#[case::long("/lots/open/1", "long")]
#[case::exact("/lots/open/", "long")]
fn longest_prefix(#[case] path: &str, #[case] name: &str) {
    let admitted = authorize(&table(), &request(path, Some("key")), freshness(0)).unwrap();
    assert_eq!(admitted.route.name.as_str(), name);
    assert_eq!(admitted.workspace, Some(WorkspaceName::new("makers")));
    // The workspace's priority comes before the route's.
    assert_eq!(admitted.priority, 18);
}

#[rstest]
#[case::no_route("/lot/", Some("key"), 0, Denied::NoRoute)]
#[case::no_key("/lots/", None, 0, Denied::NoKey)]
#[case::unknown_key("/lots/", Some("other"), 0, Denied::NoKey)]
#[case::maybe_new_route("/lot/", Some("key"), 1_600, Denied::Unsure)]
#[case::maybe_new_key("/lots/", Some("other"), 1_600, Denied::Unsure)]
#[case::maybe_revoked("/lots/", Some("key"), 3_001, Denied::Unsure)]
fn is_denied(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] age_ms: u64,
    #[case] denied: Denied,
) {
    assert_eq!(authorize(&table(), &request(path, key), freshness(age_ms)), Err(denied));
}

#[test]
fn public_route_without_control() {
    let admitted = authorize(&table(), &request("/status/", None), freshness(60_000)).unwrap();
    assert_eq!((admitted.route.name.as_str(), admitted.workspace), ("public", None));
}

#[test]
fn duplicate_prefix() {
    let other = table().add(route("twin", "/lots/", false)).unwrap();
    assert_eq!(other.name.as_str(), "short");
}
