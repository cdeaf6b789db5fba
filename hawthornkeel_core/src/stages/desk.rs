//! Queue of one pool's stages: forms calls, places them and turns away what can't be done in time.
//!
//! Load patterns it answers: a burst of one kind (turned away on arrival once the wait passes what
//! the objective allows, so that what was admitted is done in time), a burst of several kinds
//! (lower ranks are turned away first), a slow or lost target (its pieces are done elsewhere).

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::names::CentreName;
use crate::names::TargetName;
use crate::stages::estimate::Arrivals;
use crate::stages::estimate::Load;
use crate::stages::estimate::call_time;
use crate::stages::job::Handle;
use crate::stages::job::Job;
use crate::stages::job::JobId;
use crate::stages::job::JobOutcome;
use crate::stages::maker::Maker;
use crate::table::pool::Pieces;
use crate::time::Instant;

/// Times that a piece is tried, at most.
const MAX_TRIES: u32 = 4;
/// Times longer than expected after which a call's pieces are done elsewhere too.
const OVERDUE: u32 = 2;
/// Time added to that, for networks.
const OVERDUE_SLACK: Duration = Duration::from_millis(80);
/// Time for which an outcome is kept for a caller that asks again.
const KEEP_OUTCOME: Duration = Duration::from_secs(3);
/// Shortest time after which a refused caller may come back.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// Number of a call, unique at its desk.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallNumber(pub u64);

/// Piece of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Job that it belongs to.
    pub job: JobId,
    /// Position in the job.
    pub piece: u32,
    /// Key of the work, where the stage needs no results.
    pub key: Option<Arc<str>>,
    /// Results that it needs.
    pub inputs: Arc<[Handle]>,
    /// Time that its result is of use.
    pub left: Duration,
}

/// What came of one piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceOutcome {
    /// Its result.
    Done(Handle),
    /// Its time had passed.
    Late,
    /// A result that it needs is gone.
    Gone,
    /// The target had no room.
    NoRoom,
    /// The target failed.
    Failed,
}

/// How a call ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The target refused it: it was not run.
    Refused,
    /// It was lost, or its answer was.
    Lost,
}

/// Target that may do pieces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MakerInfo {
    /// Target.
    pub name: TargetName,
    /// Data centre.
    pub centre: CentreName,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Targets that may get calls now.
    Makers(Vec<MakerInfo>),
    /// A job, which may be known already.
    Offer(Job),
    /// Nobody waits for the job any more.
    Withdraw(JobId),
    /// Results that nobody needs any more.
    Release(Vec<Handle>),
    /// A call was answered.
    Answered(CallNumber, Vec<PieceOutcome>),
    /// A call was not answered.
    Failed(CallNumber, CallFailure),
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Call a target; the call may be given up after `limit`.
    Run {
        /// Number of the call.
        call: CallNumber,
        /// Target.
        maker: TargetName,
        /// Pieces.
        items: Vec<Item>,
        /// Time after which the call counts as lost.
        limit: Duration,
    },
    /// Tell a target that results are not needed.
    Free {
        /// Target.
        maker: TargetName,
        /// Results.
        results: Vec<Handle>,
    },
    /// Tell the instance that offered the job what came of it.
    Answer {
        /// Job.
        job: JobId,
        /// Outcome.
        outcome: JobOutcome,
    },
}

/// Job at the desk.
#[derive(Clone, Debug)]
struct Entry {
    job: Job,
    due: Instant,
    end: Instant,
    arrived: Instant,
    pieces: Vec<PieceState>,
}

/// Piece of a job at the desk.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct PieceState {
    result: Option<Handle>,
    /// Whether it waits for a call.
    waits: bool,
    tries: u32,
}

/// Call in progress.
#[derive(Clone, Debug)]
struct Call {
    maker: TargetName,
    items: Vec<(JobId, u32)>,
    bytes: u64,
    started: Instant,
    expected: Duration,
    /// Whether its pieces wait for another call too.
    overdue: bool,
}

/// Result that a target holds.
#[derive(Clone, Debug)]
struct Kept {
    maker: TargetName,
    bytes: u64,
    until: Instant,
}

