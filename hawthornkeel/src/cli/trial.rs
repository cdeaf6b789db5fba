//! Command `trial`: a document in one process with built-in targets.

use hawthornkeel_config::load::read_text;
use hawthornkeel_config::parse_document;
use hawthornkeel_config::settings::Log;

use crate::cli::command::TrialOptions;
use crate::cli::error::CliError;
use crate::cli::run::report_stop;
use crate::logging;
use crate::runtime;
use crate::stop::StopRequest;
use crate::trial;

/// Runs a document until the process is asked to stop.
pub fn trial(options: &TrialOptions) -> Result<(), CliError> {
    let text = read_text(&options.document)?;
    let document = parse_document(&options.document.display().to_string(), &text)?;
    let failed = |error: &dyn std::error::Error| CliError::Failed(error.to_string());
    logging::init(&Log::default().filter).map_err(|error| failed(&error))?;
    let stop = StopRequest::from_signals().map_err(|error| failed(&error))?;
    let report = runtime::block_on(trial::run(document, options.listen, stop))
        .map_err(|error| failed(&error))?
        .map_err(|error| failed(&error))?;
    report_stop(report)
}
