//! Stages of a request, each begun once the results that it needs are there.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::stages::job::Handle;
use hawthornkeel_core::stages::job::Job;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::table::pool::Work;
use hawthornkeel_core::table::route::Stage;
use hawthornkeel_platform::fields;

use crate::forward::context::Context;
use crate::forward::desks::Desks;
use crate::forward::desks::Results;
use crate::forward::desks::Undone;
use crate::forward::request::Ticket;

/// Time that a request takes at an engine up to its first event, where none was seen yet.
pub const ENGINE_TIME: Duration = Duration::from_millis(150);
/// Time that a stage takes where its pool's document says nothing.
const STAGE_TIME: Duration = Duration::from_millis(250);

/// Results that a request needs, with those that hold them.
#[derive(Default)]
pub struct Prepared {
    stages: Vec<Option<Results>>,
    last: Vec<u16>,
}

impl Prepared {
    /// Returns the results in the order of stages and pieces.
    pub fn handles(&self) -> Vec<Handle> {
        let last = self.last.iter().filter_map(|at| self.stages.get(usize::from(*at))?.as_ref());
        last.flat_map(|r| r.handles.iter().cloned()).collect()
    }
}

/// Has the stages of a request done; `pieces` holds the number of pieces of each.
///
/// # Errors
/// Fails as the first stage that brought no results.
pub async fn prepare(
    context: &Rc<Context>,
    desks: &Desks,
    ticket: &Ticket,
    pieces: &[u32],
    pass: u16,
) -> Result<Prepared, Undone> {
    let plan = Plan::new(context, ticket, pieces, pass);
    let mut stages: Vec<Option<Results>> = plan.counts.iter().map(|_| None).collect();
    let mut begun = vec![false; plan.counts.len()];
    let mut running = FuturesUnordered::new();
    loop {
        for at in plan.ready(&stages, &begun) {
            if let Some(begun) = begun.get_mut(usize::from(at)) {
                *begun = true;
            }
            let job = plan.job(at, &stages);
            let run = run(context, desks, ticket, at, job);
            running.push(async move { (at, run.await) });
        }
        let Some((at, results)) = running.next().await else { break };
        if let Some(stage) = stages.get_mut(usize::from(at)) {
            *stage = Some(results?);
        }
        plan.give_up(&mut stages);
    }
    Ok(Prepared { stages, last: plan.last })
}

async fn run(
    context: &Context,
    desks: &Desks,
    ticket: &Ticket,
    at: u16,
    job: Job,
) -> Result<Results, Undone> {
    let stage = ticket.route.stages.get(usize::from(at)).ok_or(Undone::Failed)?;
    let started = Instant::now();
    let results = desks.run(&stage.pool, job).await?;
    context.note_time(&stage.pool, started.elapsed());
    Ok(results)
}

/// What is to be done for one request.
struct Plan<'a> {
    context: &'a Context,
    ticket: &'a Ticket,
    pass: u16,
    /// Pieces of each stage.
    counts: Vec<u32>,
    /// Stages whose results the request itself needs.
    last: Vec<u16>,
    /// Data centre in which the request is likely to run.
    centre: Option<CentreName>,
}

impl<'a> Plan<'a> {
    fn new(context: &'a Context, ticket: &'a Ticket, pieces: &[u32], pass: u16) -> Self {
        let stages = ticket.route.stages.len();
        let counts = (0..stages).map(|at| pieces.get(at).copied().unwrap_or(0)).collect();
        let last = ticket.route.last_stages();
        let centre = crate::forward::handler::likely_centre(context, ticket);
        Self { context, ticket, pass, counts, last, centre }
    }

    fn stage(&self, at: u16) -> Option<&Stage> {
        self.ticket.route.stages.get(usize::from(at))
    }

    fn count(&self, at: u16) -> u32 {
        self.counts.get(usize::from(at)).copied().unwrap_or(0)
    }

    /// Returns the stages that may begin.
    fn ready(&self, stages: &[Option<Results>], begun: &[bool]) -> Vec<u16> {
        let done = |at: &u16| {
            self.count(*at) == 0 || stages.get(usize::from(*at)).is_some_and(Option::is_some)
        };
        let all = (0..self.counts.len()).filter_map(|at| u16::try_from(at).ok());
        all.filter(|at| {
            self.count(*at) > 0 && !begun.get(usize::from(*at)).copied().unwrap_or(true)
        })
        .filter(|at| self.stage(*at).is_some_and(|s| s.after.iter().all(done)))
        .collect()
    }

    /// Gives up the results that no stage and not the request itself needs any more.
    fn give_up(&self, stages: &mut [Option<Results>]) {
        let done: Vec<bool> = stages.iter().map(Option::is_some).collect();
        let done_at = |at: usize| done.get(at).copied().unwrap_or(true);
        for at in 0..stages.len() {
            let Ok(number) = u16::try_from(at) else { continue };
            let mut followers = self
                .ticket
                .route
                .stages
                .iter()
                .enumerate()
                .filter(|(_, s)| s.after.contains(&number));
            let needed = self.last.contains(&number)
                || followers
                    .any(|(f, _)| !done_at(f) && self.counts.get(f).is_some_and(|c| *c > 0));
            if !needed && let Some(stage) = stages.get_mut(at) {
                // Its place still tells that the stage is done.
                if let Some(results) = stage {
                    results.give_up();
                }
            }
        }
    }

    fn job(&self, at: u16, stages: &[Option<Results>]) -> Job {
        let stage = self.stage(at);
        let after = stage.map(|s| s.after.as_slice()).unwrap_or_default();
        let inputs = after.iter().filter_map(|a| stages.get(usize::from(*a))?.as_ref());
        let inputs: Vec<Handle> = inputs.flat_map(|r| r.handles.iter().cloned()).collect();
        let key = self.ticket.head.header(fields::PIECE_KEY).unwrap_or_default();
        let rest = self.rest(at);
        let now = Instant::now();
        let until = |point: Instant| millis(point.saturating_duration_since(now));
        Job {
            id: JobId { request: Arc::clone(&self.ticket.id), stage: at, pass: self.pass },
            pieces: self.count(at),
            key: after.is_empty().then(|| Arc::from(key)),
            inputs: Arc::from(inputs),
            bytes: stage.map_or(0, |s| s.bytes),
            priority: self.ticket.rank,
            due_ms: until(self.ticket.due).saturating_sub(millis(rest)),
            end_ms: until(self.ticket.end),
            admitted: !after.is_empty() || self.pass > 0,
            centre: self.centre.clone(),
        }
    }

    /// Returns the time that a request takes after a stage, about.
    fn rest(&self, at: u16) -> Duration {
        let followers = self.ticket.route.stages.iter().enumerate();
        let followers = followers.filter_map(|(f, s)| {
            let follower = u16::try_from(f).ok().filter(|_| s.after.contains(&at))?;
            (self.count(follower) > 0).then(|| self.time(follower) + self.rest(follower))
        });
        followers.max().unwrap_or_else(|| self.context.time(&self.ticket.pool.name, ENGINE_TIME))
    }

    /// Returns the time that a stage takes, about.
    fn time(&self, at: u16) -> Duration {
        let Some(stage) = self.stage(at) else { return STAGE_TIME };
        let pool = self.ticket.table.pools.get(&stage.pool);
        let own = match pool.map(|p| &p.work) {
            Some(Work::Pieces(pieces)) => pieces.overhead + pieces.item * self.count(at),
            _ => STAGE_TIME,
        };
        self.context.time(&stage.pool, own)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
