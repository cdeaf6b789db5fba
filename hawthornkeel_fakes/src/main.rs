//! Entry point of the `hawthornkeel_fakes` command: one fake or load generator per process.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use hawthornkeel_fakes::behaviour::Behaviour;
use hawthornkeel_fakes::load_generator;
use hawthornkeel_fakes::load_generator::LoadProfile;
use hawthornkeel_fakes::platform::Platform;
use hawthornkeel_fakes::target::Target;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;
use monoio::net::TcpListener;

const HELP: &str = "\
Stand-ins for hawthornkeel's tests and benches.

usage: hawthornkeel_fakes target   --listen ADDRESS [--behave JSON]
       hawthornkeel_fakes platform --listen ADDRESS [--list JSON]
       hawthornkeel_fakes caller   --to ADDRESS [--path PATH] [--body TEXT] [--field LINE]...
                                   [--rate N] [--count N] [--first N] [--timeout-ms N] [--any]
                                   [--from-sending]

The text {mark} in a caller's body and fields is replaced by a word of the request's own, which its
answer must carry; --any takes any answer. Latencies run from when a request was due, with
--from-sending from when it was sent.
";

#[derive(Default)]
struct Options {
    listen: Option<SocketAddr>,
    behave: Option<String>,
    list: Option<String>,
    load: LoadProfile,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hawthornkeel_fakes: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut parser = Parser::from_env();
    let command = match parser.next()? {
        Some(Arg::Value(value)) => value.string()?,
        _ => {
            print!("{HELP}");
            return Ok(());
        }
    };
    let options = parse_options(&mut parser)?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    match command.as_str() {
        "target" => runtime.block_on(run_target(options)),
        "platform" => runtime.block_on(run_platform(options)),
        "caller" => runtime.block_on(run_caller(options.load)),
        other => Err(format!("no command {other:?}").into()),
    }
}

fn parse_options(parser: &mut Parser) -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    let load = &mut options.load;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => options.listen = Some(parser.value()?.parse()?),
            Arg::Long("behave") => options.behave = Some(parser.value()?.string()?),
            Arg::Long("list") => options.list = Some(parser.value()?.string()?),
            Arg::Long("to") => load.address = parser.value()?.parse()?,
            Arg::Long("path") => load.path = parser.value()?.string()?,
            Arg::Long("body") => load.body = parser.value()?.string()?,
            Arg::Long("field") => {
                load.fields.push_str(&parser.value()?.string()?);
                load.fields.push_str("\r\n");
            }
            Arg::Long("rate") => load.rate = parser.value()?.parse()?,
            Arg::Long("count") => load.count = parser.value()?.parse()?,
            Arg::Long("first") => load.first_number = parser.value()?.parse()?,
            Arg::Long("timeout-ms") => {
                load.timeout = Duration::from_millis(parser.value()?.parse()?);
            }
            Arg::Long("from-sending") => load.from_send_time = true,
            Arg::Long("any") => load.check_marker = false,
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(options)
}

fn bind_listener(options: &Options) -> Result<TcpListener, Box<dyn Error>> {
    let address = options.listen.ok_or("--listen is missing")?;
    let listener = TcpListener::bind(address)?;
    println!("listening={}", listener.local_addr()?);
    Ok(listener)
}

async fn run_target(options: Options) -> Result<(), Box<dyn Error>> {
    let behaviour: Behaviour = match &options.behave {
        Some(text) => serde_json::from_str(text)?,
        None => Behaviour::default(),
    };
    let listener = bind_listener(&options)?;
    Target::new(behaviour).serve(listener).await;
    Ok(())
}

async fn run_platform(options: Options) -> Result<(), Box<dyn Error>> {
    let platform = Platform::default();
    if let Some(text) = &options.list {
        platform.set(serde_json::from_str(text)?);
    }
    let listener = bind_listener(&options)?;
    platform.serve(listener).await;
    Ok(())
}

async fn run_caller(load: LoadProfile) -> Result<(), Box<dyn Error>> {
    let result = load_generator::run(load).await?;
    for (outcome, count) in &result.outcomes {
        println!("outcome={outcome:?} count={count}");
    }
    for quantile in [0.5, 0.99, 0.999] {
        let micros = result.latency.value_at_quantile(quantile);
        println!("quantile={quantile} latency_us={micros}");
    }
    Ok(())
}
