//! Callers' requests from their first byte to their answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::balancer::NoTarget;
use hawthornkeel_core::placement::balancer::TargetQuery;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_core::stages::job::Handle;
use hawthornkeel_core::table::route::RouteKind;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::desks::Desks;
use crate::forward::desks::Undone;
use crate::forward::exchange::Answer;
use crate::forward::exchange::Failure;
use crate::forward::gate;
use crate::forward::plan;
use crate::forward::prepare;
use crate::forward::prepare::Prepared;
use crate::forward::prepare::Unprepared;
use crate::forward::relay::Relay;
use crate::forward::request::MIN_LEFT;
use crate::forward::request::Ticket;
use crate::forward::verdict::Forwarded;
use crate::forward::verdict::RETRY;
use crate::forward::verdict::Tried;
use crate::forward::verdict::ended;
use crate::forward::verdict::judge_answer;
use crate::forward::verdict::passed_headers;
use crate::forward::verdict::refusal;
use crate::http::channel::bounded;
use crate::http::message::Body;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;

use crate::http::server::Handler;
use crate::http::signal::Signal;

/// Pieces of a stream that wait for the caller, at most.
const STREAM_PIECES: usize = 64;
/// Time after which a cold target is looked at again.
const COLD_PAUSE: Duration = Duration::from_millis(40);
/// Part of the objective for which a request waits for a cold target.
const COLD_PART: u32 = 4;
/// Shortest time without an answer after which a request that may be repeated is.
const MIN_SILENCE: Duration = Duration::from_millis(120);
/// Targets that are tried for one request, at most.
const MAX_TRIED: usize = 5;
/// Times that the stages of a request are done, at most.
const MAX_PASSES: u16 = 2;

/// Answers callers' requests.
pub struct Callers {
    /// What the parts of the entry share.
    pub context: Rc<Context>,
    /// Desks of stages.
    pub desks: Desks,
}

/// Counts a request among those in progress.
pub struct Open(Rc<Context>);

impl Open {
    fn new(context: &Rc<Context>) -> Self {
        context.open.set(context.open.get().saturating_add(1));
        Self(Rc::clone(context))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

/// Course of a request: where it was sent, and what it needs there.
#[derive(Default)]
pub struct Course {
    /// Targets that were tried, whether or not it reached them.
    pub tried: Vec<TargetName>,
    /// Targets that it may have run at.
    pub runs: u32,
    prepared: Rc<RefCell<Prepared>>,
    /// Time that its stages took.
    staged: Duration,
    /// Time after which its answer began.
    first: Duration,
}

impl Course {
    /// Returns the results that the request needs at its target.
    pub fn results(&self) -> Vec<Handle> {
        self.prepared.borrow().handles()
    }

    /// Chooses the target to try next.
    ///
    /// # Errors
    /// Fails with the reason where there is none.
    pub fn choose(&self, context: &Context, ticket: &Ticket) -> Result<ChosenTarget, NoTarget> {
        let entries = context.roster.borrow().sharers();
        let centre = preferred_centre(context, ticket);
        let ask = ask(ticket, centre.as_ref(), &self.tried, entries);
        context.board.borrow_mut().choose(boot_now(), &ask)
    }

    /// Writes the line that tells how a request ended.
    pub fn log(&self, ticket: &Ticket, outcome: &str, status: u16) {
        let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        tracing::info!(
            event = "request-ended",
            request = %ticket.id,
            route = %ticket.route.name,
            pool = %ticket.pool.name,
            version = %ticket.table.version,
            rank = ticket.rank,
            outcome,
            status,
            time_ms = ms(ticket.end.saturating_duration_since(ticket.started)),
            tries = self.tried.len(),
            target = self.tried.last().map(TargetName::as_str),
            staged_ms = ms(self.staged),
            planned_ms = self.prepared.borrow().plan.map(|p| ms(p.end)),
            pace = self.prepared.borrow().plan.map(|p| p.pace.as_str()),
            first_ms = ms(self.first),
            ms = ms(ticket.started.elapsed()),
        );
    }
}

/// Returns the data centre in which the request is likely to run.
pub fn likely_centre(context: &Context, ticket: &Ticket) -> Option<CentreName> {
    let centre = preferred_centre(context, ticket);
    let ask = ask(ticket, centre.as_ref(), &[], 1);
    context.board.borrow_mut().likely_centre(boot_now(), &ask)
}

fn ask<'a>(
    ticket: &'a Ticket,
    centre: Option<&'a CentreName>,
    tried: &'a [TargetName],
    entries: usize,
) -> TargetQuery<'a> {
    let Ticket { pool, session, .. } = ticket;
    TargetQuery { pool: &pool.name, session: *session, centre, tried, cold: pool.cold, entries }
}

/// Returns the data centre whose targets are preferred: the own one, unless prompts are shared.
fn preferred_centre(context: &Context, ticket: &Ticket) -> Option<CentreName> {
    (!ticket.route.session_affinity).then(|| context.centre().clone())
}

