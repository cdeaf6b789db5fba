//! Findings: problems in a configuration file with their position and the accepted values.

use std::error::Error;
use std::fmt;
use std::ops::Range;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// The file can't be used.
    Error,
    /// The file can be used, but part of it has no effect.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// Problem at one position of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Whether the problem prevents the file from being used.
    pub severity: Severity,
    /// Name of the file.
    pub file: String,
    /// Line number, starting at 1; 0 if the file can't be read.
    pub line: usize,
    /// Column in characters, starting at 1; 0 if the file can't be read.
    pub column: usize,
    /// Path of the key, such as `pipeline[0].deadline_ms`; empty if the whole file is affected.
    pub key: String,
    /// Description of the problem.
    pub message: String,
    /// Description of the accepted values.
    pub accepted: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}: ", self.file, self.line, self.column, self.severity)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}; accepted: {}", self.message, self.accepted)
    }
}

/// All findings about a file, sorted by position.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Returns the findings as a slice.
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns whether any finding is an error.
    pub fn has_errors(&self) -> bool {
        self.list.iter().any(|f| f.severity == Severity::Error)
    }

    /// Creates the finding for a file that can't be read.
    pub fn unreadable(file: &str, message: String) -> Self {
        let finding = Finding {
            severity: Severity::Error,
            file: file.to_owned(),
            line: 0,
            column: 0,
            key: String::new(),
            message,
            accepted: "a readable UTF-8 file".to_owned(),
        };
        Self { list: vec![finding] }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl Error for Findings {}

/// Collects the findings about one file.
#[derive(Debug)]
pub(crate) struct Collector<'a> {
    file: &'a str,
    text: &'a str,
    findings: Findings,
}

impl<'a> Collector<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text, findings: Findings::default() }
    }

    /// Adds a finding at a byte range of the text.
    pub(crate) fn add(
        &mut self,
        severity: Severity,
        range: Range<usize>,
        key: &str,
        message: String,
        accepted: &str,
    ) {
        let (line, column) = line_and_column(self.text, range.start);
        self.findings.list.push(Finding {
            severity,
            file: self.file.to_owned(),
            line,
            column,
            key: key.to_owned(),
            message,
            accepted: accepted.to_owned(),
        });
    }

    /// Returns whether there is a finding about `key`.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.findings.list.iter().any(|f| f.key == key)
    }

    /// Returns the findings, sorted by position.
    pub(crate) fn finish(self) -> Findings {
        let mut findings = self.findings;
        findings.list.sort_by(|a, b| {
            (a.line, a.column, &a.key, &a.message).cmp(&(b.line, b.column, &b.key, &b.message))
        });
        findings
    }
}

/// Returns the line and column, both starting at 1, of the byte at `offset`.
fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    (line, column)
}
