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
use hawthornkeel_platform::pieces::Done;

use crate::forward::http_client::ExchangeError;
use crate::forward::internal_request;
use crate::forward::internal_request::InternalRequest;
use crate::forward::internal_request::InternalResponse;
use crate::forward::schedulers::Schedulers;

/// Timeout of a call that frees results.
const FREE_TIMEOUT: Duration = Duration::from_millis(1_000);

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
        let input = match &response {
            Ok(response) if response.status == 200 => match pieces::done(&response.body) {
                Ok(results) => {
                    Input::Answered(number, results.into_iter().map(piece_outcome).collect())
                }
                Err(_) => Input::Failed(number, CallFailure::Lost),
            },
            // Another target listens on this address: the one wanted is gone and still listed.
            Ok(response) if response.status == 421 => Input::Failed(number, CallFailure::Unreached),
            Ok(response) if response.not_run => Input::Failed(number, CallFailure::Refused),
            Err(error) if error.is_not_run() => Input::Failed(number, CallFailure::Unreached),
            Ok(_) | Err(_) => Input::Failed(number, CallFailure::Lost),
        };
        let ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        match (&response, &input) {
            (_, Input::Answered(..)) => {
                tracing::info!(event = "pieces-done", desk = %name, maker = %worker, count, ms);
            }
            (Ok(response), _) => {
                tracing::info!(
                    event = "pieces-failed",
                    desk = %name,
                    maker = %worker,
                    count,
                    ms,
                    status = response.status,
                );
            }
            (Err(error), _) => {
                tracing::info!(
                    event = "pieces-failed",
                    desk = %name,
                    maker = %worker,
                    count,
                    ms,
                    failure = %error,
                );
            }
        }
        self.handle_input(&name, input);
    }

    async fn send_batch(
        &self,
        worker: &TargetName,
        items: &[Item],
        deadline: Instant,
    ) -> Result<InternalResponse, ExchangeError> {
        let address = self.inner.context.balancer.borrow().address(worker);
        let address = address.ok_or_else(|| ExchangeError::NotSent("not listed".to_owned()))?;
        let pieces: Vec<pieces::Piece<'_>> = items.iter().map(wire_piece).collect();
        let body = pieces::run(&pieces).map_err(|e| ExchangeError::NotSent(e.to_string()))?;
        let request = InternalRequest {
            address,
            path: pieces::RUN_PATH,
            body: Some(&body),
            fields: &[(fields::TARGET, worker.as_str())],
            deadline,
        };
        internal_request::send(&self.inner.context.http_client, &request).await
    }

    pub(super) async fn free_results(self, worker: TargetName, results: Vec<Handle>) {
        let Some(address) = self.inner.context.balancer.borrow().address(&worker) else { return };
        let Ok(body) = pieces::free(&results) else { return };
        let request = InternalRequest {
            address,
            path: pieces::FREE_PATH,
            body: Some(&body),
            fields: &[(fields::TARGET, worker.as_str())],
            deadline: Instant::now() + FREE_TIMEOUT,
        };
        if let Err(error) = internal_request::send(&self.inner.context.http_client, &request).await
        {
            tracing::info!(
                event = "results-unfreed",
                maker = %worker,
                count = results.len(),
                failure = %error,
            );
        }
    }
}

fn piece_outcome(result: Done) -> PieceOutcome {
    match result {
        Done::Result(handle) => PieceOutcome::Done(handle),
        Done::Late => PieceOutcome::Late,
        Done::Gone => PieceOutcome::Gone,
        Done::Room => PieceOutcome::OutOfMemory,
        Done::Failed => PieceOutcome::Failed,
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
