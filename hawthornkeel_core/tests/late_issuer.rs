//! Call that waits for a cold target while its data centre has no issuer.

use std::sync::Arc;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::document::Pool;
use hawthornkeel_core::document::Workspace;
use hawthornkeel_core::lease::GrantMessage;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::lease::MemberId;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::StageRequest;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::routing::router::EntryInfo;
use hawthornkeel_core::time::Instant;

#[test]
fn waiting_call_requests_a_grant_from_a_late_issuer() {
    let own = EntryInfo { id: MemberId::default(), centre: "dc-0".into() };
    let mut router = Router::new(RouterSettings::default(), LeaseSettings::default(), own.clone());
    let pool = Pool { name: "readers".into(), ..Pool::default() };
    let workspace = Workspace { name: "makers".into(), ..Workspace::default() };
    let document =
        Document { pools: vec![pool], workspaces: vec![workspace], ..Document::default() };
    router.set_entries(Instant::from_millis(0), &[own]);
    router.apply_document(&document);
    let target = TargetInfo {
        name: "readers-0".into(),
        address: Arc::from("127.0.0.1:1"),
        pool: "readers".into(),
        centre: "dc-0".into(),
        ..TargetInfo::default()
    };
    router.update_targets(Instant::from_millis(0), &[target]);
    let request = StageRequest {
        workspace: "makers".into(),
        pool: "readers".into(),
        deadline: Instant::from_millis(8_000),
        ..StageRequest::default()
    };
    let decision = router.choose(Instant::from_millis(1), &request);
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    for millis in (10..5_000).step_by(10) {
        router.take_messages(Instant::from_millis(millis));
    }
    let issuer = MemberId { name: "entry-1".into(), boot: 1 };
    let announce = GrantMessage::Announce { centre: "dc-0".into(), issuer, term: 1 };
    router.handle_message(Instant::from_millis(5_000), &announce);
    let messages = router.take_messages(Instant::from_millis(5_010));
    let requested = messages.iter().any(|m| matches!(m.message, GrantMessage::Request { .. }));
    assert!(requested, "the waiting call requests a grant: {messages:?}");
}
