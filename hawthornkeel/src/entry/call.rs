//! One call to a target, from its permit to its outcome.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornkeel_core::document::Pool;
use hawthornkeel_core::document::PoolKind;
use hawthornkeel_core::document::Stage;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::request::event::Input;
use hawthornkeel_core::request::failure::CallFailure;
use hawthornkeel_core::routing::types::CallOutcome;
use hawthornkeel_core::time::Instant;

use crate::entry::call_record::CallRecord;
use crate::entry::context::Context;
use crate::entry::encoding;
use crate::entry::permit::PermitGuard;
use crate::entry::reply::Reply;
use crate::entry::reply::TokenEvents;
use crate::target::call::Call;
use crate::target::client::Client;
use crate::target::completion::COMPLETIONS;
use crate::target::error::CallError;
use crate::target::process::ReportedIncarnation;
use crate::target::stream::Event;
use crate::target::stream::TokenStream;
use crate::telemetry;

/// Shortest time without a byte after which a call that may be repeated counts as silent.
const MIN_PROGRESS: Duration = Duration::from_secs(3);
/// Share of a call's time after which it counts as silent: the rest is left for another target.
const PROGRESS_SHARE: f64 = 0.6;
/// Time after the deadline for which the answer to a claimed call is still taken, to record it.
const LATE_ANSWER: Duration = Duration::from_secs(2);

/// What a call needs beside its permit.
pub struct CallPlan {
    /// Identity of the call.
    pub id: CallId,
    /// Stage that the call runs.
    pub stage: Stage,
    /// Pool of the target.
    pub pool: Pool,
    /// Priority of the workspace.
    pub priority: u8,
    /// Idempotency key of the request.
    pub key: Option<Arc<str>>,
    /// Caller's body.
    pub input: Bytes,
    /// Answer of the stage before.
    pub previous: Option<Bytes>,
    /// Time by which the whole answer to the caller is due.
    pub deadline: Instant,
    /// Bytes of the answer that earlier attempts received.
    pub resume: usize,
    /// Text that earlier attempts received, which this one adds to.
    pub text: Rc<RefCell<String>>,
    /// Whether the call races another one for the same stage.
    pub hedge: bool,
    /// Where pieces of the answer go as they come, if anywhere.
    pub reply: Option<Rc<Reply>>,
}

/// Answer of a target with what is measured of it.
struct Answered {
    body: Bytes,
    tokens: u32,
}

/// Makes the call and gives its permit back.
pub async fn run(context: Rc<Context>, permit: PermitGuard, plan: CallPlan) -> Input {
    if permit.permit().is_some_and(|p| p.grant.is_some()) {
        let stage = plan.stage.name.as_str().to_owned();
        metrics::counter!(telemetry::COLD_CALLS, "stage" => stage).increment(1);
    }
    let heard = ReportedIncarnation::default();
    let record = CallRecord::start(&context, &plan);
    let result = attempt(&context, &permit, &plan, &heard).await;
    permit.report_incarnation(heard.get());
    match result {
        Ok(answered) => {
            let tokens = answered.tokens;
            let latency = record.answered(tokens);
            permit.finish(CallOutcome::Answered { latency, tokens, incarnation: heard.get() });
            Input::Answered { call: plan.id, answer: answered.body }
        }
        Err(error) => {
            record.failed(error.name());
            let failure = failure(&error);
            match error {
                CallError::Restarted => permit.finish_restarted(heard.get()),
                _ => permit.finish(outcome(failure)),
            }
            if error == CallError::NotResumed && plan.reply.is_none() {
                // Nothing was given on yet, so the next attempt can begin anew.
                plan.text.borrow_mut().clear();
            }
            let received = plan.text.borrow().len();
            Input::Failed { call: plan.id, failure, received }
        }
    }
}

async fn attempt(
    context: &Context,
    permit: &PermitGuard,
    plan: &CallPlan,
    heard: &ReportedIncarnation,
) -> Result<Answered, CallError> {
    let address: SocketAddr = permit
        .address
        .parse()
        .map_err(|_| CallError::NotSent("address can't be parsed".to_owned()))?;
    let until = permit.permit().map_or(Instant::ZERO, |p| p.deadline);
    let left = context.clock.time_until(until);
    if left.is_zero() {
        return Err(CallError::NotSent("permit expired".to_owned()));
    }
    let timeout = match plan.stage.idempotent {
        true => left,
        false => longest(context, permit, plan),
    };
    let expected_process = permit.expected_process();
    let call = Call { expected_process, reported: heard.clone(), ..encode(plan, timeout) };
    match plan.pool.kind {
        PoolKind::Service => {
            let answer = context.client.call(address, &call).await?;
            Ok(Answered { body: answer.body, tokens: 0 })
        }
        PoolKind::Engine => generate(&context.client, address, &call, plan, permit).await,
    }
}

