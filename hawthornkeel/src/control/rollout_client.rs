//! Client for operators' calls about rollouts, which only the leader of the control instances serves.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::InstanceName;

use crate::control::client::ProposeError;
use crate::control::directory::ControlDirectory;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::rollout_frame::OperatorCall;
use crate::peer::rollout_frame::OperatorReply;
use crate::peer::rollout_frame::RolloutFrame;

/// Timeout of a call to one control instance, after which the next one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before the next round when no control instance served the call.
const ROUND_DELAY: Duration = Duration::from_millis(30);

/// Future of the frame that answers a call.
pub type FrameFuture = Pin<Box<dyn Future<Output = RolloutFrame>>>;
/// Handler of calls at this instance, for those that need no connection.
pub type LocalHandler = Rc<dyn Fn(OperatorCall) -> FrameFuture>;

/// Client of the leader; clones share the state.
#[derive(Clone)]
pub struct RolloutClient {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    directory: ControlDirectory,
    local: LocalHandler,
    leader: RefCell<Option<InstanceName>>,
}

enum Reply {
    Served(OperatorReply),
    /// Not served, nor will it be; the instance may know the leader.
    NotServed(Option<InstanceName>),
    /// No reply arrived in time.
    Missing,
}

impl RolloutClient {
    /// Creates the client of a control instance that serves its own calls by `local`.
    pub fn new(endpoint: &Endpoint, directory: ControlDirectory, local: LocalHandler) -> Self {
        let (endpoint, leader) = (endpoint.clone(), RefCell::default());
        Self { inner: Rc::new(Inner { endpoint, directory, local, leader }) }
    }

    /// Has the leader serve `call`, which may reach it more than once.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader has served it within `timeout`.
    /// [`ProposeError::not_proposed`] tells whether it may be served still.
    pub async fn call(
        &self,
        call: &OperatorCall,
        timeout: Duration,
    ) -> Result<OperatorReply, ProposeError> {
        let deadline = Instant::now() + timeout;
        let mut maybe_proposed = false;
        // Instances that are still to be tried in this round.
        let mut untried = self.inner.directory.instances();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(match maybe_proposed {
                    true => ProposeError::Unknown,
                    false => ProposeError::NoQuorum,
                });
            }
            let Some(instance) = self.next_instance(&mut untried) else {
                monoio::time::sleep(ROUND_DELAY.min(remaining)).await;
                untried = self.inner.directory.instances();
                continue;
            };
            let hint = match self.attempt(&instance, call, ATTEMPT_TIMEOUT.min(remaining)).await {
                Reply::Served(OperatorReply::NotProposed) => None,
                Reply::Served(OperatorReply::Unknown) | Reply::Missing => {
                    maybe_proposed = true;
                    None
                }
                Reply::Served(reply) => {
                    *self.inner.leader.borrow_mut() = Some(instance);
                    return Ok(reply);
                }
                Reply::NotServed(leader) => leader.filter(|l| *l != instance),
            };
            *self.inner.leader.borrow_mut() = hint;
        }
    }

    /// Takes the next instance of a round: the leader as far as it is known, else the first one.
    fn next_instance(&self, untried: &mut Vec<InstanceName>) -> Option<InstanceName> {
        let leader = self.inner.leader.borrow();
        let at = untried.iter().position(|name| Some(name) == leader.as_ref()).unwrap_or_default();
        (!untried.is_empty()).then(|| untried.remove(at))
    }

    async fn attempt(&self, to: &InstanceName, call: &OperatorCall, timeout: Duration) -> Reply {
        let frame = if to == self.inner.endpoint.name() {
            match monoio::time::timeout(timeout, (self.inner.local)(call.clone())).await {
                Ok(frame) => frame,
                Err(_) => return Reply::Missing,
            }
        } else {
            let frame = Frame::Rollout(RolloutFrame::Order(call.clone()));
            match self.inner.endpoint.call(to, &frame, timeout).await {
                Ok(Frame::Rollout(frame)) => frame,
                Ok(_) => return Reply::NotServed(None),
                Err(error) => {
                    tracing::debug!(event = "rollout-call-failed", peer = %to, %error);
                    return if error.may_have_run() {
                        Reply::Missing
                    } else {
                        Reply::NotServed(None)
                    };
                }
            }
        };
        match frame {
            RolloutFrame::OrderReply(reply) => Reply::Served(reply),
            RolloutFrame::NotLeading { leader } => Reply::NotServed(leader),
            _ => Reply::NotServed(None),
        }
    }
}
