//! Schema of the configuration files: keys with their kind of value, unit, default and bounds.

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
    /// Default as written in the file; empty if there is none.
    pub default: &'static str,
    /// Whether the key must be set.
    pub required: bool,
}

/// Kind of value that a key accepts.
#[derive(Clone, Copy, Debug)]
pub enum ValueKind {
    /// `true` or `false`.
    Boolean,
    /// Integer within bounds.
    Integer(Bounds),
    /// Non-empty string.
    Text,
    /// Name of up to [`MAX_NAME_LENGTH`] letters, digits, hyphens, underscores and dots.
    Name,
    /// Name of an instance: a DNS label, so that it can be a host name in a certificate.
    HostName,
    /// List of instance names.
    HostNames,
    /// Path of an HTTP request.
    UrlPath,
    /// Path of a file or folder.
    FilePath,
    /// IP address and port.
    Address,
    /// List of IP addresses and ports.
    Addresses,
    /// Integer or floating-point number of at least 0.
    Float,
    /// One of several words.
    Choice(&'static [&'static str]),
    /// Table with its own keys.
    Table(&'static [Key]),
    /// List of tables with the same keys.
    TableArray(&'static [Key]),
    /// Table that maps SHA-256 digests to names.
    Digests,
}

/// Bounds of an integer.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Minimum, inclusive.
    pub min: u64,
    /// Maximum, inclusive.
    pub max: u64,
    /// Unit; empty for a plain number.
    pub unit: &'static str,
}

/// Maximum length of a name, in characters.
pub const MAX_NAME_LENGTH: usize = 64;

/// Maximum length of an instance name, in characters: that of a DNS label.
pub const MAX_HOST_NAME_LENGTH: usize = 63;

/// Length of a SHA-256 digest in hexadecimal, in characters.
pub const DIGEST_LENGTH: usize = 64;

impl Key {
    /// Creates an optional key.
    pub const fn new(name: &'static str, kind: ValueKind, default: &'static str) -> Self {
        Self { name, kind, default, required: false }
    }

    /// Creates a required key.
    pub const fn required(name: &'static str, kind: ValueKind) -> Self {
        Self { name, kind, default: "", required: true }
    }
}

impl ValueKind {
    /// Creates the kind of an integer from `min` to `max`, in `unit`.
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
            Self::HostNames => f.write_str("a list of instance names"),
            Self::UrlPath => f.write_str("a path that begins with '/' and holds no blanks"),
            Self::FilePath => f.write_str("path of a file or folder"),
            Self::Address => f.write_str("an IP address and port, such as \"127.0.0.1:8080\""),
            Self::Addresses => f.write_str("a list of IP addresses and ports"),
            Self::Float => f.write_str("a number of at least 0"),
            Self::Choice(words) => write_choice(f, words),
            Self::Table(_) => f.write_str("a table"),
            Self::TableArray(_) => f.write_str("a list of tables"),
            Self::Digests => f.write_str("a table of names by SHA-256 digest in hexadecimal"),
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
    for (index, word) in words.iter().enumerate() {
        let separator = if index > 0 { " or " } else { "" };
        write!(f, "{separator}\"{word}\"")?;
    }
    Ok(())
}

/// Returns whether `text` is a valid name.
pub fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_LENGTH
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
}

/// Returns whether `text` is a valid instance name.
pub fn is_host_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_HOST_NAME_LENGTH
        && !text.starts_with('-')
        && !text.ends_with('-')
        && text.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-')
}

/// Returns whether `text` is a valid path of an HTTP request.
pub fn is_url_path(text: &str) -> bool {
    text.starts_with('/') && text.chars().all(|c| c.is_ascii_graphic())
}

/// Returns whether `text` is a SHA-256 digest in lower-case hexadecimal.
pub fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_LENGTH && text.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'))
}
