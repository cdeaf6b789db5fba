//! Requests to targets: the only way to send one, so that what an answer says about its target is
//! known whichever request it answers.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::fleet::TargetRun;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::limit::RequestRate;
use hawthornkeel_core::placement::load::ResponseTime;
use hawthornkeel_core::placement::load::StatedLoad;
use hawthornkeel_core::placement::notice::Brittleness;
use hawthornkeel_core::placement::notice::DroppedNotice;
use hawthornkeel_core::placement::notice::Notice;
use hawthornkeel_core::placement::notice::NoticeChange;
use hawthornkeel_core::placement::notice::PauseWait;
use hawthornkeel_core::placement::notice::return_delay;
use hawthornkeel_platform::fields;
use hawthornkeel_platform::load;
use hawthornkeel_platform::load::LoadField;
use hawthornkeel_platform::notices;
use hawthornkeel_platform::notices::AnswerNotices;
use hawthornkeel_platform::notices::BrittleField;
use hawthornkeel_platform::notices::LimitField;
use hawthornkeel_platform::notices::PauseField;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::boot_now;
use crate::clock::millis;
use crate::forward::context::Context;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::http_client::OutgoingRequest;
use crate::forward::http_client::SendRules;
use crate::forward::http_client::TargetResponse;
use crate::forward::internal_request;
use crate::forward::internal_request::InternalRequest;
use crate::forward::internal_request::InternalResponse;
use crate::forward::load_counts::LoadEvent;
use crate::forward::plan;
use crate::forward::request::IncomingRequest;
use crate::telemetry;

/// Stated speed of a machine on which work takes the normal time.
const NORMAL_SPEED: f64 = 100.0;

/// What is asked of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// To run a caller's request.
    Request,
    /// To resume a caller's stream.
    Resumption,
    /// To run pieces of stages.
    Pieces,
    /// To free results of stages.
    Release,
    /// To report about its process.
    Report,
}

impl fmt::Display for CallKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Request => "request",
            Self::Resumption => "resumption",
            Self::Pieces => "pieces",
            Self::Release => "release",
            Self::Report => "report",
        })
    }
}

/// Request of a caller to a target.
pub(super) struct TargetCall<'a> {
    /// Request.
    pub(super) request: &'a IncomingRequest,
    /// Target.
    pub(super) target: &'a ChosenTarget,
    /// What is asked of the target.
    pub(super) kind: CallKind,
}

impl TargetCall<'_> {
    /// Returns whether the request goes on with a stream.
    pub(super) fn is_bound(&self) -> bool {
        self.kind == CallKind::Resumption || self.request.origin.is_some()
    }
}

/// Returns what an answer says about its target.
pub(super) fn answer_notices(status: StatusCode, headers: &HeaderMap) -> AnswerNotices {
    notices::parse(status.as_u16(), |name| headers.get_all(name).iter().map(HeaderValue::as_bytes))
}

/// Returns whether an answer asks for a pause.
pub(super) fn asks_for_pause(response: &TargetResponse) -> bool {
    let notices = answer_notices(response.status, &response.headers);
    matches!(notices.pause, Some(PauseField::Time(_)))
}

impl Context {
    /// Sends a caller's request to a target and reads the head of the response.
    ///
    /// # Errors
    /// Returns the reason if there is no response before the deadline.
    pub(super) async fn send_to_target(
        &self,
        call: &TargetCall<'_>,
        outgoing: &OutgoingRequest,
        deadline: Instant,
    ) -> Result<TargetResponse, ExchangeError> {
        let (run, kind, asked) = (call.target.run(), call.kind, boot_now());
        let sent = Cell::new(asked);
        let observe = |status: StatusCode, headers: &HeaderMap| {
            self.record_notices(&run, kind, asked, status, headers);
        };
        let begin = || {
            sent.set(boot_now());
            self.may_send(&run, kind) && self.begin_send(call)
        };
        let may_send = || self.may_send(&run, kind) && self.allows_version(call);
        let rules = SendRules {
            observe: &observe,
            may_send: &may_send,
            begin: &begin,
            ..SendRules::default()
        };
        let response = self.http_client.send_by(run.address, outgoing, deadline, rules).await?;
        self.record_answer(call, sent.get(), &response);
        if response.status.is_success() && !call.target.cold && kind == CallKind::Request {
            let now = boot_now();
            let time = now.since(sent.get());
            let response = ResponseTime { route: &call.request.route.name, time };
            self.balancer.borrow_mut().record_latency(now, &run, response);
        }
        Ok(response)
    }

    /// Sends a request of the system itself to a target and returns the complete response.
    ///
    /// # Errors
    /// Returns the reason if there is no complete response before the deadline.
    pub async fn call_target(
        &self,
        run: &TargetRun,
        kind: CallKind,
        request: &InternalRequest<'_>,
    ) -> Result<InternalResponse, ExchangeError> {
        let sent = boot_now();
        let observe = |status: StatusCode, headers: &HeaderMap| {
            self.record_notices(run, kind, sent, status, headers);
        };
        let may_send = || self.may_send(run, kind);
        let rules = SendRules {
            observe: &observe,
            may_send: &may_send,
            begin: &may_send,
            ..SendRules::default()
        };
        internal_request::send_by(&self.http_client, request, rules).await
    }

    /// Returns whether a process has neither said that it leaves nor asked for a pause that goes on.
    ///
    /// It may have said so since it was chosen, while a connection was opened or broke.
    fn may_send(&self, run: &TargetRun, kind: CallKind) -> bool {
        kind == CallKind::Report || !self.balancer.borrow().wants_nothing(boot_now(), run)
    }

