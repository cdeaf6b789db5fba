//! Keys that the files may hold, with kind, unit, default and bounds.

pub mod document;
pub mod settings;

use std::fmt;

/// Key of a table.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name of the key.
    pub name: &'static str,
    /// Kind of value.
    pub kind: ValueKind,
    /// Default as written in the file; empty where there is none.
    pub default: &'static str,
    /// Whether the key must be given.
    pub required: bool,
}

/// Kind of value that a key takes.
#[derive(Clone, Copy, Debug)]
pub enum ValueKind {
    /// Either `true` or `false`.
    Boolean,
    /// Whole number of a unit, between two bounds.
    Integer(Bounds),
    /// Text that is not empty.
    Text,
    /// Name of up to [`MAX_NAME_LENGTH`] letters, digits, hyphens, underscores and dots.
    Name,
    /// Name of an instance, as a certificate can carry it.
    HostName,
    /// List of names of instances.
    HostNames,
    /// Path of an HTTP request.
    UrlPath,
    /// Path of a file or folder.
    FilePath,
    /// IP address with a port.
    Address,
    /// List of IP addresses with ports.
    Addresses,
    /// Number that need not be whole, zero or higher.
    Float,
    /// One of several words.
    Choice(&'static [&'static str]),
    /// Table with keys of its own.
    Table(&'static [Key]),
    /// List of tables with keys of their own.
    TableArray(&'static [Key]),
    /// Table from SHA-256 digests to names.
    Digests,
}

/// Bounds of a number.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Lowest number accepted.
    pub min: u64,
    /// Highest number accepted.
    pub max: u64,
    /// Unit; empty for a count.
    pub unit: &'static str,
}

/// Longest name, in characters.
pub const MAX_NAME_LENGTH: usize = 64;

/// Longest name of an instance, in characters: that of a DNS label.
pub const MAX_HOST_NAME_LENGTH: usize = 63;

/// Length of a SHA-256 digest in hexadecimal, in characters.
pub const DIGEST_LENGTH: usize = 64;

impl Key {
    /// Creates a key that may be left out.
    pub const fn new(name: &'static str, kind: ValueKind, default: &'static str) -> Self {
        Self { name, kind, default, required: false }
    }

    /// Creates a key that must be given.
    pub const fn required(name: &'static str, kind: ValueKind) -> Self {
        Self { name, kind, default: "", required: true }
    }
}

impl ValueKind {
    /// Creates a number between `min` and `max` of `unit`.
    pub const fn integer(min: u64, max: u64, unit: &'static str) -> Self {
        Self::Integer(Bounds { min, max, unit })
    }
}

impl fmt::Display for ValueKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Boolean => f.write_str("true or false"),
            Self::Integer(bounds) => bounds.fmt(f),
            Self::Text => f.write_str("text that is not empty"),
            Self::Name => write!(
                f,
                "1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' or '.', the first a letter or \
                 digit"
            ),
            Self::HostName => write!(
                f,
                "1 to {MAX_HOST_NAME_LENGTH} lower-case letters, digits or '-', the first and \
                 last not '-'"
            ),
            Self::HostNames => f.write_str("a list of names of instances"),
            Self::UrlPath => f.write_str("a path that begins with '/' and holds no blanks"),
            Self::FilePath => f.write_str("the path of a file or folder"),
            Self::Address => f.write_str("an IP address with a port, such as \"127.0.0.1:8080\""),
            Self::Addresses => f.write_str("a list of IP addresses with ports"),
            Self::Float => f.write_str("a number from 0 on"),
            Self::Choice(words) => write_choice(f, words),
            Self::Table(_) => f.write_str("a table"),
            Self::TableArray(_) => f.write_str("a list of tables"),
            Self::Digests => f.write_str("a table from SHA-256 in hexadecimal to names"),
        }
    }
}

impl fmt::Display for Bounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a whole number from {} to {}", self.min, self.max)?;
        if self.unit.is_empty() { Ok(()) } else { write!(f, " ({})", self.unit) }
    }
}

fn write_choice(f: &mut fmt::Formatter<'_>, words: &[&str]) -> fmt::Result {
    for (number, word) in words.iter().enumerate() {
        let separator = if number > 0 { " or " } else { "" };
        write!(f, "{separator}\"{word}\"")?;
    }
    Ok(())
}

/// Tells whether `text` is a name.
pub fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_LENGTH
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}

/// Tells whether `text` is a name of an instance.
pub fn is_host_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_HOST_NAME_LENGTH
        && !text.starts_with('-')
        && !text.ends_with('-')
        && text.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-')
}

/// Tells whether `text` is a path of an HTTP request.
pub fn is_url_path(text: &str) -> bool {
    text.starts_with('/') && text.chars().all(|c| c.is_ascii_graphic())
}

/// Tells whether `text` is a SHA-256 digest in lower-case hexadecimal.
pub fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_LENGTH && text.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'))
}
