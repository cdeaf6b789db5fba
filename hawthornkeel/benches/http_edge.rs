//! Latency added to a call by the HTTP server and the target client, and memory of open streams.
//!
//! Calls go to a fake target directly and through a single-threaded proxy, alternating within one
//! run, so that both are measured on the same machine at the same time. The run fails if the added
//! p99 exceeds 5% of the 30 ms gap between tokens.

mod child_process;

use std::cell::Cell;
use std::env;
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::http::channel;
use hawthornkeel::http::channel::Sender;
use hawthornkeel::http::message::Request;
use hawthornkeel::http::message::Response;
use hawthornkeel::http::problem::Code;
use hawthornkeel::http::problem::Problem;
use hawthornkeel::http::server::Limits;
use hawthornkeel::http::server::Server;
use hawthornkeel::target::call::Call;
use hawthornkeel::target::client::Client;
use hawthornkeel::target::client::ClientLimits;
use hawthornkeel::target::completion::COMPLETIONS;
use hawthornkeel::target::error::CallError;
use hawthornkeel::target::stream::Event;
use hawthornkeel::target::stream::TokenStream;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_fakes::behaviour::Behaviour;
use hawthornkeel_fakes::load_generator;
use hawthornkeel_fakes::load_generator::ANSWERED;
use hawthornkeel_fakes::load_generator::LoadProfile;
use hawthornkeel_fakes::load_generator::LoadResult;
use hawthornkeel_fakes::raw_client::RawClient;
use hawthornkeel_fakes::thread;
use hawthornkeel_fakes::thread::TargetThread;

use crate::child_process::ChildProcess;

/// Requests per second.
const RATE: f64 = 2_000.0;

/// Requests per turn.
const COUNT: u64 = 2_000;

/// Turns of each path.
const TURNS: usize = 15;

/// Maximum added p99 in microseconds: 5% of the 30 ms gap between tokens.
const MAX_ADDED_P99_US: i64 = 1_500;

/// Unit of CPU time in `/proc`, in milliseconds.
const TICK_MS: u64 = 10;

/// Number of open streams.
const STREAMS: usize = 1_000;

/// Requests in flight when the rate is not limited.
const IN_FLIGHT: usize = 32;

/// Duration of the rate measurement.
const RATE_TIME: Duration = Duration::from_secs(3);

type Failure = Box<dyn Error>;

