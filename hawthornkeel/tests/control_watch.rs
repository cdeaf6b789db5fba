//! Updates of the published state at one instance.

use std::time::Duration;

use hawthornkeel::clock::boot_now;
use hawthornkeel::control::watch::Watch;
use hawthornkeel::peer::frame::Followed;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::state::published::PublishedState;
use rstest::rstest;

fn published(index: u64) -> PublishedState {
    PublishedState { index: LogIndex(index), version: Version(index), ..PublishedState::default() }
}

#[rstest]
#[case::lower(4, false)]
#[case::same(5, false)]
#[case::higher(6, true)]
fn only_newer_is_applied(#[case] index: u64, #[case] applied: bool) {
    let watch = Watch::default();
    assert!(watch.update(published(5)));
    let seen = watch.changes().count();
    let reply = Followed { published: Some(published(index)), ..Followed::default() };
    watch.merge(reply, boot_now());
    assert_eq!(watch.index(), Some(LogIndex(5.max(index))));
    assert_eq!(watch.changes().count() != seen, applied);
}

#[test]
fn initial_state_may_be_empty() {
    let watch = Watch::default();
    assert!(watch.current().is_none());
    assert!(watch.update(published(0)));
    assert_eq!(watch.index(), Some(LogIndex(0)));
}

#[test]
fn followers_get_newer_only() {
    let watch = Watch::default();
    assert!(watch.reply_after(None).published.is_none());
    watch.update(published(5));
    assert_eq!(watch.reply_after(None).published, Some(published(5)));
    assert_eq!(watch.reply_after(Some(LogIndex(4))).published, Some(published(5)));
    assert_eq!(watch.reply_after(Some(LogIndex(5))).published, None);
}

#[test]
fn older_confirmation_is_ignored() {
    let watch = Watch::default();
    assert_eq!(watch.age(), None);
    watch.record_confirmation(boot_now().before(Duration::from_millis(100)));
    let age = watch.age().unwrap();
    assert!(age >= Duration::from_millis(100));
    // An older confirmation that arrives later is ignored.
    watch.record_confirmation(boot_now().before(Duration::from_secs(1)));
    assert!(watch.age().unwrap() < Duration::from_secs(1));
}

// A reply that was read late counted as confirmed when it was read.
#[test]
fn late_reply_is_old() {
    let watch = Watch::default();
    let reply = Followed { age_ms: Some(100), ..Followed::default() };
    let sent = boot_now().before(Duration::from_secs(3));
    watch.merge(reply, sent);
    assert!(watch.age().unwrap() >= Duration::from_millis(3_100));
}
