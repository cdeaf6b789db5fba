//! Command line: parsing, commands and exit codes.

pub mod admin;
pub mod check;
pub mod command;
pub mod error;
pub mod explain;
pub mod help;
pub mod keys;
pub mod orders;
pub mod output;
pub mod parse;
pub mod rollouts;
pub mod run;
pub mod trial;

use std::ffi::OsString;
use std::process::ExitCode;

use crate::cli::command::Command;
use crate::cli::error::CliError;

/// Version of the program.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Runs the command in `args`, which do not include the program's name.
///
/// Errors are printed to standard error, one line each.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match parse::parse(args).and_then(execute) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn execute(command: Command) -> Result<(), CliError> {
    match command {
        Command::Check(options) => check::check(&options),
        Command::Trial(options) => trial::trial(&options),
        Command::Run(options) => run::run(&options),
        Command::Submit(options) => orders::submit(&options),
        Command::Status(options) => orders::status(&options),
        Command::TakeOut(options) => orders::take_out(&options),
        Command::BringBack(options) => orders::bring_back(&options),
        Command::Rollout(options) => rollouts::rollout(&options),
        Command::RollBack(options) => rollouts::roll_back(&options),
        Command::Rollouts(options) => rollouts::list(&options),
        Command::Keys(options) => keys::keys(&options),
        Command::Explain(options) => explain::explain(&options),
        Command::Help(topic) => help::print(topic),
        Command::Version => help::print_version(),
    }
}
