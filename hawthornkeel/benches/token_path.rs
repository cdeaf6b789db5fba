//! What an entry spends on a token: processor time, added time between tokens, memory of a stream.
//!
//! An entry in a process of its own carries streams from a stand-in engine that gives a token every
//! 30 ms. Its processor time is read over a window in which all streams run, at several numbers of
//! streams, which gives a slope. The time between tokens is compared with that of streams taken from
//! the engine directly, in turns of one run. The run fails where the added p99 passes 5% of the gap.

mod child_process;

use std::cell::RefCell;
use std::env;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::entry::claims::ClaimStore;
use hawthornkeel::entry::claims::LocalState;
use hawthornkeel::entry::context::Context;
use hawthornkeel::entry::context::Dependencies;
use hawthornkeel::entry::controllers::document::apply_document;
use hawthornkeel::entry::messaging::PeerMessenger;
use hawthornkeel::entry::server::EntryServer;
use hawthornkeel::stop::StopRequest;
use hawthornkeel::target::completion::COMPLETIONS;
use hawthornkeel_config::content_hash;
use hawthornkeel_config::settings::Instance;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::document::Document;
use hawthornkeel_core::document::Pipeline;
use hawthornkeel_core::document::Pool;
use hawthornkeel_core::document::PoolKind;
use hawthornkeel_core::document::Stage;
use hawthornkeel_core::document::Workspace;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::routing::types::Lifecycle;
use hawthornkeel_core::routing::types::TargetInfo;
use hawthornkeel_fakes::behaviour::Behaviour;
use hawthornkeel_fakes::raw_client::RawClient;
use hawthornkeel_fakes::thread;
use hawthornkeel_fakes::thread::TargetThread;
use hdrhistogram::Histogram;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use monoio::time::sleep;

use crate::child_process::ChildProcess;

/// Time between the tokens of a stream, in milliseconds.
const GAP_MS: u64 = 30;

/// Added p99 between tokens, in microseconds at most: 5% of the gap.
const MAX_ADDED: i64 = 1_500;

/// Numbers of streams, the largest first: freed memory must not be measured again.
const STREAMS: [usize; 4] = [1_000, 750, 500, 250];

/// Callers at once who want whole answers.
const WHOLE: usize = 1_000;

/// Answers whose tokens come as fast as the engine writes them.
const BURSTS: u32 = 400;

/// Tokens of such an answer.
const BURST_TOKENS: u32 = 256;

/// Streams held while the time between tokens is compared.
const COMPARED: usize = 250;

/// Turns of the comparison.
const TURNS: usize = 7;

/// Time that is measured once all streams run.
const WINDOW: Duration = Duration::from_secs(2);

/// Time for all streams to begin, or to end.
const LIMIT: Duration = Duration::from_secs(20);

/// Time to open one stream after another.
const STAGGER: Duration = Duration::from_micros(500);

/// Tokens of a stream: more than any is read to.
const TOKENS: u32 = 2_000;

/// Short calls, one after another, by which the engine's limit rises before streams are opened.
const WARMING: u64 = 6_000;

/// Time for the entry to find an issuer of grants before that.
const START: Duration = Duration::from_secs(2);

/// Key of the only workspace.
const KEY: &str = "key";

type Failure = Box<dyn Error>;

