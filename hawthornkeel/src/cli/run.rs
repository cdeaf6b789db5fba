//! Command `run`: an instance.

use hawthornkeel_config::check_settings;
use hawthornkeel_config::load::read_text;
use hawthornkeel_config::load_settings;
use hawthornkeel_config::settings::Settings;

use crate::cli::command::RunOptions;
use crate::cli::error::CliError;
use crate::logging;

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
    let name = settings.instance.name;
    Err(CliError::Failed(format!("{name} can't be run: no role is wired to the command yet")))
}
