//! Calls to the targets that do stages.

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

use crate::forward::calls;
use crate::forward::calls::Call;
use crate::forward::calls::Reply;
use crate::forward::desks::Desks;
use crate::forward::exchange::Failure;

/// Time for a target to take in which results are not needed.
const FREE_TIME: Duration = Duration::from_millis(1_000);

impl Desks {
    /// Calls a target for pieces and takes in what came of them.
    pub(super) async fn call(
        self,
        name: SchedulerName,
        number: CallNumber,
        maker: TargetName,
        items: Vec<Item>,
        limit: Duration,
    ) {
        let started = Instant::now();
        let count = items.len();
        let reply = self.post(&maker, &items, started + limit).await;
        let input = match &reply {
            Ok(reply) if reply.status == 200 => match pieces::decode_run(&reply.body) {
                Ok(done) => Input::Answered(number, done.into_iter().map(outcome).collect()),
                Err(_) => Input::Failed(number, CallFailure::Lost),
            },
            // Another target has its address: it is gone, though the list names it for a while.
            Ok(reply) if reply.status == 421 => Input::Failed(number, CallFailure::Unreached),
            Ok(reply) if reply.not_run => Input::Failed(number, CallFailure::Refused),
            Err(failure) if failure.is_not_run() => Input::Failed(number, CallFailure::Unreached),
            Ok(_) | Err(_) => Input::Failed(number, CallFailure::Lost),
        };
        let ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        match (&reply, &input) {
            (_, Input::Answered(..)) => {
                tracing::info!(event = "pieces-done", desk = %name, %maker, count, ms);
            }
            (Ok(reply), _) => {
                tracing::info!(event = "pieces-failed", desk = %name, %maker, count, ms, status = reply.status);
            }
            (Err(failure), _) => {
                tracing::info!(event = "pieces-failed", desk = %name, %maker, count, ms, %failure);
            }
        }
        self.input(&name, input);
    }

    async fn post(
        &self,
        maker: &TargetName,
        items: &[Item],
        until: Instant,
    ) -> Result<Reply, Failure> {
        let address = self.inner.context.board.borrow().address(maker);
        let address = address.ok_or_else(|| Failure::Unreached("not listed".to_owned()))?;
        let pieces: Vec<pieces::Piece<'_>> = items.iter().map(piece).collect();
        let body = pieces::encode_run(&pieces).map_err(|e| Failure::Unreached(e.to_string()))?;
        let call = Call {
            address,
            path: pieces::RUN_PATH,
            body: Some(&body),
            fields: &[(fields::EXPECTED_TARGET, maker.as_str())],
            until,
        };
        calls::make(&self.inner.context.exchanges, &call).await
    }

    pub(super) async fn free(self, maker: TargetName, results: Vec<Handle>) {
        let Some(address) = self.inner.context.board.borrow().address(&maker) else { return };
        let Ok(body) = pieces::encode_free(&results) else { return };
        let call = Call {
            address,
            path: pieces::FREE_PATH,
            body: Some(&body),
            fields: &[(fields::EXPECTED_TARGET, maker.as_str())],
            until: Instant::now() + FREE_TIME,
        };
        if let Err(failure) = calls::make(&self.inner.context.exchanges, &call).await {
            tracing::info!(event = "results-unfreed", %maker, count = results.len(), %failure);
        }
    }
}

fn outcome(reply: PieceReply) -> PieceOutcome {
    match reply {
        PieceReply::Result(handle) => PieceOutcome::Done(handle),
        PieceReply::Late => PieceOutcome::Late,
        PieceReply::Gone => PieceOutcome::Gone,
        PieceReply::OutOfMemory => PieceOutcome::OutOfMemory,
        PieceReply::Failed => PieceOutcome::Failed,
    }
}

fn piece(item: &Item) -> pieces::Piece<'_> {
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
