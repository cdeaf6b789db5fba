//! Runs one call to a target and reports its outcome to the router.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
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

use crate::clock::millis;
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
use crate::target::resend::Resend;
use crate::target::stream::Event;
use crate::target::stream::TokenStream;
use crate::telemetry;

/// Lower bound of the progress timeout of an idempotent call.
const MIN_PROGRESS_TIMEOUT: Duration = Duration::from_secs(3);
/// Progress timeout of an idempotent call as a fraction of its timeout. The remaining time is for a
/// retry at another target.
const PROGRESS_TIMEOUT_RATIO: f64 = 0.6;
/// Time after the deadline for which a claimed call continues, so that its answer is recorded.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Parameters of a call, apart from its permit.
pub struct CallPlan {
    /// Identifier of the call.
    pub id: CallId,
    /// Stage that the call runs.
    pub stage: Stage,
    /// Pool of the target.
    pub pool: Pool,
    /// Priority of the workspace.
    pub priority: u8,
    /// Idempotency key of the request.
    pub idempotency_key: Option<Arc<str>>,
    /// Body of the caller's request.
    pub input: Bytes,
    /// Answer of the previous stage.
    pub previous_answer: Option<Bytes>,
    /// Time by which the complete answer to the caller is due.
    pub deadline: Instant,
    /// Length in bytes of the text received by earlier attempts, from which the stream resumes.
    pub resume_offset: usize,
    /// Text received by all attempts so far; this attempt appends to it.
    pub received_text: Rc<RefCell<String>>,
    /// Whether the call is a hedge of another call for the same stage.
    pub is_hedge: bool,
    /// Receives tokens as they arrive, if the answer is streamed to the caller.
    pub reply: Option<Rc<Reply>>,
}

/// Answer of a target and its number of tokens.
struct TargetAnswer {
    body: Bytes,
    tokens: u32,
    /// Time spent on a reused connection that failed, which says nothing about the target.
    lost_time: Duration,
}

/// Makes the call and releases its permit.
pub async fn run(context: Rc<Context>, permit: PermitGuard, plan: CallPlan) -> Input {
    if permit.permit().is_some_and(|p| p.grant.is_some()) {
        let stage = plan.stage.name.as_str().to_owned();
        metrics::counter!(telemetry::COLD_CALLS, "stage" => stage).increment(1);
    }
    let reported = ReportedIncarnation::default();
    let record = CallRecord::start(&context, &plan);
    let result = execute(&context, &permit, &plan, &reported).await;
    permit.report_incarnation(reported.get());
    match result {
        Ok(answer) => {
            let tokens = answer.tokens;
            let latency = record.answered(tokens).saturating_sub(answer.lost_time);
            permit.finish(CallOutcome::Answered { latency, tokens, incarnation: reported.get() });
            Input::Answered { call: plan.id, answer: answer.body }
        }
        Err(error) => {
            record.failed(error.name());
            let failure = failure(&error);
            match error {
                CallError::Restarted => permit.finish_restarted(reported.get()),
                _ => permit.finish(outcome(failure)),
            }
            if error == CallError::NotResumed && plan.reply.is_none() {
                // The caller has received no token yet, so the next attempt can start afresh.
                plan.received_text.borrow_mut().clear();
            }
            let received = plan.received_text.borrow().len();
            Input::Failed { call: plan.id, failure, received }
        }
    }
}

async fn execute(
    context: &Context,
    permit: &PermitGuard,
    plan: &CallPlan,
    reported: &ReportedIncarnation,
) -> Result<TargetAnswer, CallError> {
    let address: SocketAddr = permit
        .address
        .parse()
        .map_err(|_| CallError::NotSent("address can't be parsed".to_owned()))?;
    let permit_deadline = permit.permit().map_or(Instant::ZERO, |p| p.deadline);
    let remaining = context.clock.time_until(permit_deadline);
    if remaining.is_zero() {
        return Err(CallError::NotSent("permit expired".to_owned()));
    }
    let timeout = match plan.stage.idempotent {
        true => remaining,
        false => non_idempotent_timeout(context, permit, plan),
    };
    let expected_process = permit.expected_process();
    let call = Call { expected_process, reported: reported.clone(), ..encode(plan, timeout) };
    let work = send(context, address, &call, plan, permit);
    resend_if_silent(context, permit, &call.resend, work).await
}

