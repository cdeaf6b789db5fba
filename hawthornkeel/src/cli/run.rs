//! Command `run`: runs an instance.

use hawthornkeel_config::check_settings;
use hawthornkeel_config::load::read_text;
use hawthornkeel_config::load_settings;

use crate::cli::command::RunOptions;
use crate::cli::error::CliError;
use crate::cli::error::one_line;
use crate::instance;
use crate::logging;
use crate::runtime;
use crate::stop::StopReport;
use crate::stop::StopRequest;
use crate::telemetry;

/// Runs an instance until it receives a request to stop.
///
/// Prints warnings about the settings to standard error.
///
/// # Errors
/// Fails if the settings have errors, an address, certificate or folder can't be used, or a planned
/// stop aborted requests.
pub fn run(options: &RunOptions) -> Result<(), CliError> {
    let path = &options.settings;
    let warnings = check_settings(&path.display().to_string(), &read_text(path)?).findings;
    let settings = load_settings(path)?;
    if !warnings.is_empty() {
        eprintln!("{warnings}");
    }
    let log = logging::init(&settings.log).map_err(command_error)?;
    let metrics = telemetry::install().map_err(command_error)?;
    let stop = StopRequest::from_signals().map_err(command_error)?;
    let instance = async {
        monoio::select! {
            report = instance::run(settings, stop, metrics) => report,
            never = log.keep_reporting() => match never {},
        }
    };
    let report = runtime::block_on(instance).map_err(command_error)?.map_err(command_error)?;
    log.report_dropped();
    stop_result(report)
}

/// Returns the result of a command for the report of a planned stop.
pub fn stop_result(report: StopReport) -> Result<(), CliError> {
    match report {
        StopReport::Complete => Ok(()),
        StopReport::Aborted(count) => {
            Err(CliError::Failed(format!("{count} requests were cut off")))
        }
    }
}

/// Converts an error that ended a command.
pub(crate) fn command_error(error: impl std::error::Error) -> CliError {
    CliError::Failed(one_line(&error.to_string()))
}
