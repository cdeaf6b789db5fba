//! Client for proposing commands to the control instances.

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

/// Timeout of a proposal to one control instance, after which the next one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without a leader after which proposals fail fast.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before the next round when no control instance knew a leader.
const ROUND_DELAY: Duration = Duration::from_millis(50);
/// Interval of probes for a leader while proposals fail fast.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Why a proposal has no outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProposeError {
    /// No control instance accepted the command: it is not in the log and never will be.
    NoQuorum,
    /// A control instance may have accepted the command; its outcome is unknown.
    Unknown,
}

impl ProposeError {
    /// Returns whether the command is certain not to enter the log.
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

/// Client of the control instances; clones share the state.
#[derive(Clone)]
pub struct ControlClient {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    control: Option<ControlNode>,
    directory: ControlDirectory,
    leader: RefCell<Option<InstanceName>>,
    /// Time since which no control instance was known to lead.
    leaderless_since: Cell<Option<Instant>>,
    /// Whether proposals fail fast until a leader is found.
    failing_fast: Cell<bool>,
}

impl ControlClient {
    /// Creates a client; `control` is the control role of this instance, if it has one.
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
                leaderless_since: Cell::default(),
                failing_fast: Cell::new(false),
            }),
        }
    }

    /// Returns whether proposals fail fast because no leader is reachable.
    pub fn is_refusing(&self) -> bool {
        self.inner.failing_fast.get()
    }

    /// Proposes `command` and waits for its outcome.
    ///
    /// The command may be proposed more than once: commands are idempotent in the replicated state.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is not known within `timeout`.
    /// [`ProposeError::not_proposed`] tells whether the command may still be committed.
    pub async fn propose(
        &self,
        command: Command,
        timeout: Duration,
    ) -> Result<Outcome, ProposeError> {
        if self.inner.failing_fast.get() {
            return Err(ProposeError::NoQuorum);
        }
        let deadline = Instant::now() + timeout;
        let frame = Frame::Propose(command);
        let mut search = Search::default();
        while let Some(remaining) = remaining(deadline) {
            if search.next >= self.inner.directory.instances().len() {
                if self.check_leaderless() {
                    break;
                }
                search.next = 0;
                monoio::time::sleep(ROUND_DELAY.min(remaining)).await;
                continue;
            }
            let Some(instance) = self.next_instance(&mut search) else { continue };
            let reply = self.attempt(&instance, &frame, ATTEMPT_TIMEOUT.min(remaining)).await;
            if let Some(outcome) = self.handle_reply(&instance, reply, &mut search) {
                return Ok(outcome);
            }
        }
        if self
            .inner
            .leaderless_since
            .get()
            .is_some_and(|since| since.elapsed() > LEADERLESS_TIMEOUT)
        {
            self.fail_fast();
        }
        match search.maybe_proposed {
            true => Err(ProposeError::Unknown),
            false => Err(ProposeError::NoQuorum),
        }
    }

    /// Returns the next instance to try: the known leader, else the next one in order.
    fn next_instance(&self, search: &mut Search) -> Option<InstanceName> {
        let instances = self.inner.directory.instances();
        let leader = self.inner.leader.borrow().clone();
        if let Some(leader) = leader
            && instances.contains(&leader)
        {
            return Some(leader);
        }
        let instance = instances.get(search.next).cloned();
        search.next += 1;
        instance
    }

    async fn attempt(&self, to: &InstanceName, frame: &Frame, timeout: Duration) -> Reply {
        if let (Some(control), Frame::Propose(command)) = (&self.inner.control, frame)
            && to == self.inner.endpoint.name()
        {
            let proposal = control.propose(command.clone());
            return match monoio::time::timeout(timeout, proposal).await {
                Ok(proposed) => Reply::Proposed(proposed),
                Err(_) => Reply::Missing,
            };
        }
        match self.inner.endpoint.call(to, frame, timeout).await {
            Ok(Frame::Proposed(proposed)) => Reply::Proposed(proposed),
            Ok(_) => Reply::Unsent,
            Err(error) => {
                tracing::debug!(event = "propose-failed", peer = %to, %error);
                if error.may_have_run() { Reply::Missing } else { Reply::Unsent }
            }
        }
    }

    /// Handles a reply, and returns the outcome if the reply has one.
    fn handle_reply(
        &self,
        from: &InstanceName,
        reply: Reply,
        search: &mut Search,
    ) -> Option<Outcome> {
        let hint = match reply {
            Reply::Proposed(Proposed::Outcome(outcome)) => {
                self.set_leader(from);
                return Some(outcome);
            }
            Reply::Proposed(Proposed::NotProposed { leader }) => leader,
            Reply::Proposed(Proposed::Unknown) | Reply::Missing => {
                search.maybe_proposed = true;
                None
            }
            Reply::Unsent => None,
        };
        // A leader hint is followed once per position: two instances may each name the other.
        let hint = hint.filter(|l| l != from && search.hint_position != Some(search.next));
        if hint.is_some() {
            search.hint_position = Some(search.next);
        }
        *self.inner.leader.borrow_mut() = hint;
        None
    }

    fn set_leader(&self, leader: &InstanceName) {
        self.inner.leaderless_since.set(None);
        *self.inner.leader.borrow_mut() = Some(leader.clone());
    }

    /// Records a round without a leader, and returns whether the timeout has passed.
    fn check_leaderless(&self) -> bool {
        let since = self.inner.leaderless_since.get().unwrap_or_else(Instant::now);
        self.inner.leaderless_since.set(Some(since));
        since.elapsed() > LEADERLESS_TIMEOUT
    }

    /// Lets proposals fail fast until a control instance leads.
    fn fail_fast(&self) {
        if self.inner.failing_fast.replace(true) {
            return;
        }
        tracing::warn!(event = "quorum-lost");
        let client = self.clone();
        monoio::spawn(async move {
            loop {
                if let Some(leader) = client.find_leader().await {
                    client.set_leader(&leader);
                    client.inner.failing_fast.set(false);
                    tracing::info!(event = "quorum-found", %leader);
                    return;
                }
                monoio::time::sleep(PROBE_INTERVAL).await;
            }
        });
    }

    /// Returns the control instance that holds the leader lease, if it is reachable.
    async fn find_leader(&self) -> Option<InstanceName> {
        let own = self.inner.endpoint.name();
        if self.inner.control.as_ref().is_some_and(|c| c.lead().is_leader) {
            return Some(own.clone());
        }
        let peers = self.inner.directory.peers();
        let is_leader =
            |f: &Frame| matches!(f, Frame::LeadReply(Leadership { is_leader: true, .. }));
        let replies =
            call_all(&self.inner.endpoint, &peers, &Frame::Lead, ATTEMPT_TIMEOUT, is_leader).await;
        replies.into_iter().find(|(_, f)| is_leader(f)).map(|(name, _)| name)
    }
}

/// Progress of one proposal through the control instances.
#[derive(Default)]
struct Search {
    /// Position of the next instance to try.
    next: usize,
    /// Position at which a leader hint was last followed.
    hint_position: Option<usize>,
    /// Whether the command may be in the log.
    maybe_proposed: bool,
}

enum Reply {
    Proposed(Proposed),
    /// Sent, but no reply arrived in time.
    Missing,
    /// Not sent, or not accepted.
    Unsent,
}

fn remaining(deadline: Instant) -> Option<Duration> {
    deadline.checked_duration_since(Instant::now()).filter(|d| !d.is_zero())
}
