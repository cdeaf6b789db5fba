//! Command `keys`: creates certificates for instances.

use crate::cli::command::KeysOptions;
use crate::cli::error::CliError;
use crate::cli::output;
use crate::peer::certificate;

/// Creates a certificate for each instance and prints the paths of its files to standard output.
///
/// # Errors
/// Fails if a file can't be read or written.
pub fn keys(options: &KeysOptions) -> Result<(), CliError> {
    for name in &options.names {
        let issued = certificate::issue(&options.folder, name).map_err(|error| {
            let folder = options.folder.display();
            CliError::Failed(format!("no certificate for {name} in {folder}: {error}"))
        })?;
        let (certificate, key) = (issued.certificate.display(), issued.key.display());
        output::write(&format!("{certificate} {key}\n"))?;
    }
    Ok(())
}