/// Sends the call and reads its whole answer.
async fn send(
    context: &Context,
    address: SocketAddr,
    call: &Call,
    plan: &CallPlan,
    permit: &PermitGuard,
) -> Result<TargetAnswer, CallError> {
    match plan.pool.kind {
        PoolKind::Service => {
            let answer = context.client.call(address, call).await?;
            Ok(TargetAnswer { body: answer.body, tokens: 0, lost_time: answer.lost_time })
        }
        PoolKind::Engine => generate(&context.client, address, call, plan, permit).await,
    }
}

/// Runs a call, and has it sent again on a new connection if a reused one is silent for much longer
/// than its pool takes and the retry budget allows it.
async fn resend_if_silent<T>(
    context: &Context,
    permit: &PermitGuard,
    resend: &Resend,
    work: impl Future<Output = T>,
) -> T {
    let Some(call) = permit.permit().map(|p| p.call) else { return work.await };
    let limit = permit.permit().and_then(|p| context.router.borrow().silence_limit(p));
    let Some(limit) = limit else { return work.await };
    let mut work = pin!(work);
    monoio::select! {
        result = &mut work => return result,
        () = monoio::time::sleep(limit) => {}
    }
    if resend.is_possible() && permit.take_resend() {
        let (address, after_ms) = (&permit.address, millis(limit));
        tracing::info!(event = "call-resent", %call, %address, after_ms);
        resend.request();
    }
    work.await
}

/// Returns the timeout of a call that isn't idempotent.
///
/// Its answer is recorded even after the request's deadline. Only the expiry of its grant ends the
/// call earlier, because the target may then be granted to another call.
fn non_idempotent_timeout(context: &Context, permit: &PermitGuard, plan: &CallPlan) -> Duration {
    let late = context.clock.time_until(plan.deadline) + LATE_ANSWER_TIMEOUT;
    let grant_expiry = permit.permit().and_then(|p| p.grant_expiry);
    grant_expiry.map_or(late, |end| late.min(context.clock.time_until(end)))
}

/// Returns the time without received data after which a call fails.
fn progress_timeout(stage: &Stage, timeout: Duration) -> Duration {
    match stage.idempotent {
        true => timeout.mul_f64(PROGRESS_TIMEOUT_RATIO).max(MIN_PROGRESS_TIMEOUT).min(timeout),
        false => timeout,
    }
}

fn encode(plan: &CallPlan, timeout: Duration) -> Call {
    let previous = plan.previous_answer.as_deref();
    let call = Call {
        id: plan.id,
        idempotent: plan.stage.idempotent,
        key: plan.idempotency_key.as_ref().map(|k| k.to_string()),
        priority: plan.priority,
        timeout,
        progress_timeout: progress_timeout(&plan.stage, timeout),
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
            resume_offset: u64::try_from(plan.resume_offset).unwrap_or(0),
            ..call
        },
    }
}

/// Reads an engine's token stream up to its end marker.
async fn generate(
    client: &Client,
    address: SocketAddr,
    call: &Call,
    plan: &CallPlan,
    permit: &PermitGuard,
) -> Result<TargetAnswer, CallError> {
    let mut stream = client.stream(address, call).await?;
    permit.report_incarnation(call.reported.get());
    let mut tokens: u32 = 0;
    while let Event::Token { text, .. } = stream.next().await? {
        tokens = tokens.saturating_add(1);
        plan.received_text.borrow_mut().push_str(&text);
        if let Some(reply) = &plan.reply {
            let mut events = TokenEvents::default();
            events.add(&text);
            tokens = tokens.saturating_add(append_ready(&mut stream, plan, &mut events));
            reply.send_tokens(events).await;
        }
    }
    let body = encoding::engine_answer(&plan.received_text.borrow());
    Ok(TargetAnswer { body, tokens, lost_time: stream.lost_time() })
}

/// Adds tokens that are already buffered, up to the size of one chunk, and returns their number.
fn append_ready(stream: &mut TokenStream, plan: &CallPlan, events: &mut TokenEvents) -> u32 {
    let mut tokens: u32 = 0;
    while !events.is_full() {
        let Some(Event::Token { text, .. }) = stream.try_next() else {
            break;
        };
        tokens = tokens.saturating_add(1);
        plan.received_text.borrow_mut().push_str(&text);
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
