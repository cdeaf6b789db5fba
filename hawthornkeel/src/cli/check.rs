//! Command `check`: validates settings and environment documents.

use hawthornkeel_config::FileKind;
use hawthornkeel_config::Findings;
use hawthornkeel_config::check_document;
use hawthornkeel_config::check_settings;
use hawthornkeel_config::content_hash;
use hawthornkeel_config::load::read_text;

use crate::cli::command::CheckOptions;
use crate::cli::error::CliError;
use crate::cli::output;

/// Checks all files and reports every finding.
///
/// Prints each file without errors to standard output, a document with its content hash.
///
/// # Errors
/// Fails with the findings of the files that have errors.
pub fn check(options: &CheckOptions) -> Result<(), CliError> {
    let mut failed = Vec::new();
    for path in &options.files {
        let file = path.display().to_string();
        match read_text(path).and_then(|text| check_text(&file, &text)) {
            Ok(checked) => report(&file, &checked)?,
            Err(findings) => failed.push(findings),
        }
    }
    if failed.is_empty() { Ok(()) } else { Err(CliError::Findings(failed)) }
}

/// File without errors.
struct CheckedFile {
    summary: String,
    warnings: Findings,
}

fn check_text(file: &str, text: &str) -> Result<CheckedFile, Findings> {
    let (findings, summary) = match FileKind::detect(text) {
        FileKind::Settings => {
            let checked = check_settings(file, text);
            (checked.findings, format!("settings of {}", checked.value.instance.name))
        }
        FileKind::Document => {
            let hash = content_hash(text);
            (check_document(file, text).findings, format!("document with hash {hash}"))
        }
    };
    if findings.has_errors() {
        Err(findings)
    } else {
        Ok(CheckedFile { summary, warnings: findings })
    }
}

fn report(file: &str, checked: &CheckedFile) -> Result<(), CliError> {
    if !checked.warnings.is_empty() {
        eprintln!("{}", checked.warnings);
    }
    output::write(&format!("{file}: {}\n", checked.summary))
}
