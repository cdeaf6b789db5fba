//! Calls from an instance to the control instances.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;

use crate::control::directory::ControlDirectory;
use crate::control::fan_out::call_all;
use crate::control::node::ControlNode;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::Leadership;
use crate::peer::frame::Proposed;

/// Time for one control instance to answer a proposal before another is tried.
const ATTEMPT: Duration = Duration::from_millis(700);
/// Time without a leader after which proposals are refused at once.
const LEADERLESS: Duration = Duration::from_millis(1_500);
/// Pause after no control instance knew a leader.
const PAUSE: Duration = Duration::from_millis(50);
/// Pause between looks for a leader while proposals are refused.
const PROBE_PAUSE: Duration = Duration::from_millis(200);

/// Why a proposal has no outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposeError {
    /// No control instance took the command: it is not in the log and never will be.
    NoQuorum,
    /// A control instance may have taken the command; its outcome is not known.
    Unknown,
}

impl ProposeError {
    /// Tells whether the command is certainly not in the log.
    pub fn not_proposed(&self) -> bool {
        match self {
            Self::NoQuorum => true,
            Self::Unknown => false,
        }
    }
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoQuorum => f.write_str("no quorum of control instances can be reached"),
            Self::Unknown => f.write_str("the outcome is not known"),
        }
    }
}

impl std::error::Error for ProposeError {}

/// Client of the control instances; clones share it.
#[derive(Clone)]
pub struct ControlClient {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    control: Option<ControlNode>,
    directory: ControlDirectory,
    leader: RefCell<Option<InstanceName>>,
    /// Since when no control instance was known to lead.
    leaderless: Cell<Option<Instant>>,
    /// Whether proposals are refused until a leader is found.
    refusing: Cell<bool>,
}

impl ControlClient {
    /// Creates a client; `control` is this instance's own role, if any.
    pub fn new(
        endpoint: &Endpoint,
        control: Option<ControlNode>,
        directory: ControlDirectory,
    ) -> Self {
        Self {
            inner: Rc::new(Inner {
                endpoint: endpoint.clone(),
                control,
                directory,
                leader: RefCell::default(),
                leaderless: Cell::default(),
                refusing: Cell::new(false),
            }),
        }
    }

    /// Tells whether proposals are refused at once, since no leader can be reached.
    pub fn is_refusing(&self) -> bool {
        self.inner.refusing.get()
    }

    /// Proposes `command` and waits for its outcome.
    ///
    /// The command may be proposed more than once, which the replicated state recognises.
    ///
    /// # Errors
    ///
    /// Fails where no outcome is known within `timeout`;
    /// [`ProposeError::not_proposed`] tells whether it may come about all the same.
    pub async fn propose(
        &self,
        command: Command,
        timeout: Duration,
    ) -> Result<Outcome, ProposeError> {
        if self.inner.refusing.get() {
            return Err(ProposeError::NoQuorum);
        }
        let deadline = Instant::now() + timeout;
        let frame = Frame::Propose(command);
        let mut search = Search::default();
        while let Some(remaining) = remaining(deadline) {
            if search.at >= self.inner.directory.instances().len() {
                if self.is_leaderless() {
                    break;
                }
                search.at = 0;
                monoio::time::sleep(PAUSE.min(remaining)).await;
                continue;
            }
            let Some(instance) = self.choose(&mut search) else { continue };
            let answer = self.attempt(&instance, &frame, ATTEMPT.min(remaining)).await;
            if let Some(outcome) = self.take_answer(&instance, answer, &mut search) {
                return Ok(outcome);
            }
        }
        if self.inner.leaderless.get().is_some_and(|since| since.elapsed() > LEADERLESS) {
            self.refuse_until_led();
        }
        match search.sent {
            true => Err(ProposeError::Unknown),
            false => Err(ProposeError::NoQuorum),
        }
    }

    /// Returns the instance to try next: the leader once, then the others in turn.
    fn choose(&self, search: &mut Search) -> Option<InstanceName> {
        let instances = self.inner.directory.instances();
        let leader = self.inner.leader.borrow().clone();
        if let Some(leader) = leader
            && instances.contains(&leader)
        {
            return Some(leader);
        }
        let instance = instances.get(search.at).cloned();
        search.at += 1;
        instance
    }

