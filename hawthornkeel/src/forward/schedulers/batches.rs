//! Calls that run batches of stage pieces on targets or free their results.

use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::stages::job::Handle;
use hawthornkeel_core::stages::job::SchedulerName;
use hawthornkeel_core::stages::scheduler::CallFailure;
use hawthornkeel_core::stages::scheduler::CallNumber;
use hawthornkeel_core::stages::scheduler::Input;
use hawthornkeel_core::stages::scheduler::Item;
use hawthornkeel_core::stages::scheduler::PieceOutcome;
use hawthornkeel_platform::fields;
use hawthornkeel_platform::pieces;
use hawthornkeel_platform::pieces::PieceReply;

use crate::clock::boot_now;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::internal_request::InternalRequest;
use crate::forward::internal_request::InternalResponse;
use crate::forward::measures;
use crate::forward::schedulers::Schedulers;
use crate::forward::target_calls::CallKind;

/// Timeout of a call that frees results.
const FREE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum time for which results wait for the end of their target's pause to be freed.
///
/// Targets discard results by themselves after a few seconds.
const MAX_FREE_DELAY: Duration = Duration::from_secs(2);

impl Schedulers {
    /// Runs a batch of pieces on a target and feeds the outcome to the scheduler.
    pub(super) async fn run_batch(
        self,
        name: SchedulerName,
        number: CallNumber,
        worker: TargetName,
        items: Vec<Item>,
        timeout: Duration,
    ) {
        let started = Instant::now();
        let count = items.len();
        let response = self.send_batch(&worker, &items, started + timeout).await;
        let input = batch_input(number, &response);
        let ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let succeeded = matches!(input, Input::Answered(..));
        measures::pieces_called(&name.pool, succeeded, started.elapsed());
        if succeeded {
            tracing::info!(event = "pieces-done", desk = %name, maker = %worker, count, ms);
        } else {
            tracing::info!(
                event = "pieces-failed",
                desk = %name,
                maker = %worker,
                count,
                ms,
                status = response.as_ref().ok().map(|r| r.status),
                failure = response.as_ref().err().map(tracing::field::display),
            );
        }
        self.handle_input(&name, input);
    }

    async fn send_batch(
        &self,
        worker: &TargetName,
        items: &[Item],
        deadline: Instant,
    ) -> Result<InternalResponse, ExchangeError> {
        let context = &self.inner.context;
        let work = context.balancer.borrow().work_at(boot_now(), worker);
        let (run, _) = work.ok_or_else(|| ExchangeError::NotSent("not usable".to_owned()))?;
        let pieces: Vec<pieces::Piece<'_>> = items.iter().map(wire_piece).collect();
        let body =
            pieces::encode_run(&pieces).map_err(|e| ExchangeError::NotSent(e.to_string()))?;
        let request = InternalRequest {
            address: run.address,
            path: pieces::RUN_PATH,
            body: Some(&body),
            fields: &[(fields::EXPECTED_TARGET, worker.as_str())],
            deadline,
        };
        context.call_target(&run, CallKind::Pieces, &request).await
    }

    pub(super) async fn free_results(self, worker: TargetName, results: Vec<Handle>) {
        let context = &self.inner.context;
        let work = || context.balancer.borrow().work_at(boot_now(), &worker);
        if let Some((_, Some(opens))) = work() {
            let wait = opens.since(boot_now());
            if wait > MAX_FREE_DELAY {
                log_unfreed(&worker, results.len(), "paused");
                return;
            }
            monoio::time::sleep(wait).await;
        }
        let Some((run, None)) = work() else {
            log_unfreed(&worker, results.len(), "not usable");
            return;
        };
        let Ok(body) = pieces::encode_free(&results) else { return };
        let request = InternalRequest {
            address: run.address,
            path: pieces::FREE_PATH,
            body: Some(&body),
            fields: &[(fields::EXPECTED_TARGET, worker.as_str())],
            deadline: Instant::now() + FREE_TIMEOUT,
        };
        if let Err(error) = context.call_target(&run, CallKind::Release, &request).await {
            log_unfreed(&worker, results.len(), &error.to_string());
        }
    }
}

/// Returns what the response to a batch tells its scheduler.
fn batch_input(number: CallNumber, response: &Result<InternalResponse, ExchangeError>) -> Input {
    match response {
        Ok(response) if response.status == 200 => match pieces::decode_run(&response.body) {
            Ok(results) => {
                Input::Answered(number, results.into_iter().map(piece_outcome).collect())
            }
            Err(_) => Input::Failed(number, CallFailure::Lost),
        },
        // Another target listens on this address: the one wanted is gone and still listed.
        Ok(response) if response.status == 421 && !response.resent => {
            Input::Failed(number, CallFailure::Unreached)
        }
        Ok(response) if response.not_run => Input::Failed(number, CallFailure::Refused),
        Err(error) if error.is_not_run() => Input::Failed(number, CallFailure::Unreached),
        Ok(_) | Err(_) => Input::Failed(number, CallFailure::Lost),
    }
}

fn log_unfreed(worker: &TargetName, count: usize, failure: &str) {
    tracing::info!(event = "results-unfreed", maker = %worker, count, failure);
}

fn piece_outcome(result: PieceReply) -> PieceOutcome {
    match result {
        PieceReply::Result(handle) => PieceOutcome::Done(handle),
        PieceReply::Late => PieceOutcome::Late,
        PieceReply::Gone => PieceOutcome::Gone,
        PieceReply::OutOfMemory => PieceOutcome::OutOfMemory,
        PieceReply::Failed => PieceOutcome::Failed,
    }
}

fn wire_piece(item: &Item) -> pieces::Piece<'_> {
    let inputs = (!item.inputs.is_empty()).then_some(&*item.inputs);
    pieces::Piece {
        request: &item.job.request,
        stage: item.job.stage,
        piece: item.piece,
        remaining_ms: u64::try_from(item.remaining.as_millis()).unwrap_or(u64::MAX),
        key: item.key.as_deref(),
        inputs,
    }
}
