//! Entry point of the `hawthornkeel` command.

#![deny(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

use std::net::SocketAddr;
use std::path::Path;

use hawthornkeel::instance;
use hawthornkeel::runtime;
use hawthornkeel::stop::StopRequest;
use hawthornkeel::telemetry;
use hawthornkeel::trial;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let command = std::env::args().nth(1).unwrap_or_default();
    let stop = StopRequest::from_signals()?;
    tracing_subscriber::fmt().with_env_filter(tracing_subscriber::EnvFilter::from_default_env()).with_writer(std::io::stderr).init();
    if command == "run" {
        let path = std::env::args().nth(3).unwrap_or_default();
        let settings =
            hawthornkeel_config::load_settings(Path::new(&path)).map_err(|f| f.to_string())?;
        let metrics = telemetry::install()?;
        runtime::block_on(instance::run(settings, stop, metrics))??;
        return Ok(());
    }
    let path = std::env::args().nth(2).unwrap_or_default();
    let document = toml::from_str(&std::fs::read_to_string(path)?)?;
    let listen = SocketAddr::from(([127, 0, 0, 1], 8080));
    runtime::block_on(trial::run(document, listen, stop))??;
    Ok(())
}