/// Returns the time for which a call that may not be repeated is waited for.
///
/// Its answer is still recorded after the deadline; only the end of a grant ends it earlier, since
/// the target may be granted to another call then.
fn longest(context: &Context, permit: &PermitGuard, plan: &CallPlan) -> Duration {
    let late = context.clock.time_until(plan.deadline) + LATE_ANSWER;
    let grant_expiry = permit.permit().and_then(|p| p.grant_expiry);
    grant_expiry.map_or(late, |end| late.min(context.clock.time_until(end)))
}

/// Returns the time without a byte after which a call counts as silent.
fn progress(stage: &Stage, timeout: Duration) -> Duration {
    match stage.idempotent {
        true => timeout.mul_f64(PROGRESS_SHARE).max(MIN_PROGRESS).min(timeout),
        false => timeout,
    }
}

fn encode(plan: &CallPlan, timeout: Duration) -> Call {
    let previous = plan.previous.as_deref();
    let call = Call {
        id: plan.id,
        idempotent: plan.stage.idempotent,
        key: plan.key.as_ref().map(|k| k.to_string()),
        priority: plan.priority,
        timeout,
        progress_timeout: progress(&plan.stage, timeout),
        ..Call::default()
    };
    match plan.pool.kind {
        PoolKind::Service => Call {
            path: plan.stage.path.clone(),
            body: encoding::service_body(&plan.input, previous),
            ..call
        },
        PoolKind::Engine => Call {
            path: COMPLETIONS.to_owned(),
            body: encoding::engine_body(plan),
            resume_offset: u64::try_from(plan.resume).unwrap_or(0),
            ..call
        },
    }
}

/// Reads an engine's stream to its end marker.
async fn generate(
    client: &Client,
    address: SocketAddr,
    call: &Call,
    plan: &CallPlan,
    permit: &PermitGuard,
) -> Result<Answered, CallError> {
    let mut stream = client.stream(address, call).await?;
    permit.report_incarnation(call.reported.get());
    let mut tokens: u32 = 0;
    while let Event::Token { text, .. } = stream.next().await? {
        tokens = tokens.saturating_add(1);
        plan.text.borrow_mut().push_str(&text);
        if let Some(reply) = &plan.reply {
            let mut events = TokenEvents::default();
            events.add(&text);
            tokens = tokens.saturating_add(add_ready(&mut stream, plan, &mut events));
            reply.send_tokens(events).await;
        }
    }
    let body = encoding::engine_answer(&plan.text.borrow());
    Ok(Answered { body, tokens })
}

/// Adds the tokens that have come already, as far as one piece holds them, and returns how many.
fn add_ready(stream: &mut TokenStream, plan: &CallPlan, events: &mut TokenEvents) -> u32 {
    let mut tokens: u32 = 0;
    while !events.is_full() {
        let Some(Event::Token { text, .. }) = stream.try_next() else {
            break;
        };
        tokens = tokens.saturating_add(1);
        plan.text.borrow_mut().push_str(&text);
        events.add(&text);
    }
    tokens
}

fn failure(error: &CallError) -> CallFailure {
    match error {
        CallError::NotSent(_) | CallError::Restarted => CallFailure::NotSent,
        CallError::Refused { not_run: true, .. } => CallFailure::Declined,
        CallError::Refused { .. } => CallFailure::Refused,
        CallError::TimedOut => CallFailure::ProgressTimeout,
        CallError::Truncated => CallFailure::Truncated,
        CallError::WrongCall => CallFailure::WrongCall,
        CallError::Reset(_) => CallFailure::Reset,
        CallError::Malformed(_) | CallError::NotResumed => CallFailure::Malformed,
        CallError::Status(status) => CallFailure::Status(*status),
    }
}

fn outcome(failure: CallFailure) -> CallOutcome {
    match failure {
        CallFailure::NotSent => CallOutcome::ConnectFailed,
        CallFailure::Declined | CallFailure::Refused => CallOutcome::Refused,
        CallFailure::ProgressTimeout => CallOutcome::TimedOut,
        CallFailure::Reset => CallOutcome::Reset,
        CallFailure::Truncated | CallFailure::WrongCall | CallFailure::Malformed => {
            CallOutcome::Truncated
        }
        CallFailure::Status(_) => CallOutcome::Failed,
    }
}