/// Queue of one pool's stages.
#[derive(Clone, Debug)]
pub struct Desk {
    pool: Pieces,
    makers: IndexMap<TargetName, Maker>,
    jobs: IndexMap<JobId, Entry>,
    /// Outcomes of late, for callers that ask again.
    ended: IndexMap<JobId, (Instant, JobOutcome)>,
    calls: IndexMap<CallNumber, Call>,
    kept: IndexMap<Handle, Kept>,
    arrivals: Arrivals,
    next: u64,
    now: Instant,
    actions: Vec<Action>,
}

impl Desk {
    /// Creates the desk of a pool.
    pub fn new(pool: Pieces) -> Self {
        Self {
            pool,
            makers: IndexMap::new(),
            jobs: IndexMap::new(),
            ended: IndexMap::new(),
            calls: IndexMap::new(),
            kept: IndexMap::new(),
            arrivals: Arrivals::default(),
            next: 0,
            now: Instant::ZERO,
            actions: Vec::new(),
        }
    }

    /// Takes over what a new document says of the pool.
    pub fn set_pool(&mut self, pool: Pieces) {
        self.pool = pool;
    }

    /// Takes in what happened and returns what is to be done, in order.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        match input {
            Input::Makers(makers) => self.set_makers(makers),
            Input::Offer(job) => self.offer(job),
            Input::Withdraw(job) => self.withdraw(&job),
            Input::Release(results) => self.release(results),
            Input::Answered(call, outcomes) => self.answered(call, outcomes),
            Input::Failed(call, failure) => self.failed(call, failure),
            Input::Tick => {}
        }
        self.expire();
        self.dispatch();
        std::mem::take(&mut self.actions)
    }

    /// Returns the point at which [`Input::Tick`] is due, if any.
    pub fn deadline(&self) -> Option<Instant> {
        let overdue = self.calls.values().filter(|c| !c.overdue).map(|c| self.overdue_at(c));
        let ends = self.jobs.values().filter(|e| e.is_waiting()).map(|e| e.end);
        let waits = self.jobs.values().any(Entry::is_waiting);
        let resumes = self.makers.values().filter(|_| waits).filter_map(|m| m.resumes(self.now));
        overdue.chain(ends).chain(resumes).min()
    }

    /// Returns the time until a job of `pieces` and `priority` would be done, if it would be.
    pub fn wait(&mut self, priority: u16, pieces: u32) -> Option<Duration> {
        self.load(priority).time(&self.pool, pieces)
    }

    /// Tells whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.calls.is_empty()
    }

    fn set_makers(&mut self, makers: Vec<MakerInfo>) {
        let known = std::mem::take(&mut self.makers);
        let mut known = known;
        for info in makers {
            let maker = known.swap_remove(&info.name);
            let maker = maker.unwrap_or_else(|| Maker::new(info.centre.clone()));
            self.makers.insert(info.name, maker);
        }
    }

    fn offer(&mut self, job: Job) {
        if let Some((_, outcome)) = self.ended.get(&job.id) {
            let outcome = outcome.clone();
            self.actions.push(Action::Answer { job: job.id, outcome });
            return;
        }
        if self.jobs.contains_key(&job.id) {
            return;
        }
        self.arrivals.count(self.now, job.priority, job.pieces);
        let due = self.now + Duration::from_millis(job.due_ms);
        let end = self.now + Duration::from_millis(job.end_ms);
        let id = job.id.clone();
        let waiting = PieceState { waits: true, ..PieceState::default() };
        let pieces = vec![waiting; job.pieces as usize];
        let refusal = self.refusal(&job, due, end);
        self.jobs.insert(id.clone(), Entry { job, due, end, arrived: self.now, pieces });
        if let Some(outcome) = refusal {
            self.end(&id, outcome);
        }
    }

    /// Returns why a job is turned away on arrival, if it is.
    fn refusal(&mut self, job: &Job, due: Instant, end: Instant) -> Option<JobOutcome> {
        let time = self.wait(job.priority, job.pieces);
        let done = time.map(|t| self.now + t);
        let limit = if job.admitted { end } else { due };
        if done.is_some_and(|d| d <= limit) {
            return None;
        }
        // What was admitted is tried as long as there is time for one call.
        if job.admitted && self.now + call_time(&self.pool, 1) <= end {
            return None;
        }
        let over = done.map_or(MIN_RETRY, |d| d.since(limit)).max(MIN_RETRY);
        Some(JobOutcome::Refused { retry_ms: u64::try_from(over.as_millis()).unwrap_or(u64::MAX) })
    }

    fn withdraw(&mut self, id: &JobId) {
        if let Some((_, JobOutcome::Done(results))) = self.ended.swap_remove(id) {
            self.release(results);
        }
        let Some(entry) = self.jobs.swap_remove(id) else { return };
        self.release(entry.pieces.into_iter().filter_map(|p| p.result).collect());
    }

    fn release(&mut self, results: Vec<Handle>) {
        let mut freed: IndexMap<TargetName, Vec<Handle>> = IndexMap::new();
        for result in results {
            if let Some(kept) = self.kept.swap_remove(&result) {
                self.forget_bytes(&kept.maker, kept.bytes);
                freed.entry(kept.maker).or_default().push(result);
            }
        }
        for (maker, results) in freed {
            if self.makers.contains_key(&maker) {
                self.actions.push(Action::Free { maker, results });
            }
        }
    }

    fn forget_bytes(&mut self, maker: &TargetName, bytes: u64) {
        if let Some(maker) = self.makers.get_mut(maker) {
            maker.held = maker.held.saturating_sub(bytes);
        }
    }

    fn answered(&mut self, number: CallNumber, outcomes: Vec<PieceOutcome>) {
        let Some(call) = self.calls.swap_remove(&number) else { return };
        let took = self.now.since(call.started);
        if let Some(maker) = self.makers.get_mut(&call.maker)
            && maker.call == Some(number)
        {
            maker.succeeded(self.now, took, call.expected);
        }
        self.forget_bytes(&call.maker, call.bytes);
        let each = call.bytes.checked_div(call.items.len() as u64).unwrap_or_default();
        let missing = std::iter::repeat(PieceOutcome::Failed);
        let mut unwanted = Vec::new();
        for ((id, piece), outcome) in
            call.items.into_iter().zip(outcomes.into_iter().chain(missing))
        {
            if let PieceOutcome::Done(handle) = &outcome {
                self.keep(&call.maker, handle, each);
            }
            unwanted.extend(self.piece_ended(&id, piece, outcome));
        }
        self.release(unwanted);
    }

    fn keep(&mut self, maker: &TargetName, handle: &Handle, bytes: u64) {
        let until = self.now + self.pool.keep;
        if let Some(maker) = self.makers.get_mut(maker) {
            maker.held += bytes;
        }
        self.kept.insert(handle.clone(), Kept { maker: maker.clone(), bytes, until });
    }

    /// Takes in what came of a piece; returns its result where nobody needs it.
    fn piece_ended(&mut self, id: &JobId, piece: u32, outcome: PieceOutcome) -> Option<Handle> {
        let Some(entry) = self.jobs.get_mut(id) else { return outcome.into_result() };
        let Some(state) = entry.pieces.get_mut(piece as usize) else {
            return outcome.into_result();
        };
        if state.result.is_some() {
            return outcome.into_result();
        }
        match outcome {
            PieceOutcome::Done(handle) => {
                state.result = Some(handle);
                state.waits = false;
                if let Some(results) = entry.results() {
                    self.end(id, JobOutcome::Done(results));
                }
            }
            PieceOutcome::Late => self.end(id, JobOutcome::Late),
            PieceOutcome::Gone => self.end(id, JobOutcome::Gone),
            PieceOutcome::NoRoom | PieceOutcome::Failed => self.try_again(id, piece),
        }
        None
    }

    /// Has a piece wait for another call, unless it was tried too often.
    fn try_again(&mut self, id: &JobId, piece: u32) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let Some(state) = entry.pieces.get_mut(piece as usize) else { return };
        if state.result.is_some() {
            return;
        }
        if state.tries >= MAX_TRIES {
            self.end(id, JobOutcome::Failed);
            return;
        }
        state.waits = true;
    }

    fn failed(&mut self, number: CallNumber, failure: CallFailure) {
        let Some(call) = self.calls.swap_remove(&number) else { return };
        let now = self.now;
        if let Some(maker) = self.makers.get_mut(&call.maker)
            && maker.call == Some(number)
        {
            match failure {
                CallFailure::Refused => maker.refused(now),
                CallFailure::Lost => maker.failed(now),
            }
        }
        self.forget_bytes(&call.maker, call.bytes);
        for (id, piece) in call.items {
            if failure == CallFailure::Refused {
                self.uncount(&id, piece);
            }
            self.try_again(&id, piece);
        }
    }

    /// Takes back the count of a try that never ran.
    fn uncount(&mut self, id: &JobId, piece: u32) {
        let state = self.jobs.get_mut(id).and_then(|e| e.pieces.get_mut(piece as usize));
        if let Some(state) = state {
            state.tries = state.tries.saturating_sub(1);
        }
    }

    /// Ends a job: its caller is told, and results that it does not get are freed.
    fn end(&mut self, id: &JobId, outcome: JobOutcome) {
        let Some(entry) = self.jobs.swap_remove(id) else { return };
        if !matches!(outcome, JobOutcome::Done(_)) {
            self.release(entry.pieces.into_iter().filter_map(|p| p.result).collect());
        }
        self.ended.insert(id.clone(), (self.now, outcome.clone()));
        self.actions.push(Action::Answer { job: id.clone(), outcome });
    }

    /// Ends jobs whose time has passed, and forgets what is old.
    fn expire(&mut self) {
        let (now, shortest) = (self.now, call_time(&self.pool, 1));
        let late = |e: &Entry| e.is_waiting() && e.is_idle() && now + shortest > e.end;
        let ended = self.jobs.iter().filter(|(_, e)| late(e) || e.end <= now);
        let ended: Vec<JobId> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.end(&id, JobOutcome::Late);
        }
        self.ended.retain(|_, (at, _)| now.since(*at) < KEEP_OUTCOME);
        self.mark_overdue();
        let old: Vec<Handle> =
            self.kept.iter().filter(|(_, k)| k.until <= now).map(|(h, _)| h.clone()).collect();
        for handle in old {
            if let Some(kept) = self.kept.swap_remove(&handle) {
                self.forget_bytes(&kept.maker, kept.bytes);
            }
        }
    }

    fn overdue_at(&self, call: &Call) -> Instant {
        call.started + call.expected * OVERDUE + OVERDUE_SLACK
    }

    /// Has the pieces of calls that take too long done elsewhere too.
    fn mark_overdue(&mut self) {
        let overdue: Vec<CallNumber> = self
            .calls
            .iter()
            .filter(|(_, c)| !c.overdue && self.overdue_at(c) <= self.now)
            .map(|(n, _)| *n)
            .collect();
        for number in overdue {
            let Some(call) = self.calls.get_mut(&number) else { continue };
            call.overdue = true;
            let (items, maker, expected) = (call.items.clone(), call.maker.clone(), call.expected);
            if let Some(maker) = self.makers.get_mut(&maker) {
                maker.busy_until = self.now + expected;
            }
            for (id, piece) in items {
                self.try_again(&id, piece);
            }
        }
    }

    /// Returns what the wait of a job of `priority` rests on.
    fn load(&mut self, priority: u16) -> Load {
        let now = self.now;
        let above = self.arrivals.above(now, priority);
        let counted = || self.makers.values().filter(|m| m.counts(now));
        let until_free = |m: &Maker| match m.call {
            Some(_) => m.busy_until.since(now),
            None => Duration::ZERO,
        };
        let waiting = self.jobs.values().filter(|e| e.job.priority <= priority);
        Load {
            makers: counted().map(|m| 1.0 / m.speed.max(0.5)).sum(),
            until_free: counted().map(until_free).min().unwrap_or_default(),
            ahead: waiting.map(|e| f64::from(e.waiting())).sum(),
            above,
        }
    }

    /// Gives free makers calls, as long as pieces wait.
    fn dispatch(&mut self) {
        loop {
            let order = self.order();
            let Some(first) = order.first() else { return };
            let Some(maker) = self.choose(first) else { return };
            let items = self.fill(&order, &maker);
            if items.is_empty() {
                return;
            }
            self.start(maker, items);
        }
    }

    /// Returns the jobs with waiting pieces, the most urgent first.
    fn order(&self) -> Vec<JobId> {
        let mut waiting: Vec<&Entry> = self.jobs.values().filter(|e| e.is_waiting()).collect();
        waiting.sort_by_key(|e| (e.job.priority, e.due, e.arrived));
        waiting.into_iter().map(|e| e.job.id.clone()).collect()
    }

    /// Returns the free maker that is best for a job.
    fn choose(&self, id: &JobId) -> Option<TargetName> {
        let job = &self.jobs.get(id)?.job;
        let free = self.makers.iter().filter(|(_, m)| m.is_free(self.now) && self.has_room(m, job));
        let fast = self.makers.values().any(|m| m.counts(self.now));
        let usable = free.filter(|(_, m)| !fast || !m.is_slow(self.now));
        let near = |m: &Maker| job.centre.as_ref().is_none_or(|c| *c == m.centre);
        let best = usable.min_by(|(_, a), (_, b)| {
            let far = (!near(a)).cmp(&!near(b));
            far.then(a.speed.total_cmp(&b.speed)).then(a.held.cmp(&b.held))
        });
        best.map(|(name, _)| name.clone())
    }

    fn has_room(&self, maker: &Maker, job: &Job) -> bool {
        maker.held == 0 || maker.held + job.bytes <= self.pool.room
    }

    /// Returns the pieces of a call to `maker`, from the most urgent on.
    ///
    /// Where several makers are free, each gets its share of what waits.
    fn fill(&mut self, order: &[JobId], maker: &TargetName) -> Vec<(JobId, u32)> {
        let free = self
            .makers
            .values()
            .filter(|m| m.is_free(self.now) && m.counts(self.now))
            .count()
            .max(1);
        let total: usize = self.jobs.values().map(|e| e.waiting() as usize).sum();
        let share = total.div_ceil(free).clamp(1, self.pool.batch);
        let Some(held) = self.makers.get(maker).map(|m| m.held) else { return Vec::new() };
        let (mut items, mut bytes) = (Vec::new(), held);
        for id in order {
            let Some(entry) = self.jobs.get_mut(id) else { continue };
            for (piece, state) in entry.pieces.iter_mut().enumerate().filter(|(_, s)| s.waits) {
                // The first job is not split: its request waits for all of its pieces.
                let full = items.len() >= share && items.first().is_some_and(|(f, _)| f != id);
                let room =
                    items.is_empty() && held == 0 || bytes + entry.job.bytes <= self.pool.room;
                if full || items.len() >= self.pool.batch || !room {
                    return items;
                }
                bytes += entry.job.bytes;
                state.waits = false;
                state.tries += 1;
                items.push((id.clone(), u32::try_from(piece).unwrap_or(u32::MAX)));
            }
        }
        items
    }

    fn start(&mut self, maker: TargetName, items: Vec<(JobId, u32)>) {
        let number = CallNumber(self.next);
        self.next += 1;
        let expected = call_time(&self.pool, items.len());
        let entries = items.iter().filter_map(|(id, piece)| Some((self.jobs.get(id)?, *piece)));
        let item = |(entry, piece): (&Entry, u32)| Item {
            job: entry.job.id.clone(),
            piece,
            key: entry.job.key.clone(),
            inputs: entry.job.inputs.clone(),
            left: entry.end.since(self.now),
        };
        let bytes = entries.clone().map(|(e, _)| e.job.bytes).sum();
        let wire: Vec<Item> = entries.map(item).collect();
        if let Some(maker) = self.makers.get_mut(&maker) {
            maker.call = Some(number);
            maker.busy_until = self.now + expected.mul_f64(maker.speed.clamp(0.5, 4.0));
            maker.held += bytes;
        }
        let call = Call {
            maker: maker.clone(),
            items,
            bytes,
            started: self.now,
            expected,
            overdue: false,
        };
        self.calls.insert(number, call);
        let limit = expected * 6 + Duration::from_millis(500);
        self.actions.push(Action::Run { call: number, maker, items: wire, limit });
    }
}

impl Entry {
    fn is_waiting(&self) -> bool {
        self.pieces.iter().any(|p| p.waits)
    }

    /// Tells whether none of its pieces is being done or is done.
    fn is_idle(&self) -> bool {
        self.pieces.iter().all(|p| p.waits && p.result.is_none())
    }

    fn waiting(&self) -> u32 {
        u32::try_from(self.pieces.iter().filter(|p| p.waits).count()).unwrap_or(u32::MAX)
    }

    /// Returns the results, once all are there.
    fn results(&self) -> Option<Vec<Handle>> {
        self.pieces.iter().map(|p| p.result.clone()).collect()
    }
}

impl PieceOutcome {
    fn into_result(self) -> Option<Handle> {
        match self {
            Self::Done(handle) => Some(handle),
            Self::Late | Self::Gone | Self::NoRoom | Self::Failed => None,
        }
    }
}
