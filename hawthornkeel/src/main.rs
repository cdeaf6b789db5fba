//! The `hawthornkeel` program.

#![deny(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

use std::process::ExitCode;

fn main() -> ExitCode {
    hawthornkeel::cli::main(std::env::args_os().skip(1))
}
