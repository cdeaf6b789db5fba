//! Command `trial`: runs a document in one process with built-in targets.

use hawthornkeel_config::load::read_text;
use hawthornkeel_config::parse_document;
use hawthornkeel_config::settings::Log;

use crate::cli::command::TrialOptions;
use crate::cli::error::CliError;
use crate::cli::run::command_error;
use crate::cli::run::stop_result;
use crate::logging;
use crate::runtime;
use crate::stop::StopRequest;
use crate::trial;

/// Runs a document until the process receives a request to stop.
///
/// # Errors
/// Fails if the document has errors, an address can't be used, or a planned stop aborted requests.
pub fn trial(options: &TrialOptions) -> Result<(), CliError> {
    let text = read_text(&options.document)?;
    let document = parse_document(&options.document.display().to_string(), &text)?;
    let _log = logging::init(&Log::default()).map_err(command_error)?;
    let stop = StopRequest::from_signals().map_err(command_error)?;
    let trial = trial::run(document, options.listen, stop);
    let report = runtime::block_on(trial).map_err(command_error)?.map_err(command_error)?;
    stop_result(report)
}