impl Handler for Callers {
    async fn handle(&self, request: Request) -> Response {
        let left = request.disconnected.clone();
        let ticket = match gate::admit(&self.context, request) {
            Ok(ticket) => Rc::new(ticket),
            Err(problem) => return refusal(problem),
        };
        self.context.count_request(&ticket.pool.name);
        let open = Open::new(&self.context);
        let work = self.serve(ticket, left.clone(), open);
        monoio::select! {
            response = work => response,
            // Nobody reads the answer; dropping the work cancels what runs.
            () = left.wait() => refusal(Problem::new(Code::Internal, RunStatus::Unknown)),
        }
    }

    fn max_body(&self, _head: &Head) -> Option<usize> {
        let table = self.context.table.borrow();
        table.as_ref().map(|t| t.limits.max_body).filter(|m| *m > 0)
    }
}

impl Callers {
    async fn serve(&self, ticket: Rc<Ticket>, left: Signal, open: Open) -> Response {
        let mut course = Course::default();
        let mut pass = 0;
        loop {
            if let Err(unprepared) = self.prepare(&ticket, &mut course, pass).await {
                return self.unprepared(&ticket, &course, unprepared);
            }
            match self.forward(&ticket, &mut course).await {
                Forwarded::Answer(answer, target) => {
                    return self.pass_on(ticket, course, left, open, answer, target).await;
                }
                Forwarded::ResultsGone if pass + 1 < MAX_PASSES => pass += 1,
                Forwarded::ResultsGone => {
                    return self.unprepared(&ticket, &course, Undone::Gone.into());
                }
                Forwarded::Ended(problem) => {
                    course.log(&ticket, problem.code.as_str(), problem.code.status().as_u16());
                    return refusal(problem);
                }
            }
        }
    }

    /// Has the stages before a request done, where it has any.
    async fn prepare(
        &self,
        ticket: &Ticket,
        course: &mut Course,
        pass: u16,
    ) -> Result<(), Unprepared> {
        if ticket.route.stages.is_empty() {
            return Ok(());
        }
        let pieces = ticket.pieces().ok_or(Unprepared::Undone(Undone::Failed))?;
        let work = prepare::prepare(&self.context, &self.desks, ticket, &pieces, pass);
        let prepared = monoio::time::timeout(ticket.left(), work).await;
        *course.prepared.borrow_mut() =
            prepared.map_err(|_| Unprepared::Undone(Undone::Late))??;
        course.staged = ticket.started.elapsed();
        Ok(())
    }

    fn unprepared(&self, ticket: &Ticket, course: &Course, unprepared: Unprepared) -> Response {
        // Stages may have been done, but the request itself has not run and will not.
        let (code, retry) = match unprepared {
            Unprepared::Refused { retry } => (Code::Overloaded, retry),
            Unprepared::Undone(Undone::Late) => (Code::DeadlineUnreachable, RETRY),
            Unprepared::Undone(Undone::Gone | Undone::Failed) => (Code::NoTarget, RETRY),
        };
        course.log(ticket, code.as_str(), code.status().as_u16());
        refusal(Problem::not_run(code).with_retry_after(retry))
    }

    /// Sends a request to one target after the other, as far as it may be.
    async fn forward(&self, ticket: &Ticket, course: &mut Course) -> Forwarded {
        let mut ran = RunStatus::NotRun;
        let mut failed = None;
        let mut arrived = course.runs > 0;
        loop {
            // What reached no target is no repeat.
            if arrived && !self.may_repeat(ticket, course) {
                return ended(ran, failed);
            }
            if course.tried.len() >= MAX_TRIED || ticket.left() < MIN_LEFT {
                return ended(ran, failed);
            }
            let target = match self.choose(ticket, course).await {
                Ok(target) => target,
                Err(_) => return ended(ran, failed),
            };
            let request = ticket.outgoing(&target, &course.results(), None);
            let until = self.patience(ticket, course.runs);
            let sent = self.context.exchanges.send(target.address, &request, until).await;
            course.tried.push(target.name.clone());
            let tried = self.judge(ticket, &target, sent);
            if !matches!(tried, Tried::Answered(_)) {
                tracing::info!(event = "target-tried", request = %ticket.id, target = %target.name, outcome = %tried);
            }
            match tried {
                Tried::Answered(answer) => return Forwarded::Answer(answer, target),
                Tried::ResultsGone => return Forwarded::ResultsGone,
                Tried::Unreached => {}
                Tried::NotRun => arrived = true,
                Tried::Failed(answer) => {
                    ran = RunStatus::Unknown;
                    arrived = true;
                    course.runs += 1;
                    if !ticket.route.kind.is_retryable() {
                        return Forwarded::Answer(answer, target);
                    }
                    failed = Some((answer, target));
                }
                Tried::Lost => {
                    ran = RunStatus::Unknown;
                    arrived = true;
                    course.runs += 1;
                    if !ticket.route.kind.is_retryable() {
                        return ended(ran, None);
                    }
                }
            }
        }
    }