    fn record_notices(
        &self,
        run: &TargetRun,
        kind: CallKind,
        sent: hawthornkeel_core::time::Instant,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let AnswerNotices { leaving, pause, limit, brittle } = answer_notices(status, headers);
        let pause = match pause {
            Some(PauseField::Time(time)) => Some(time),
            Some(PauseField::Unreadable) => {
                count("pause-unreadable");
                None
            }
            None => None,
        };
        let limit = match limit {
            Some(LimitField::Rate(rate)) => Some(RequestRate(rate)),
            Some(LimitField::Unreadable) => {
                count("limit-unreadable");
                None
            }
            None => None,
        };
        let brittle = match brittle {
            Some(BrittleField::Rejections(rejections)) => Brittleness::Named(rejections),
            Some(BrittleField::Unreadable) => {
                count("brittle-unreadable");
                Brittleness::Unreadable
            }
            None => Brittleness::Absent,
        };
        let notice = Notice { leaving, pause, limit, brittle };
        let changes = self.balancer.borrow_mut().record_notice(boot_now(), run, sent, notice);
        for change in changes {
            log_change(run, kind, status, change);
        }
        self.record_load(run, headers);
    }

    /// Records the load that a target states; a value that can't be read withdraws nothing.
    fn record_load(&self, run: &TargetRun, headers: &HeaderMap) {
        let values = headers.get_all(fields::LOAD).iter().map(HeaderValue::as_bytes);
        match load::parse(values) {
            Some(LoadField::Stated(load::StatedLoad { running, waiting, slots, speed })) => {
                let speed = speed.map(|s| f64::from(s) / NORMAL_SPEED);
                let load = StatedLoad { running, waiting, slots, speed };
                let is_plausible = self.balancer.borrow_mut().record_load(boot_now(), run, load);
                self.load_counts.record(match is_plausible {
                    true => LoadEvent::Read,
                    false => LoadEvent::Unreadable,
                });
            }
            Some(LoadField::Unreadable) => self.load_counts.record(LoadEvent::Unreadable),
            None => {}
        }
    }

    /// Returns the time after which the caller of a request should come back, if all targets of its
    /// pool have asked for a pause.
    pub(super) fn paused_delay(&self, request: &IncomingRequest) -> Option<Duration> {
        let now = boot_now();
        let opens = self.balancer.borrow().pool_opens_at(now, &request.pool.name)?;
        Some(caller_delay(request, opens.since(now)))
    }

    /// Returns whether a request that has waited for some time should wait for the end of a pause.
    pub(super) fn waits_for_pause(
        &self,
        request: &IncomingRequest,
        waited: Duration,
        wait: Duration,
    ) -> bool {
        let times = PauseWait {
            waited,
            wait,
            latency: self.expected_latency(&request.pool.name, plan::DEFAULT_LATENCY),
            left: request.objective_deadline.saturating_duration_since(Instant::now()),
            objective: request.route.objective,
        };
        times.is_worthwhile()
    }

    /// Returns the time after which the caller of a request should come back, if a pause of all
    /// targets of its pool ends too late for it.
    pub(super) fn pause_too_long(&self, request: &IncomingRequest) -> Option<Duration> {
        let now = boot_now();
        let opens = self.balancer.borrow().pool_opens_at(now, &request.pool.name)?;
        let left = opens.since(now);
        (!self.waits_for_pause(request, Duration::ZERO, left)).then_some(left)
    }
}

/// Returns the time after which the caller of a request should come back when a pause ends in
/// `left`, and counts the request as refused for it.
pub(super) fn caller_delay(request: &IncomingRequest, left: Duration) -> Duration {
    metrics::counter!(telemetry::PAUSED_REFUSALS).increment(1);
    return_delay(left, xxh3_64(request.id.as_bytes()))
}

/// Logs what is no longer believed after a new list.
pub(super) fn log_dropped(dropped: &[DroppedNotice]) {
    for DroppedNotice { run, leaving, paused } in dropped {
        tracing::info!(
            event = "target-notice-dropped",
            target = %run.name,
            address = %run.address,
            born = run.born,
            leaving_ms = leaving.map(millis),
            paused_ms = paused.map(millis),
        );
    }
}

fn log_change(run: &TargetRun, kind: CallKind, status: StatusCode, change: NoticeChange) {
    let TargetRun { name, address, born } = run;
    let status = status.as_u16();
    match change {
        NoticeChange::Leaving => {
            count("leaving");
            tracing::info!(
                event = "target-leaving",
                target = %name,
                %address,
                born,
                answer = %kind,
                status,
            );
        }
        NoticeChange::Limited { limit } => {
            count(if limit.is_some() { "limit" } else { "limit-withdrawn" });
            tracing::info!(
                event = "target-limited",
                target = %name,
                %address,
                born,
                limit = limit.map(tracing::field::display),
                answer = %kind,
                status,
            );
        }
        NoticeChange::Brittle { rejections } => {
            count(if rejections.is_some() { "brittle" } else { "brittle-withdrawn" });
            tracing::info!(
                event = "target-brittle",
                target = %name,
                %address,
                born,
                rejections,
                answer = %kind,
                status,
            );
        }
        NoticeChange::Paused { pause, bounded, extended } => {
            count(if bounded { "pause-bounded" } else { "pause" });
            tracing::info!(
                event = "target-paused",
                target = %name,
                %address,
                born,
                pause_ms = millis(pause),
                bounded,
                age_ms = extended.map(millis),
                answer = %kind,
                status,
            );
        }
    }
}

fn count(notice: &'static str) {
    metrics::counter!(telemetry::TARGET_NOTICES, "notice" => notice).increment(1);
}
