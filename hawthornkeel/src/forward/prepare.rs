//! Stages of a request, each begun once the results that it needs are there.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hawthornkeel_core::stages::job::Handle;
use hawthornkeel_core::stages::job::Job;
use hawthornkeel_core::stages::job::SchedulerName;

use crate::forward::booking::Bookings;
use crate::forward::context::Context;
use crate::forward::desks::Desks;
use crate::forward::desks::Results;
use crate::forward::desks::Undone;
use crate::forward::plan::Expected;
use crate::forward::plan::Plan;
use crate::forward::request::Ticket;

/// Results that a request needs, with those that hold them.
#[derive(Default)]
pub struct Prepared {
    stages: Vec<Option<Results>>,
    last: Vec<u16>,
    /// What was expected as it was begun.
    pub plan: Option<Expected>,
}

impl Prepared {
    /// Gives up all results.
    pub fn give_up(&mut self) {
        self.stages.clear();
    }

    /// Returns the results in the order of stages and pieces.
    pub fn handles(&self) -> Vec<Handle> {
        let last = self.last.iter().filter_map(|at| self.stages.get(usize::from(*at))?.as_ref());
        last.flat_map(|r| r.handles.iter().cloned()).collect()
    }
}

/// Why a request's stages were not done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unprepared {
    /// The request would be late, or make others late: nothing was begun.
    Refused {
        /// Time after which there may be room.
        retry: Duration,
    },
    /// A stage brought no results.
    Undone(Undone),
}

impl From<Undone> for Unprepared {
    fn from(undone: Undone) -> Self {
        Self::Undone(undone)
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
) -> Result<Prepared, Unprepared> {
    let mut plan = Plan::new(context, ticket, pieces, pass);
    // Work that was begun is not turned away: only the first pass books.
    let mut booked = match pass {
        0 => plan.book(desks).await?,
        _ => Bookings::new(desks),
    };
    let mut stages: Vec<Option<Results>> = plan.counts.iter().map(|_| None).collect();
    let mut begun = vec![false; plan.counts.len()];
    let mut running = FuturesUnordered::new();
    loop {
        for at in plan.ready(&stages, &begun) {
            if let Some(begun) = begun.get_mut(usize::from(at)) {
                *begun = true;
            }
            booked.used(at);
            let job = plan.job(at, &stages);
            let run = run(desks, plan.desk(at), job);
            running.push(async move { (at, run.await) });
        }
        let Some((at, results)) = running.next().await else { break };
        if let Some(stage) = stages.get_mut(usize::from(at)) {
            *stage = Some(results?);
        }
        plan.give_up(&mut stages);
    }
    Ok(Prepared { stages, last: plan.last, plan: plan.expected })
}

async fn run(desks: &Desks, desk: Option<SchedulerName>, job: Job) -> Result<Results, Undone> {
    desks.run(&desk.ok_or(Undone::Failed)?, job).await
}
