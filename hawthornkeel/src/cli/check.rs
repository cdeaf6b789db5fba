//! Command `check`: findings about settings and environment documents.

use std::path::Path;

use hawthornkeel_config::FileKind;
use hawthornkeel_config::Findings;
use hawthornkeel_config::check_document;
use hawthornkeel_config::check_settings;
use hawthornkeel_config::content_hash;
use hawthornkeel_config::load::read_text;

use crate::cli::command::CheckOptions;
use crate::cli::error::CliError;

/// Checks files and reports every finding of all of them.
///
/// A file without errors is named on standard output, a document with its content hash.
pub fn check(options: &CheckOptions) -> Result<(), CliError> {
    let mut wrong = Vec::new();
    for file in &options.files {
        match check_file(file) {
            Ok(findings) if findings.is_empty() => {}
            Ok(findings) => eprintln!("{findings}"),
            Err(findings) => wrong.push(findings),
        }
    }
    if wrong.is_empty() { Ok(()) } else { Err(CliError::Findings(wrong)) }
}

/// Checks one file; returns the warnings of one without errors.
fn check_file(path: &Path) -> Result<Findings, Findings> {
    let file = path.display().to_string();
    let text = read_text(path)?;
    let (findings, summary) = match FileKind::of(&text) {
        FileKind::Settings => {
            let checked = check_settings(&file, &text);
            let name = checked.value.instance.name;
            (checked.findings, format!("settings of {name}"))
        }
        FileKind::Document => {
            let findings = check_document(&file, &text).findings;
            (findings, format!("document with hash {}", content_hash(&text)))
        }
    };
    if findings.has_errors() {
        return Err(findings);
    }
    println!("{file}: {summary}");
    Ok(findings)
}
