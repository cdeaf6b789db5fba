//! Loads and checks settings and environment documents.

use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use hawthornkeel_core::document::Document;
use sha2::Digest;
use sha2::Sha256;

use crate::checks;
use crate::findings::Findings;
use crate::findings::Severity;
use crate::reader::Reader;
use crate::schema::Key;
use crate::schema::document::DOCUMENT_KEYS;
use crate::schema::settings::SETTINGS_KEYS;
use crate::settings::Settings;

/// Value read from a file, with the findings about the file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Checked<T> {
    /// Value; only usable if no finding is an error.
    pub value: T,
    /// Findings, sorted by position in the file.
    pub findings: Findings,
}

impl<T> Checked<T> {
    /// Returns the value.
    ///
    /// # Errors
    /// Fails with all findings if any of them is an error.
    pub fn into_result(self) -> Result<T, Findings> {
        if self.findings.has_errors() { Err(self.findings) } else { Ok(self.value) }
    }
}

/// Kind of a configuration file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FileKind {
    /// Settings of one process.
    Settings,
    /// Environment document.
    Document,
}

impl FileKind {
    /// Detects the kind of a file from the top-level keys in its text.
    pub fn detect(text: &str) -> Self {
        let (root, _) = toml::de::DeTable::parse_recoverable(text);
        let count_known = |keys: &[Key]| {
            root.get_ref().keys().filter(|n| keys.iter().any(|k| k.name == n.get_ref())).count()
        };
        if count_known(SETTINGS_KEYS) > count_known(DOCUMENT_KEYS) {
            Self::Settings
        } else {
            Self::Document
        }
    }
}

/// Loads the settings file at `path`; relative paths in it are resolved against its folder.
///
/// An unknown key is not an error; [`check_settings`] reports it as a warning.
///
/// # Errors
/// Fails with all findings if any of them is an error.
pub fn load_settings(path: &Path) -> Result<Settings, Findings> {
    let file = path.display().to_string();
    let text = read_text(path)?;
    let mut settings = check_settings(&file, &text).into_result()?;
    settings.resolve_paths(path.parent().unwrap_or(Path::new("")));
    Ok(settings)
}

/// Parses and checks settings; `file` is the file name shown in findings.
pub fn check_settings(file: &str, text: &str) -> Checked<Settings> {
    let mut reader = Reader::new(file, text, Severity::Warning);
    let settings: Option<Settings> = reader.read(text, SETTINGS_KEYS);
    let value = match settings {
        Some(settings) => {
            checks::settings::check(&mut reader, &settings);
            settings
        }
        None => Settings::default(),
    };
    Checked { value, findings: reader.finish() }
}

/// Parses an environment document; `file` is the file name shown in findings.
///
/// # Errors
/// Fails with all findings if any of them is an error.
pub fn parse_document(file: &str, text: &str) -> Result<Document, Findings> {
    check_document(file, text).into_result()
}

/// Parses and checks an environment document; `file` is the file name shown in findings.
pub fn check_document(file: &str, text: &str) -> Checked<Document> {
    let mut reader = Reader::new(file, text, Severity::Error);
    let document: Option<Document> = reader.read(text, DOCUMENT_KEYS);
    let value = match document {
        Some(mut document) => {
            checks::document::set_derived_defaults(&reader, &mut document);
            checks::document::check(&mut reader, &document);
            document
        }
        None => Document::default(),
    };
    Checked { value, findings: reader.finish() }
}

/// Reads the text file at `path`.
///
/// # Errors
/// Fails with one finding if the file can't be read or is not valid UTF-8.
pub fn read_text(path: &Path) -> Result<String, Findings> {
    fs::read_to_string(path)
        .map_err(|error| Findings::unreadable(&path.display().to_string(), error.to_string()))
}

/// Returns the SHA-256 of `text` in hexadecimal.
pub fn content_hash(text: &str) -> String {
    let mut hex = String::new();
    for byte in Sha256::digest(text.as_bytes()) {
        // Writing to a `String` never fails.
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}

impl Settings {
    /// Resolves relative paths in the settings against `folder`.
    fn resolve_paths(&mut self, folder: &Path) {
        self.control.data = folder.join(&self.control.data);
        for file in [&mut self.peers.certificate, &mut self.peers.key, &mut self.peers.authority] {
            *file = file.as_ref().map(|path: &PathBuf| folder.join(path));
        }
    }
}
