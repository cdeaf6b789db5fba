//! Command `run`: an instance.

use std::error::Error;

use hawthornkeel_config::check_settings;
use hawthornkeel_config::load::read_text;
use hawthornkeel_config::load_settings;
use hawthornkeel_config::settings::Settings;

use crate::cli::command::RunOptions;
use crate::cli::error::CliError;
use crate::entry::start::StopReport;
use crate::instance;
use crate::logging;
use crate::runtime;
use crate::stop::StopRequest;
use crate::telemetry;

/// Runs an instance until it is asked to stop.
///
/// Warnings about the settings go to standard error.
pub fn run(options: &RunOptions) -> Result<(), CliError> {
    let path = &options.settings;
    let warnings = check_settings(&path.display().to_string(), &read_text(path)?).findings;
    let settings = load_settings(path)?;
    if !warnings.is_empty() {
        eprintln!("{warnings}");
    }
    logging::init(&settings.log.filter).map_err(|error| CliError::Failed(error.to_string()))?;
    serve(settings)
}

/// Runs the roles that `settings` name.
fn serve(settings: Settings) -> Result<(), CliError> {
    let failed = |error: &dyn Error| CliError::Failed(error.to_string());
    let stop = StopRequest::from_signals().map_err(|error| failed(&error))?;
    let metrics = telemetry::install().map_err(|error| failed(&error))?;
    let report = runtime::block_on(instance::run(settings, stop, metrics))
        .map_err(|error| failed(&error))?
        .map_err(|error| failed(&error))?;
    report_stop(report)
}

/// Turns the report of a planned stop into the command's result.
pub fn report_stop(report: StopReport) -> Result<(), CliError> {
    match report {
        StopReport::Complete => Ok(()),
        StopReport::Cut(count) => Err(CliError::Failed(format!("{count} requests were cut off"))),
    }
}