    /// Tells whether a request may be sent to one more target.
    fn may_repeat(&self, ticket: &Ticket, course: &Course) -> bool {
        course.runs < ticket.route.max_attempts && self.context.may_repeat(&ticket.pool.name)
    }

    /// Chooses a target, waiting for a while where all that are left are cold.
    async fn choose(&self, ticket: &Ticket, course: &Course) -> Result<ChosenTarget, NoTarget> {
        let limit = ticket.started + ticket.route.objective / COLD_PART;
        loop {
            match course.choose(&self.context, ticket) {
                Err(NoTarget::Cold) if Instant::now() < limit => {
                    monoio::time::sleep(COLD_PAUSE).await;
                }
                Err(NoTarget::Tried) if !course.tried.is_empty() => return Err(NoTarget::Tried),
                chosen => return chosen,
            }
        }
    }

    /// Returns until when a target may be silent.
    fn patience(&self, ticket: &Ticket, runs: u32) -> Instant {
        let more = ticket.route.kind.is_retryable() && runs + 1 < ticket.route.max_attempts;
        if !more {
            return ticket.end;
        }
        let usual = self.context.time(&ticket.pool.name, plan::ENGINE_TIME) * 4;
        let silence = usual.max(ticket.route.objective / 2).max(MIN_SILENCE);
        ticket.end.min(Instant::now() + silence)
    }

    /// Tells what came of sending a request to a target.
    fn judge(
        &self,
        ticket: &Ticket,
        target: &ChosenTarget,
        sent: Result<Answer, Failure>,
    ) -> Tried {
        let (tried, ended) = match sent {
            Ok(answer) => judge_answer(answer),
            Err(failure) if failure.is_not_run() => {
                (Tried::Unreached, Some(TargetOutcome::Unreached))
            }
            Err(Failure::Silent) if Instant::now() >= ticket.end => {
                (Tried::Lost, Some(TargetOutcome::Abandoned))
            }
            Err(_) => (Tried::Lost, Some(TargetOutcome::Failed)),
        };
        if let Some(ended) = ended {
            self.context.board.borrow_mut().record_outcome(boot_now(), &target.name, ended);
        }
        tried
    }

    /// Passes an answer on to the caller.
    async fn pass_on(
        &self,
        ticket: Rc<Ticket>,
        mut course: Course,
        left: Signal,
        open: Open,
        answer: Box<Answer>,
        target: ChosenTarget,
    ) -> Response {
        let status = answer.status;
        course.first = ticket.started.elapsed();
        self.context.note_time(&ticket.pool.name, course.first.saturating_sub(course.staged));
        let streams = matches!(ticket.route.kind, RouteKind::Stream { .. });
        if streams && status.is_success() {
            // What the request needed was fetched before its first event.
            course.prepared.borrow_mut().give_up();
            let (sender, receiver) = bounded(STREAM_PIECES);
            let headers = passed_headers(&answer.headers);
            let context = Rc::clone(&self.context);
            let relay = Relay { context, ticket, left, course, open };
            monoio::spawn(relay.run(*answer, target, sender));
            return Response { status, headers, body: Body::Stream(receiver) };
        }
        self.pass_whole(&ticket, course, *answer, target).await
    }

    /// Passes an answer on once it is whole; where it breaks off, the request may be repeated.
    async fn pass_whole(
        &self,
        ticket: &Ticket,
        mut course: Course,
        mut answer: Answer,
        mut target: ChosenTarget,
    ) -> Response {
        let mut until = self.patience(ticket, 0);
        loop {
            let status = answer.status;
            let body = answer.whole(until).await;
            let ended = match &body {
                Ok(_) if !status.is_server_error() => TargetOutcome::Succeeded,
                _ => TargetOutcome::Failed,
            };
            self.context.board.borrow_mut().record_outcome(boot_now(), &target.name, ended);
            match body {
                Ok(body) => {
                    let headers = passed_headers(&answer.headers);
                    answer.finish();
                    course.log(ticket, "answered", status.as_u16());
                    return Response { status, headers, body: Body::Full(body) };
                }
                Err(failure) => {
                    tracing::info!(event = "answer-broken", request = %ticket.id, target = %target.name, %failure);
                }
            }
            drop(answer);
            match self.again(ticket, &mut course).await {
                Some((next, at)) => (answer, target) = (*next, at),
                None => {
                    let problem = Problem::new(Code::StageFailed, RunStatus::Unknown);
                    course.log(ticket, "answer-lost", problem.code.status().as_u16());
                    return refusal(problem);
                }
            }
            until = ticket.end;
        }
    }

    /// Sends a request once more after its answer broke off, where it may be.
    async fn again(
        &self,
        ticket: &Ticket,
        course: &mut Course,
    ) -> Option<(Box<Answer>, ChosenTarget)> {
        course.runs += 1;
        if !ticket.route.kind.is_retryable() || !self.may_repeat(ticket, course) {
            return None;
        }
        match self.forward(ticket, course).await {
            Forwarded::Answer(answer, target) => Some((answer, target)),
            Forwarded::ResultsGone | Forwarded::Ended(_) => None,
        }
    }
}