    async fn attempt(&self, to: &InstanceName, frame: &Frame, timeout: Duration) -> Answer {
        if let (Some(control), Frame::Propose(command)) = (&self.inner.control, frame)
            && to == self.inner.endpoint.name()
        {
            let proposal = control.propose(command.clone());
            return match monoio::time::timeout(timeout, proposal).await {
                Ok(proposed) => Answer::Proposed(proposed),
                Err(_) => Answer::Lost,
            };
        }
        match self.inner.endpoint.call(to, frame, timeout).await {
            Ok(Frame::Proposed(proposed)) => Answer::Proposed(proposed),
            Ok(_) => Answer::Unsent,
            Err(error) => {
                tracing::debug!(event = "propose-failed", peer = %to, %error);
                if error.may_have_run() { Answer::Lost } else { Answer::Unsent }
            }
        }
    }

    /// Takes in an answer; returns the outcome if it is one.
    fn take_answer(
        &self,
        from: &InstanceName,
        answer: Answer,
        search: &mut Search,
    ) -> Option<Outcome> {
        let hint = match answer {
            Answer::Proposed(Proposed::Outcome(outcome)) => {
                self.led_by(from);
                return Some(outcome);
            }
            Answer::Proposed(Proposed::NotProposed { leader }) => leader,
            Answer::Proposed(Proposed::Unknown) | Answer::Lost => {
                search.sent = true;
                None
            }
            Answer::Unsent => None,
        };
        // A hint is followed once a round; two instances may each think that the other leads.
        let hint = hint.filter(|l| l != from && search.hinted != Some(search.at));
        if hint.is_some() {
            search.hinted = Some(search.at);
        }
        *self.inner.leader.borrow_mut() = hint;
        None
    }

    fn led_by(&self, leader: &InstanceName) {
        self.inner.leaderless.set(None);
        *self.inner.leader.borrow_mut() = Some(leader.clone());
    }

    /// Tells whether no control instance has led for long, after a round in which none did.
    fn is_leaderless(&self) -> bool {
        let since = self.inner.leaderless.get().unwrap_or_else(Instant::now);
        self.inner.leaderless.set(Some(since));
        since.elapsed() > LEADERLESS
    }

    /// Refuses proposals at once until a control instance leads.
    fn refuse_until_led(&self) {
        if self.inner.refusing.replace(true) {
            return;
        }
        tracing::warn!(event = "quorum-lost");
        let client = self.clone();
        monoio::spawn(async move {
            loop {
                if let Some(leader) = client.find_leader().await {
                    client.led_by(&leader);
                    client.inner.refusing.set(false);
                    tracing::info!(event = "quorum-found", %leader);
                    return;
                }
                monoio::time::sleep(PROBE_PAUSE).await;
            }
        });
    }

    /// Returns the control instance that leads with its lease, if one can be reached.
    async fn find_leader(&self) -> Option<InstanceName> {
        let own = self.inner.endpoint.name();
        if self.inner.control.as_ref().is_some_and(|c| c.lead().is_leader) {
            return Some(own.clone());
        }
        let peers = self.inner.directory.peers();
        let leads = |f: &Frame| matches!(f, Frame::LeadReply(Leadership { is_leader: true, .. }));
        let answers = call_all(&self.inner.endpoint, &peers, &Frame::Lead, ATTEMPT, leads).await;
        answers.into_iter().find(|(_, f)| leads(f)).map(|(name, _)| name)
    }
}

/// Course of one proposal.
#[derive(Default)]
struct Search {
    /// Position of the next instance to try.
    at: usize,
    /// Position at which a hint was followed last.
    hinted: Option<usize>,
    /// Whether the command may be in the log.
    sent: bool,
}

enum Answer {
    Proposed(Proposed),
    /// Sent, without an answer.
    Lost,
    /// Not sent, or not taken.
    Unsent,
}

fn remaining(deadline: Instant) -> Option<Duration> {
    deadline.checked_duration_since(Instant::now()).filter(|d| !d.is_zero())
}