fn main() -> ExitCode {
    let mut args = env::args().skip_while(|a| a != "--proxy");
    let result = match args.nth(1) {
        Some(address) => run_proxy(&address),
        None => measure(),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("http_edge: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure() -> Result<bool, Failure> {
    let target = TargetThread::start(Behaviour { token_ms: 30_000, ..Behaviour::default() })?;
    let proxy = ChildProcess::start("--proxy", target.address)?;
    let added = measure_latency(target.address, proxy.address)?;
    let (ran, waited) = proxy.cpu_times()?;
    println!(
        "scheduled=proxy ran_ms={} waited_for_core_ms={}",
        ran.as_millis(),
        waited.as_millis()
    );
    measure_rate("direct", target.address)?;
    let before = cpu_time(&proxy)?;
    let done = measure_rate("proxied", proxy.address)?;
    let busy = cpu_time(&proxy)?.saturating_sub(before).as_secs_f64() * 1e6 / done as f64;
    println!("busy=proxy us_a_request={busy:.1}");
    measure_streams(&proxy)?;
    let kept = added <= MAX_ADDED_P99_US;
    println!("bound=added_p99_us measured={added} max={MAX_ADDED_P99_US} kept={kept}");
    Ok(kept)
}

/// Prints the latencies of both paths per turn and returns the median added p99 in microseconds.
fn measure_latency(direct: SocketAddr, proxied: SocketAddr) -> Result<i64, Failure> {
    let mut added = Vec::new();
    println!("turn  direct p50    p99  proxied p50    p99  added p50    p99  ratio p50   p99");
    for turn in 0..TURNS {
        let direct = quantiles(direct)?;
        let proxied = quantiles(proxied)?;
        let added_us = [proxied[0] - direct[0], proxied[1] - direct[1]];
        println!(
            "{turn:4}  {:7} us {:6}  {:8} us {:6}  {:6} us {:6}  {:9.2} {:5.2}",
            direct[0],
            direct[1],
            proxied[0],
            proxied[1],
            added_us[0],
            added_us[1],
            proxied[0] as f64 / direct[0] as f64,
            proxied[1] as f64 / direct[1] as f64,
        );
        added.push(added_us[1]);
    }
    added.sort_unstable();
    Ok(added[TURNS / 2])
}

/// Returns p50 and p99 of calls to `address`, in microseconds.
fn quantiles(address: SocketAddr) -> Result<[i64; 2], Failure> {
    let load = LoadProfile {
        address,
        path: "/rank".to_owned(),
        rate: RATE,
        count: COUNT,
        from_send_time: true,
        ..LoadProfile::default()
    };
    let seen: LoadResult = thread::block_on(load_generator::run(load))??;
    if seen.count(ANSWERED) != COUNT {
        return Err(format!("not all answered: {:?}", seen.outcomes).into());
    }
    let at = |q| seen.latency.value_at_quantile(q) as i64;
    Ok([at(0.5), at(0.99)])
}

/// Prints the request rate with a fixed number in flight and returns the number of requests.
fn measure_rate(name: &str, address: SocketAddr) -> Result<u128, Failure> {
    let done = thread::block_on(async {
        let end = Instant::now() + RATE_TIME;
        let client = Client::new(ClientLimits::default());
        let numbers = Rc::new(Cell::new(0));
        let tasks = (0..IN_FLIGHT).map(|_| {
            let (client, numbers) = (client.clone(), numbers.clone());
            monoio::spawn(async move {
                while Instant::now() < end {
                    let call = Call { body: "{\"input\":\"x\"}".into(), ..call(&numbers) };
                    client.call(address, &call).await?;
                }
                Ok::<(), CallError>(())
            })
        });
        for task in tasks.collect::<Vec<_>>() {
            task.await?;
        }
        Ok::<u128, CallError>(numbers.get())
    })??;
    let rate = done as f64 / RATE_TIME.as_secs_f64();
    println!("rate={name} in_flight={IN_FLIGHT} requests_a_second={rate:.0}");
    Ok(done)
}

/// Prints the proxy's memory without and with many open streams.
fn measure_streams(proxy: &ChildProcess) -> Result<(), Failure> {
    let before = proxy.memory()?;
    let body = "{\"prompt\":\"ref-1\",\"stream\":true}";
    let length = body.len();
    let head =
        format!("POST {COMPLETIONS} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    let mut callers = Vec::new();
    for _ in 0..STREAMS {
        let mut caller = RawClient::connect(proxy.address)?;
        caller.send(format!("{head}{body}"))?;
        caller.read_until("data: ")?;
        callers.push(caller);
    }
    let with = proxy.memory()?;
    let each = with.saturating_sub(before) / STREAMS;
    println!("memory=proxy streams={STREAMS} before_bytes={before} with_bytes={with} each={each}");
    Ok(())
}

/// Returns the CPU time that a process has used.
fn cpu_time(process: &ChildProcess) -> Result<Duration, Failure> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    Ok(Duration::from_millis(ticks * TICK_MS))
}

fn run_proxy(target: &str) -> Result<bool, Failure> {
    let target: SocketAddr = target.parse()?;
    thread::block_on(async move {
        let server = Server::bind(SocketAddr::from(([127, 0, 0, 1], 0)), Limits::default())?;
        println!("{}", server.address());
        let client = Client::new(ClientLimits::default());
        let numbers = Rc::new(Cell::new(0));
        server
            .serve(move |request| proxy_call(client.clone(), target, call(&numbers), request))
            .await;
        Ok(true)
    })?
}

/// Returns a call with a unique number.
fn call(numbers: &Cell<u128>) -> Call {
    numbers.set(numbers.get() + 1);
    let id = CallId { request: RequestId(numbers.get()), ..CallId::default() };
    Call {
        id,
        progress_timeout: Duration::from_secs(60),
        timeout: Duration::from_secs(60),
        ..Call::default()
    }
}

async fn proxy_call(client: Client, target: SocketAddr, call: Call, request: Request) -> Response {
    let call = Call { path: request.head.path, body: request.body, ..call };
    let result = match call.path.as_str() {
        COMPLETIONS => client.stream(target, &call).await.map(events),
        _ => client.call(target, &call).await.map(|a| Response::json(a.body)),
    };
    result.unwrap_or_else(|error| {
        let problem = Problem::new(Code::StageFailed, RunStatus::Unknown);
        problem.with_detail(error.to_string()).into_response()
    })
}

fn events(stream: TokenStream) -> Response {
    let (sender, receiver) = channel::bounded(16);
    monoio::spawn(forward_tokens(stream, sender));
    Response::events(receiver)
}

async fn forward_tokens(mut stream: TokenStream, sender: Sender) {
    while let Ok(Event::Token { text, .. }) = stream.next().await {
        if sender.send(format!("data: {text}\n\n").into()).await.is_err() {
            return;
        }
    }
    sender.finish();
}
