//! Follows the published state, and serves those that follow this instance.
//!
//! After a start, an instance takes the state that a leader confirms to hold everything acknowledged
//! so far, so that it never serves a version lower than one that it served before the start. Where
//! no leader answers, it takes the newest state that any peer has.

use std::time::Duration;
use std::time::Instant;

use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::state::published::PublishedState;

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

/// Time after a start during which only a leader's state is taken.
const LEADER_WAIT: Duration = Duration::from_secs(3);
/// Time for a peer to answer at once.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which a source holds a call while there is nothing newer, in milliseconds.
const HOLD_MS: u32 = 700;
/// Longest hold that this instance grants to a caller, in milliseconds.
const MAX_HOLD_MS: u32 = 5_000;
/// Age from which on a source counts as cut off: longer than four holds, one behind the other.
const MAX_AGE: Duration = Duration::from_millis(3_500);
/// Time after which a better source is tried again.
const RETURN_AFTER: Duration = Duration::from_secs(15);
/// Pause after all sources failed.
const PAUSE: Duration = Duration::from_millis(200);

/// Follows the published state on behalf of one instance.
#[derive(Clone)]
pub struct StateFollower {
    endpoint: Endpoint,
    control: Option<ControlNode>,
    watch: Watch,
    sources: Vec<Source>,
    controls: Vec<InstanceName>,
}

impl StateFollower {
    /// Starts to follow, and to serve followers; `control` is this instance's own role, if any.
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

    /// Returns the published state in force at this instance.
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
                        let wait = Duration::from_millis(wait_ms.min(MAX_HOLD_MS).into());
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

    /// Returns what is in force at this instance.
    pub fn status(&self) -> InstanceStatus {
        let control = self.control.as_ref().map(ControlNode::status);
        InstanceStatus { control, ..self.watch.status(self.endpoint.name()) }
    }

    /// Returns the state that holds everything acknowledged so far, if this instance leads.
    pub async fn linearizable_state(&self) -> Option<PublishedState> {
        let control = self.control.as_ref()?;
        control.read_barrier().await.then(|| control.published())
    }

    /// Answers with the state that holds everything acknowledged so far, if this instance leads.
    async fn latest(&self) -> Followed {
        let Some(published) = self.linearizable_state().await else { return Followed::default() };
        let holds = self.watch.reply_after(None).take_outs;
        Followed { published: Some(published), take_outs: holds, age_ms: Some(0) }
    }

    /// Returns the state in force here once it is newer than `after`, or nothing after `wait`.
    async fn newer(&self, after: Option<LogIndex>, wait: Duration) -> Followed {
        let deadline = monoio::time::Instant::now() + wait;
        loop {
            let seen = self.watch.changes().count();
            let followed = self.watch.reply_after(after);
            let changed = self.watch.changes().wait_after(seen);
            if followed.published.is_some()
                || monoio::time::timeout_at(deadline, changed).await.is_err()
            {
                return self.watch.reply_after(after);
            }
        }
    }

    async fn run(self) {
        self.find_first().await;
        let mut at = 0;
        let mut moved = Instant::now();
        loop {
            let Some(source) = self.sources.get(at) else {
                at = 0;
                monoio::time::sleep(PAUSE).await;
                continue;
            };
            // A source must show at once that it isn't cut off; only then may it hold the call.
            if self.ask(source, 0).await.is_fresh() {
                while self.ask(source, HOLD_MS).await.is_fresh() {
                    if at > 0 && moved.elapsed() > RETURN_AFTER {
                        break;
                    }
                }
                moved = Instant::now();
                at = if at > 0 { 0 } else { 1 };
            } else {
                at += 1;
            }
        }
    }

    /// Takes the first state: a leader's, or else the newest that any peer has.
    async fn find_first(&self) {
        let start = Instant::now();
        let peers: Vec<_> = self.endpoint.peers().map(|p| p.name.clone()).collect();
        while self.watch.index().is_none() {
            let latest = Frame::Follow(Follow::Latest);
            self.absorb_all(&self.controls, &latest).await;
            if self.control.is_some() {
                self.watch.merge(self.latest().await);
            }
            if self.watch.index().is_none() && start.elapsed() > LEADER_WAIT {
                let newest = Frame::Follow(Follow::Newer { after: None, wait_ms: 0 });
                self.absorb_all(&peers, &newest).await;
                if let Some(control) = &self.control {
                    self.watch.update(control.published());
                }
            }
            if self.watch.index().is_none() {
                monoio::time::sleep(PAUSE).await;
            }
        }
    }

    async fn absorb_all(&self, peers: &[InstanceName], frame: &Frame) {
        let latest = matches!(frame, Frame::Follow(Follow::Latest));
        let enough = |f: &Frame| latest && matches!(f, Frame::Followed(f) if f.published.is_some());
        let answers = call_all(&self.endpoint, peers, frame, ANSWER_TIMEOUT, enough).await;
        let mut answers: Vec<_> = answers
            .into_iter()
            .filter_map(|(_, frame)| match frame {
                Frame::Followed(followed) => Some(followed),
                _ => None,
            })
            .collect();
        // The newest goes first, so that none of the older ones comes into force in between.
        answers.sort_by_key(|f| std::cmp::Reverse(f.published.as_ref().map(|p| p.index)));
        for followed in answers {
            self.watch.merge(followed);
        }
    }

    async fn ask(&self, source: &Source, wait_ms: u32) -> Freshness {
        let after = self.watch.index();
        let followed = match source {
            Source::Own => self.own(after, wait_ms).await,
            Source::Peer(name) => self.ask_peer(name, Follow::Newer { after, wait_ms }).await,
        };
        let Some(followed) = followed else { return Freshness::CutOff };
        let age = followed.age_ms.map(Duration::from_millis);
        self.watch.merge(followed);
        match age {
            Some(age) if age <= MAX_AGE => Freshness::Fresh,
            _ => Freshness::CutOff,
        }
    }

    async fn ask_peer(&self, name: &InstanceName, follow: Follow) -> Option<Followed> {
        let held = match follow {
            Follow::Newer { wait_ms, .. } => Duration::from_millis(wait_ms.into()),
            Follow::Latest => Duration::ZERO,
        };
        let timeout = ANSWER_TIMEOUT + held;
        match self.endpoint.call(name, &Frame::Follow(follow), timeout).await {
            Ok(Frame::Followed(followed)) => Some(followed),
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(event = "follow-failed", peer = %name, %error);
                None
            }
        }
    }

    /// Answers like a peer, from the own control role.
    async fn own(&self, after: Option<LogIndex>, wait_ms: u32) -> Option<Followed> {
        let control = self.control.as_ref()?;
        let seen = control.changes().count();
        // After a freeze, what is known of a leader may be over.
        control.tick();
        let mut published = control.published();
        if after.is_some_and(|a| published.index <= a) {
            let wait = Duration::from_millis(wait_ms.into());
            let _ = monoio::time::timeout(wait, control.changes().wait_after(seen)).await;
            control.tick();
            published = control.published();
        }
        let lead = control.lead();
        let confirmed = match lead.leader {
            Some(leader) if leader == *self.endpoint.name() => lead.is_leader,
            Some(_) => true,
            None => false,
        };
        let age_ms = confirmed.then_some(0);
        Some(Followed { published: Some(published), take_outs: Vec::new(), age_ms })
    }
}

/// Whether a source is in touch with a group that has a leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Freshness {
    Fresh,
    CutOff,
}

impl Freshness {
    fn is_fresh(self) -> bool {
        self == Self::Fresh
    }
}
