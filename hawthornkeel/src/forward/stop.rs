//! Planned stop of a forwarding entry: which requests are begun and when others are given up.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use hawthornkeel_core::names::RouteName;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_core::stop::PendingRequest;
use hawthornkeel_core::stop::PlannedStop;
use hawthornkeel_core::stop::RecentDurations;
use hawthornkeel_core::stop::RequestTimes;
use hawthornkeel_core::stop::StopTimes;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;

use crate::clock::boot_now;
use crate::clock::millis;
use crate::forward::progress::RequestProgress;
use crate::forward::request::IncomingRequest;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::signal::Signal;
use crate::http::signal::Wait;

/// Retry delay for callers of a stopping entry; other entries can serve them at once.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Interval at which a waiting request is compared with the time left.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// State of the planned stop of an entry.
#[derive(Default)]
pub struct EntryStop {
    planned: Cell<Option<PlannedStop>>,
    begun: Signal,
    /// Set when requests in progress get their final response.
    finish: Signal,
    durations: RefCell<IndexMap<RouteName, RouteDurations>>,
}

/// Recent durations of the requests of a route.
#[derive(Default)]
struct RouteDurations {
    /// From arrival to the end of the response.
    whole: RecentDurations,
    /// From the end of the stages to the end of the response.
    unstaged: RecentDurations,
}

impl EntryStop {
    /// Creates the state of an entry that is not stopping; `finish` is its server's signal.
    pub fn new(finish: Signal) -> Self {
        Self { finish, ..Self::default() }
    }

    /// Begins the stop.
    pub fn begin(&self, times: &StopTimes) {
        self.planned.set(Some(PlannedStop::new(boot_now(), times)));
        self.begun.set();
    }

    /// Returns whether a stop is in progress.
    pub fn is_begun(&self) -> bool {
        self.planned.get().is_some()
    }

    /// Returns the time until requests in progress get their final response, `None` without a stop.
    pub fn time_left(&self) -> Option<Duration> {
        let left = self.planned.get()?.time_left(boot_now());
        Some(if self.finish.is_set() { Duration::ZERO } else { left })
    }

    /// Returns whether time is left until requests in progress get their final response.
    pub fn has_time(&self) -> bool {
        self.time_left().is_none_or(|left| !left.is_zero())
    }

    /// Waits until requests in progress get their final response.
    pub fn finish(&self) -> Wait {
        self.finish.wait()
    }

    /// Records a request whose target responded completely and with success.
    pub fn record(&self, request: &IncomingRequest, progress: &RequestProgress) {
        let times = request_times(request, progress);
        let mut durations = self.durations.borrow_mut();
        let route = durations.entry(request.route.name.clone()).or_default();
        route.whole.record(times);
        route.unstaged.record(times.after(progress.stages_done));
    }

    /// Records a request that was abandoned while its target responded.
    pub fn record_abandoned(&self, request: &IncomingRequest, progress: &RequestProgress) {
        let times = request_times(request, progress);
        if let Some(route) = self.durations.borrow_mut().get_mut(&request.route.name) {
            route.whole.record_abandoned(times);
            route.unstaged.record_abandoned(times.after(progress.stages_done));
        }
    }

    /// Forgets the durations of routes that are not in force.
    pub fn retain(&self, is_in_force: impl Fn(&RouteName) -> bool) {
        self.durations.borrow_mut().retain(|name, _| is_in_force(name));
    }

    /// Admits a request that just arrived, unless a stop would end before its response.
    ///
    /// # Errors
    /// Returns the response to a request that is not begun.
    pub fn admit(&self, request: &IncomingRequest) -> Result<(), Problem> {
        let Some(stop) = self.planned.get() else { return Ok(()) };
        let now = boot_now();
        let pending = pending(request, now);
        let begins = |route: &RouteDurations| stop.begins(now, &pending, &route.whole);
        if !self.finish.is_set() && self.with_durations(request, begins) {
            return Ok(());
        }
        self.log_given_up(request, RunStatus::NotRun);
        Err(not_begun())
    }

    /// Returns whether a request may be sent to a target: no stop would end before its response.
    pub fn allows_send(&self, request: &IncomingRequest) -> bool {
        let Some(stop) = self.planned.get() else { return true };
        let (now, objective) = (boot_now(), request.route.objective);
        let pending = pending(request, now);
        let goes_on =
            |route: &RouteDurations| stop.goes_on(now, &pending, &route.unstaged, objective);
        !self.finish.is_set() && self.with_durations(request, goes_on)
    }

    fn with_durations(
        &self,
        request: &IncomingRequest,
        decide: impl Fn(&RouteDurations) -> bool,
    ) -> bool {
        match self.durations.borrow().get(&request.route.name) {
            Some(route) => decide(route),
            None => decide(&RouteDurations::default()),
        }
    }

    /// Waits until a stop gives a request up: once it has no time left to be sent to a target, or,
    /// if it may have run, when requests in progress get their final response.
    pub async fn given_up(&self, request: &IncomingRequest) -> Problem {
        self.begun.wait().await;
        while !self.finish.is_set() {
            if request.run_status() == RunStatus::NotRun && !self.allows_send(request) {
                break;
            }
            monoio::select! {
                () = self.finish.wait() => {}
                () = monoio::time::sleep(POLL_INTERVAL) => {}
            }
        }
        self.give_up(request)
    }

    /// Returns the final response to a request that a stop gives up.
    fn give_up(&self, request: &IncomingRequest) -> Problem {
        let problem = match request.run_status() {
            RunStatus::NotRun => not_begun(),
            status => Problem::new(Code::OutcomeUnknown, status),
        };
        self.log_given_up(request, problem.ran);
        problem
    }

    fn log_given_up(&self, request: &IncomingRequest, ran: RunStatus) {
        let durations = self.durations.borrow();
        let route = durations.get(&request.route.name);
        let predicted = route.and_then(|route| route.unstaged.predict(request.max_tokens()));
        tracing::info!(
            event = "stop-refused",
            request = %request.id,
            route = %request.route.name,
            %ran,
            waited_ms = millis(request.started.elapsed()),
            deadline_ms = millis(request.time_left()),
            predicted_ms = predicted.map(millis),
            left_ms = self.time_left().map(millis),
        );
    }
}

/// Returns what the stop considers of a request.
fn pending(request: &IncomingRequest, now: Instant) -> PendingRequest {
    PendingRequest {
        kind: request.route.kind,
        arrived: now.before(request.began.elapsed()),
        deadline: request.time_left(),
        max_tokens: request.max_tokens(),
    }
}

/// Returns the times of a request whose response has ended, from its arrival.
fn request_times(request: &IncomingRequest, progress: &RequestProgress) -> RequestTimes {
    RequestTimes {
        response_began: progress.response_began,
        ended: request.started.elapsed(),
        max_tokens: request.max_tokens(),
    }
}

/// Returns the response to a request that a stop leaves no time for.
pub fn not_begun() -> Problem {
    Problem::not_run(Code::Stopping).with_retry_after(RETRY_AFTER)
}
