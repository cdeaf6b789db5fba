//! Findings: what is wrong in a file, where, and what would be accepted.

use std::error::Error;
use std::fmt;
use std::ops::Range;

/// Whether a finding stops the file from being used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// The file can't be used.
    Error,
    /// The file can be used; part of it has no effect.
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

/// What is wrong at one place of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Whether the finding stops the file from being used.
    pub severity: Severity,
    /// Name of the file.
    pub file: String,
    /// Line, from one; zero where the file couldn't be read.
    pub line: usize,
    /// Column in characters, from one; zero where the file couldn't be read.
    pub column: usize,
    /// Path of the key, such as `pipeline[0].deadline_ms`; empty for the whole file.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// What would be accepted.
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

/// All findings about a file, sorted by place.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Returns the findings.
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Tells whether there is none.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Tells whether any finding stops the file from being used.
    pub fn has_errors(&self) -> bool {
        self.list.iter().any(|f| f.severity == Severity::Error)
    }

    /// Creates the findings about a file that can't be read.
    pub fn unreadable(file: &str, message: String) -> Self {
        let finding = Finding {
            severity: Severity::Error,
            file: file.to_owned(),
            line: 0,
            column: 0,
            key: String::new(),
            message,
            accepted: "a readable file in UTF-8".to_owned(),
        };
        Self { list: vec![finding] }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, finding) in self.list.iter().enumerate() {
            if number > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl Error for Findings {}

/// Collector of the findings about one file.
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

    /// Adds a finding at a range of bytes of the text.
    pub(crate) fn add(
        &mut self,
        severity: Severity,
        range: Range<usize>,
        key: &str,
        message: String,
        accepted: &str,
    ) {
        let (line, column) = place(self.text, range.start);
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

    /// Tells whether a finding about `key` was added.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.findings.list.iter().any(|f| f.key == key)
    }

    /// Returns the findings sorted by place.
    pub(crate) fn finish(self) -> Findings {
        let mut findings = self.findings;
        findings.list.sort_by(|a, b| {
            (a.line, a.column, &a.key, &a.message).cmp(&(b.line, b.column, &b.key, &b.message))
        });
        findings
    }
}

/// Returns the line and column, from one, of the byte at `offset`.
fn place(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    (line, column)
}
