//! Cost of applying claims, and size and coding time of a snapshot of 100,000 claims.
#![allow(missing_docs)]

use std::hint::black_box;
use std::sync::Arc;

use bytes::Bytes;
use criterion::BatchSize;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use hawthornkeel_core::ids::AttemptNumber;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::WorkspaceName;
use hawthornkeel_core::state::State;
use hawthornkeel_core::state::command::Claim;
use hawthornkeel_core::state::command::ClaimKey;
use hawthornkeel_core::state::command::Claimant;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Settle;
use hawthornkeel_core::state::command::Settlement;
use hawthornkeel_core::state::command::TimestampedCommand;
use hawthornkeel_core::time::WallTime;

/// Number of claims in the snapshot.
const CLAIMS: u64 = 100_000;

/// Size of a settled claim's answer, in bytes.
const ANSWER_BYTES: usize = 64;

/// Number of claims applied and settled in one iteration.
const BATCH: u64 = 1_000;

fn claim_and_settle(number: u64) -> [TimestampedCommand; 2] {
    let key = ClaimKey {
        workspace: WorkspaceName::new("kumamoto"),
        key: Arc::from(format!("0d6a2f3c-9b1e-4c57-8a10-{number:012x}")),
        stage: StageIndex(4),
    };
    let claimant = Claimant {
        instance: InstanceName::new("entry-1"),
        request: RequestId(u128::from(number) << 64 | 0x5bd1_e995),
        attempt: AttemptNumber(0),
    };
    let settlement = Settlement::Done(Bytes::from(vec![b'a'; ANSWER_BYTES]));
    let settle = Settle { key: key.clone(), claimant: claimant.clone(), settlement };
    let claim = Claim { key, digest: number, claimant, settle_ms: 30_000 };
    let at = WallTime::from_millis(1_700_000_000_000 + number);
    [
        TimestampedCommand { timestamp: at, command: Command::Claim(claim) },
        TimestampedCommand { timestamp: at, command: Command::Settle(settle) },
    ]
}

fn filled_state() -> State {
    let mut state = State::default();
    for number in 0..CLAIMS {
        for command in claim_and_settle(number) {
            state.apply(LogIndex(number + 1), &command);
        }
    }
    state
}

fn state(c: &mut Criterion) {
    let state = filled_state();
    let bytes = postcard::to_stdvec(&state).expect("a state encodes");
    println!(
        "snapshot: {} bytes for {CLAIMS} claims with {ANSWER_BYTES}-byte answers",
        bytes.len()
    );

    let mut group = c.benchmark_group("state");
    let commands: Vec<TimestampedCommand> =
        (CLAIMS..CLAIMS + BATCH).flat_map(claim_and_settle).collect();
    group.throughput(Throughput::Elements(commands.len() as u64));
    group.bench_function("apply", |b| {
        b.iter_batched_ref(
            || state.clone(),
            |state| {
                for command in &commands {
                    black_box(state.apply(LogIndex(CLAIMS + 1), command));
                }
            },
            BatchSize::PerIteration,
        );
    });
    group.throughput(Throughput::Elements(CLAIMS));
    group.sample_size(10);
    group.bench_function("encode", |b| b.iter(|| postcard::to_stdvec(black_box(&state))));
    group.bench_function("decode", |b| {
        b.iter(|| postcard::from_bytes::<State>(black_box(&bytes)).expect("a state decodes"));
    });
    group.finish();
}

criterion_group!(benches, state);
criterion_main!(benches);