fn main() -> ExitCode {
    let mut args = env::args().skip_while(|a| a != "--entry");
    let result = match args.nth(1) {
        Some(address) => run_entry(&address),
        None => measure(),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("token_path: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure() -> Result<bool, Failure> {
    let tokens = TOKENS as usize;
    let behaviour = Behaviour { tokens, token_ms: GAP_MS, ..Behaviour::default() };
    let engine = TargetThread::start(behaviour)?;
    let entry = Entry::start(engine.address)?;
    let started = entry.memory()?;
    entry.warm()?;
    let before = entry.memory()?;
    let mut points = Vec::new();
    for streams in STREAMS {
        let seen = thread::block_on(watch(streams, entry.address(), Some(&entry)))??;
        let rate = seen.gaps.tokens as f64 / WINDOW.as_secs_f64();
        let busy = seen.busy.as_secs_f64();
        let each = busy * 1e6 / seen.gaps.tokens as f64;
        println!(
            "streams={streams} tokens_a_second={rate:.0} core={:.1}% us_a_token={each:.2}",
            busy * 100.0 / WINDOW.as_secs_f64()
        );
        if points.is_empty() {
            let bytes = seen.memory.saturating_sub(before) / streams;
            println!(
                "memory=entry started_bytes={started} before_bytes={before} with_bytes={} \
                 each_bytes={bytes}",
                seen.memory
            );
        }
        points.push((seen.gaps.tokens as f64, busy * 1e6));
    }
    println!("slope=us_a_token value={:.2}", slope(&points));
    measure_whole(&engine, &entry)?;
    let added = compare(engine.address, &entry)?;
    measure_burst(&engine, &entry)?;
    let kept = added <= MAX_ADDED;
    println!("bound=added_p99_us measured={added} max={MAX_ADDED} kept={kept}");
    Ok(kept)
}

/// Prints the processor time of a token where the callers want whole answers.
fn measure_whole(engine: &TargetThread, entry: &Entry) -> Result<(), Failure> {
    let request = request("/v1/pipelines/write", "application/json");
    let mut callers = Vec::new();
    for _ in 0..WHOLE {
        let mut caller = RawClient::connect(entry.address())?;
        caller.send(&request)?;
        callers.push(caller);
    }
    std::thread::sleep(START);
    let count = || Ok::<_, Failure>(engine.report()?.runs.iter().map(|r| r.tokens).sum::<usize>());
    let (before, tokens) = (entry.busy()?, count()?);
    std::thread::sleep(WINDOW);
    let (busy, tokens) = (entry.busy()?.saturating_sub(before), count()?.saturating_sub(tokens));
    let each = busy.as_secs_f64() * 1e6 / tokens as f64;
    println!("whole_answers={WHOLE} tokens={tokens} us_a_token={each:.2}");
    Ok(())
}

/// Prints the processor time of a token where the engine waits for nothing between tokens.
fn measure_burst(engine: &TargetThread, entry: &Entry) -> Result<(), Failure> {
    engine.configure("{\"token_ms\":0}")?;
    let request = request("/v1/pipelines/burst", "text/event-stream");
    let mut caller = RawClient::connect(entry.address())?;
    let before = entry.busy()?;
    for _ in 0..BURSTS {
        caller.send(&request)?;
        caller.read_until("event: answer")?;
        caller.read_until("0\r\n\r\n")?;
    }
    let busy = entry.busy()?.saturating_sub(before);
    let tokens = BURSTS * BURST_TOKENS;
    let each = busy.as_secs_f64() * 1e6 / f64::from(tokens);
    println!("bursts={BURSTS} tokens={tokens} us_a_token={each:.2}");
    Ok(())
}

/// Returns the slope of the line that fits `points` best.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let rise: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    rise / points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>()
}

/// Prints the time between tokens both ways and returns the median added p99, in microseconds.
fn compare(engine: SocketAddr, entry: &Entry) -> Result<i64, Failure> {
    let mut added = Vec::new();
    println!("turn  direct p50    p99  through the entry p50    p99  added p99");
    for turn in 0..TURNS {
        let direct = thread::block_on(watch(COMPARED, engine, None))??.gaps;
        let through = thread::block_on(watch(COMPARED, entry.address(), Some(entry)))??.gaps;
        let more = through.at(0.99) - direct.at(0.99);
        println!(
            "{turn:4}  {:7} us {:6}  {:18} us {:6}  {more:9}",
            direct.at(0.5),
            direct.at(0.99),
            through.at(0.5),
            through.at(0.99),
        );
        added.push(more);
    }
    added.sort_unstable();
    Ok(added[TURNS / 2])
}

/// Tokens seen in the window and the times between them, in microseconds.
#[derive(Clone)]
struct Gaps {
    open: bool,
    leave: bool,
    begun: usize,
    ended: usize,
    tokens: u64,
    times: Histogram<u64>,
}

impl Gaps {
    fn new() -> Result<Self, Failure> {
        let times = Histogram::new(3)?;
        Ok(Self { open: false, leave: false, begun: 0, ended: 0, tokens: 0, times })
    }

    fn at(&self, quantile: f64) -> i64 {
        self.times.value_at_quantile(quantile) as i64
    }
}

/// What a window showed.
struct Seen {
    gaps: Gaps,
    busy: Duration,
    memory: usize,
}

/// Opens `streams` streams, and counts their tokens for the window once all have begun.
async fn watch(streams: usize, to: SocketAddr, entry: Option<&Entry>) -> Result<Seen, Failure> {
    let gaps = Rc::new(RefCell::new(Gaps::new()?));
    let path = if entry.is_some() { "/v1/pipelines/write" } else { COMPLETIONS };
    let request: Arc<[u8]> = request(path, "text/event-stream").into_bytes().into();
    for _ in 0..streams {
        let stream = read_stream(to, Arc::clone(&request), Rc::clone(&gaps));
        let gaps = Rc::clone(&gaps);
        monoio::spawn(async move {
            if let Err(error) = stream.await {
                eprintln!("token_path: stream ended: {error}");
            }
            gaps.borrow_mut().ended += 1;
        });
        sleep(STAGGER).await;
    }
    until("begun", streams, || gaps.borrow().begun).await?;
    let busy = || entry.map_or(Ok(Duration::ZERO), Entry::busy);
    gaps.borrow_mut().open = true;
    let before = busy()?;
    sleep(WINDOW).await;
    gaps.borrow_mut().open = false;
    let busy = busy()?.saturating_sub(before);
    let memory = entry.map_or(Ok(0), Entry::memory)?;
    gaps.borrow_mut().leave = true;
    until("ended", streams, || gaps.borrow().ended).await?;
    let gaps = gaps.borrow().clone();
    Ok(Seen { gaps, busy, memory })
}

/// Waits until `count` has reached `streams`.
async fn until(what: &str, streams: usize, count: impl Fn() -> usize) -> Result<(), Failure> {
    let limit = Instant::now() + LIMIT;
    while count() < streams {
        if Instant::now() > limit {
            return Err(format!("{} of {streams} streams have {what}", count()).into());
        }
        sleep(STAGGER).await;
    }
    Ok(())
}

/// Returns the request for an answer of the type `accept`, of an entry or of the engine itself.
fn request(path: &str, accept: &str) -> String {
    let body = "{\"prompt\":\"x\",\"stream\":true}";
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\naccept: \
         {accept}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Reads one stream until it is to be left.
async fn read_stream(
    to: SocketAddr,
    request: Arc<[u8]>,
    gaps: Rc<RefCell<Gaps>>,
) -> Result<(), Failure> {
    let mut stream = TcpStream::connect_addr(to).await?;
    stream.set_nodelay(true)?;
    stream.write_all(request.to_vec()).await.0?;
    let mut answered = false;
    let mut last = None;
    let mut previous = 0;
    let mut buffer = Vec::with_capacity(4096);
    loop {
        let (count, filled) = stream.read(buffer).await;
        if count? == 0 {
            return Err("closed".into());
        }
        if !answered && !filled.starts_with(b"HTTP/1.1 200") {
            return Err(String::from_utf8_lossy(&filled).into_owned().into());
        }
        answered = true;
        let mut events = 0;
        for &byte in &filled {
            // An event ends with an empty line; nothing else in the stream has one.
            events += u64::from(byte == b'\n' && previous == b'\n');
            previous = byte;
        }
        buffer = filled;
        if events == 0 {
            continue;
        }
        let now = Instant::now();
        let mut gaps = gaps.borrow_mut();
        if gaps.leave {
            return Ok(());
        }
        match last.replace(now) {
            None => gaps.begun += 1,
            Some(before) if gaps.open => {
                gaps.tokens += events;
                let micros = now.duration_since(before).as_micros();
                gaps.times.record(micros as u64)?;
            }
            Some(_) => {}
        }
    }
}

/// Entry in a process of its own, so that its memory and processor time are its own.
struct Entry {
    process: ChildProcess,
}

impl Entry {
    fn start(engine: SocketAddr) -> Result<Self, Failure> {
        Ok(Self { process: ChildProcess::start("--entry", engine)? })
    }

    /// Raises the limit of calls to the engine by short calls.
    fn warm(&self) -> Result<(), Failure> {
        std::thread::sleep(START);
        let mut caller = RawClient::connect(self.address())?;
        let request = request("/v1/pipelines/short", "*/*");
        for _ in 0..WARMING {
            caller.send(&request)?;
            let answer = caller.read_response()?;
            if answer.status != 200 {
                return Err(format!("short call: {answer:?}").into());
            }
        }
        Ok(())
    }

    fn address(&self) -> SocketAddr {
        self.process.address
    }

    /// Returns the time that the entry's first thread has run, which serves callers.
    fn busy(&self) -> Result<Duration, Failure> {
        let (run, _) = self.process.cpu_times()?;
        Ok(run)
    }

    /// Returns the resident memory in bytes.
    fn memory(&self) -> Result<usize, Failure> {
        self.process.memory()
    }
}

fn run_entry(engine: &str) -> Result<bool, Failure> {
    let engine: SocketAddr = engine.parse()?;
    thread::block_on(async move {
        let claims = ClaimStore::Local(Rc::new(LocalState::default()));
        let lease = LeaseSettings {
            lease_duration: Duration::from_millis(300),
            renew_interval: Duration::from_millis(100),
            grant_duration: Duration::from_secs(1),
            ..LeaseSettings::default()
        };
        let dependencies = Dependencies { claims, messenger: PeerMessenger::Disabled, lease };
        let context = Rc::new(Context::new(settings(), dependencies));
        let targets = vec![TargetInfo {
            name: "engine".into(),
            address: Arc::from(engine.to_string()),
            pool: "engines".into(),
            centre: "bench".into(),
            lifecycle: Lifecycle::Live,
        }];
        *context.targets.borrow_mut() = targets.clone();
        apply_document(&context, Version(1), document());
        context.router.borrow_mut().update_targets(context.clock.now(), &targets);
        let started = EntryServer::listen(context, SocketAddr::from(([127, 0, 0, 1], 0)))?;
        println!("{}", started.address());
        started.serve(StopRequest::from_signals()?).await;
        Ok(true)
    })?
}

fn settings() -> Settings {
    let instance =
        Instance { name: "entry".into(), data_centre: "bench".into(), ..Instance::default() };
    let keys = [(content_hash(KEY), "makers".into())].into_iter().collect();
    let mut settings = Settings { instance, keys, ..Settings::default() };
    settings.entry.enabled = true;
    settings
}

fn document() -> Document {
    let pool = Pool {
        name: "engines".into(),
        kind: PoolKind::Engine,
        warm_limit: 2_000,
        cold_limit: 4,
        warm_after: 4,
        ..Pool::default()
    };
    let pipeline = |name: &str, max_tokens| Pipeline {
        name: name.into(),
        deadline_ms: 120_000,
        stages: vec![Stage {
            name: "write".into(),
            pool: "engines".into(),
            max_tokens,
            ..Stage::default()
        }],
        ..Pipeline::default()
    };
    let workspace =
        Workspace { name: "makers".into(), max_requests: 4_000, ..Workspace::default() };
    Document {
        workspaces: vec![workspace],
        pools: vec![pool],
        pipelines: vec![
            pipeline("write", TOKENS),
            pipeline("burst", BURST_TOKENS),
            pipeline("short", 1),
        ],
        ..Document::default()
    }
}
