//! Follows the published state, and serves it to the followers of this instance.
//!
//! After a start, an instance adopts a state that a leader confirms to include all acknowledged
//! changes, so that it never serves a lower version than before the restart. If no leader replies,
//! it adopts the newest state of any peer.
//!
//! A state is confirmed to include all changes acknowledged until a point in time only by a leader,
//! on request. An instance that hears heartbeats may lack committed entries for as long as its disk
//! hangs, so neither they nor a known leader confirm anything.

use std::time::Duration;
use std::time::Instant;

use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::state::published::PublishedState;

use crate::clock::boot_now;
use crate::clock::millis;
use crate::control::fan_out::call_all;
use crate::control::node::ControlNode;
use crate::control::sources::Source;
use crate::control::sources::control_peers;
use crate::control::sources::sources;
use crate::control::watch::Watch;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::Follow;
use crate::peer::frame::Followed;
use crate::peer::frame::FrameKind;
use crate::peer::frame::InstanceStatus;

/// Time after a start during which only the state of a leader is adopted.
const LEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a call that the peer answers without holding it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which a source holds a long poll without a newer state, in milliseconds.
const POLL_WAIT_MS: u32 = 700;
/// Maximum time for which this instance holds a long poll, in milliseconds.
const MAX_POLL_WAIT_MS: u32 = 5_000;
/// Age of a source's state above which the source counts as isolated.
///
/// Longer than four consecutive long polls.
const MAX_STATE_AGE: Duration = Duration::from_millis(3_500);
/// Time after which a preferred source is tried again.
const FAILBACK_INTERVAL: Duration = Duration::from_secs(15);
/// Delay before the leader is asked again for the initial state.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay before a retry after all sources failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Follows the published state for this instance; clones share the state.
#[derive(Clone)]
pub struct StateFollower {
    endpoint: Endpoint,
    control: Option<ControlNode>,
    watch: Watch,
    sources: Vec<Source>,
    controls: Vec<InstanceName>,
}

impl StateFollower {
    /// Starts to follow the state and to serve followers.
    ///
    /// `control` is the control role of this instance, if it has one.
    pub fn start(settings: &Settings, endpoint: &Endpoint, control: Option<ControlNode>) -> Self {
        let follower = Self {
            endpoint: endpoint.clone(),
            control,
            watch: Watch::default(),
            sources: sources(settings),
            controls: control_peers(settings),
        };
        follower.serve();
        monoio::spawn(follower.clone().run());
        follower
    }

    /// Returns the published state at this instance.
    pub fn watch(&self) -> &Watch {
        &self.watch
    }

    fn serve(&self) {
        let follower = self.clone();
        self.endpoint.on_call(FrameKind::Follow, move |_, frame| {
            let follower = follower.clone();
            async move {
                match frame {
                    Frame::Follow(Follow::Latest) => Frame::Followed(follower.latest().await),
                    Frame::Follow(Follow::Newer { after, wait_ms }) => {
                        let wait = Duration::from_millis(wait_ms.min(MAX_POLL_WAIT_MS).into());
                        Frame::Followed(follower.newer(after, wait).await)
                    }
                    other => other,
                }
            }
        });
        let follower = self.clone();
        self.endpoint.on_call(FrameKind::Status, move |_, _| {
            let status = follower.status();
            async move { Frame::StatusReply(status) }
        });
    }

    /// Returns the status of this instance.
    pub fn status(&self) -> InstanceStatus {
        let control = self.control.as_ref().map(ControlNode::status);
        InstanceStatus { control, ..self.watch.status(self.endpoint.name()) }
    }

    /// Returns a state that includes all acknowledged changes, if this instance leads.
    pub async fn linearizable_state(&self) -> Option<PublishedState> {
        let control = self.control.as_ref()?;
        control.read_barrier().await.then(|| control.published())
    }

