//! Entry point of the `hawthornkeel` command.

#![deny(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

use std::net::SocketAddr;

use hawthornkeel::runtime;
use hawthornkeel::stop::StopRequest;
use hawthornkeel::trial;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let path = std::env::args().nth(2).unwrap_or_default();
    let document = toml::from_str(&std::fs::read_to_string(path)?)?;
    let listen = SocketAddr::from(([127, 0, 0, 1], 8080));
    let stop = StopRequest::from_signals()?;
    runtime::block_on(trial::run(document, listen, stop))??;
    Ok(())
}