    /// Replies with a state that includes all acknowledged changes, if this instance leads.
    async fn latest(&self) -> Followed {
        let Some(published) = self.linearizable_state().await else { return Followed::default() };
        let take_outs = self.watch.reply_after(None).take_outs;
        Followed { published: Some(published), take_outs, age_ms: Some(0) }
    }

    /// Replies with the state once it is newer than `after`, or without a state after `wait`.
    async fn newer(&self, after: Option<LogIndex>, wait: Duration) -> Followed {
        let deadline = monoio::time::Instant::now() + wait;
        loop {
            let seen = self.watch.changes().count();
            let followed = self.watch.reply_after(after);
            let changed = self.watch.changes().wait_after(seen);
            if followed.published.is_some()
                || monoio::time::timeout_at(deadline, changed).await.is_err()
            {
                self.confirm_as_leader();
                return self.watch.reply_after(after);
            }
        }
    }

    async fn run(self) {
        self.load_initial_state().await;
        if let Some(control) = self.control.clone() {
            monoio::spawn(self.clone().apply_own_log(control));
        }
        let mut position = 0;
        let mut switched_at = Instant::now();
        // Position of the source that replied last with a recent state.
        let mut followed = None;
        loop {
            let Some(source) = self.sources.get(position) else {
                position = 0;
                monoio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            // The first call isn't held, so that an isolated source is detected without delay.
            if self.poll(source, 0).await.is_fresh() {
                if followed.replace(position) != Some(position) {
                    self.log_source(source);
                }
                while self.poll(source, POLL_WAIT_MS).await.is_fresh() {
                    let failback = switched_at.elapsed() > FAILBACK_INTERVAL;
                    if position > 0 && (failback || self.known_leader().is_some()) {
                        break;
                    }
                }
                switched_at = Instant::now();
                position = if position > 0 { 0 } else { 1 };
            } else {
                position += 1;
            }
        }
    }

    /// Puts the state that the control role of this instance applies in force, without end.
    ///
    /// This confirms nothing: the log may lack committed entries.
    async fn apply_own_log(self, control: ControlNode) {
        loop {
            let seen = control.changes().count();
            self.watch.update(control.published());
            control.changes().wait_after(seen).await;
        }
    }

    /// Confirms the state of this instance if it leads; returns whether it does.
    fn confirm_as_leader(&self) -> bool {
        let Some(control) = &self.control else { return false };
        // A leader that was suspended steps down at a tick.
        control.tick();
        let now = boot_now();
        let is_current = control.is_current(now);
        if is_current {
            self.watch.update(control.published());
            self.watch.record_confirmation(now);
        }
        is_current
    }

    /// Logs that this instance follows another source than before.
    fn log_source(&self, source: &Source) {
        let state = self.watch.current().unwrap_or_default();
        let (index, version) = (state.index, state.version);
        let source = match source {
            Source::Own => "own",
            Source::Peer(name) => name.as_str(),
        };
        let age_ms = self.watch.age().map(millis);
        tracing::info!(event = "state-followed", source, %index, %version, age_ms);
    }

    /// Adopts an initial state: that of a leader, else the newest state of any peer.
    async fn load_initial_state(&self) {
        let start = Instant::now();
        let peers: Vec<_> = self.endpoint.peers().map(|p| p.name.clone()).collect();
        while self.watch.index().is_none() {
            match self.known_leader() {
                Some(leader) if leader == *self.endpoint.name() => {
                    let sent = boot_now();
                    self.watch.merge(self.latest().await, sent);
                }
                Some(leader) => {
                    self.merge_from_all(&[leader], &Frame::Follow(Follow::Latest)).await;
                }
                None => self.ask_for_leader().await,
            }
            if self.watch.index().is_none() && start.elapsed() > LEADER_TIMEOUT {
                let newest = Frame::Follow(Follow::Newer { after: None, wait_ms: 0 });
                self.merge_from_all(&peers, &newest).await;
                if let Some(control) = &self.control {
                    self.watch.update(control.published());
                }
            }
            if self.watch.index().is_none() {
                monoio::time::sleep(INITIAL_RETRY_DELAY).await;
            }
        }
    }

    /// Returns the leader that the control role of this instance knows.
    ///
    /// It may be none of the instances that the settings list.
    fn known_leader(&self) -> Option<InstanceName> {
        self.control.as_ref().and_then(|c| c.lead().leader)
    }

    /// Asks the listed control instances for the state of a leader, until this one knows a leader.
    ///
    /// Those that are down would hold it up until the timeout.
    async fn ask_for_leader(&self) {
        let learn_leader = async {
            while self.known_leader().is_none() {
                monoio::time::sleep(INITIAL_RETRY_DELAY).await;
            }
        };
        let latest = Frame::Follow(Follow::Latest);
        monoio::select! {
            () = self.merge_from_all(&self.controls, &latest) => {}
            () = learn_leader => {}
        }
    }

    async fn merge_from_all(&self, peers: &[InstanceName], frame: &Frame) {
        let latest = matches!(frame, Frame::Follow(Follow::Latest));
        let is_enough =
            |f: &Frame| latest && matches!(f, Frame::Followed(f) if f.published.is_some());
        let sent = boot_now();
        let replies = call_all(&self.endpoint, peers, frame, REPLY_TIMEOUT, is_enough).await;
        let mut replies: Vec<_> = replies
            .into_iter()
            .filter_map(|(_, frame)| match frame {
                Frame::Followed(followed) => Some(followed),
                _ => None,
            })
            .collect();
        // Merges the newest state first, so that no older one is put in force before it.
        replies.sort_by_key(|f| std::cmp::Reverse(f.published.as_ref().map(|p| p.index)));
        for followed in replies {
            self.watch.merge(followed, sent);
        }
    }

    async fn poll(&self, source: &Source, wait_ms: u32) -> Freshness {
        let age = match source {
            Source::Own => self.poll_control(wait_ms).await,
            Source::Peer(name) => self.poll_peer(name, wait_ms).await,
        };
        match age {
            Some(age) if age <= MAX_STATE_AGE => Freshness::Fresh,
            _ => Freshness::Stale,
        }
    }

    /// Polls a peer and merges its reply; returns the age that the peer's state had there.
    async fn poll_peer(&self, name: &InstanceName, wait_ms: u32) -> Option<Duration> {
        let follow = Follow::Newer { after: self.watch.index(), wait_ms };
        let timeout = REPLY_TIMEOUT + Duration::from_millis(wait_ms.into());
        let sent = boot_now();
        match self.endpoint.call(name, &Frame::Follow(follow), timeout).await {
            Ok(Frame::Followed(followed)) => {
                let age = followed.age_ms.map(Duration::from_millis);
                self.watch.merge(followed, sent);
                age
            }
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(event = "follow-failed", peer = %name, %error);
                None
            }
        }
    }

    /// Waits for a change of the own log, and has the state confirmed: by this instance if it leads,
    /// else by the leader that its control role knows.
    ///
    /// Returns the age of the state, or `None` if no leader confirms it.
    async fn poll_control(&self, wait_ms: u32) -> Option<Duration> {
        let control = self.control.as_ref()?;
        let changed = control.changes().wait_after(control.changes().count());
        let _ = monoio::time::timeout(Duration::from_millis(wait_ms.into()), changed).await;
        if self.confirm_as_leader() {
            return Some(Duration::ZERO);
        }
        let leader = self.known_leader().filter(|l| l != self.endpoint.name())?;
        self.poll_peer(&leader, 0).await
    }
}

/// Whether a source was recently in contact with a group that has a leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Freshness {
    Fresh,
    Stale,
}

impl Freshness {
    fn is_fresh(self) -> bool {
        self == Self::Fresh
    }
}
