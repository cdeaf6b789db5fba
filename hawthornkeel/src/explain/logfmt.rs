//! Parser for the fields of a logfmt line, as the crate `tracing-logfmt` writes them.
//!
//! That crate escapes quoted values as Rust does. Values in debug format may be unquoted with
//! spaces in them, so a word without `=` belongs to the value before it.

use std::error::Error;
use std::fmt;
use std::iter::Peekable;
use std::str::Chars;

/// Base of the digits of an escaped character.
const HEXADECIMAL: u32 = 16;

/// Reason why a line is not logfmt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogfmtError {
    /// There is no field before this point, or a field has no name.
    NoName,
    /// A quoted value has no end, or goes on behind its end.
    Quote,
    /// An escape sequence is unknown or incomplete.
    Escape,
}

impl fmt::Display for LogfmtError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoName => "field without a name",
            Self::Quote => "quoted value without an end",
            Self::Escape => "unknown escape sequence",
        })
    }
}

impl Error for LogfmtError {}

/// Parses the fields of a line in their order; a name may occur more than once.
///
/// # Errors
/// Fails if the line is not logfmt.
pub fn parse(line: &str) -> Result<Vec<(String, String)>, LogfmtError> {
    let mut fields: Vec<(String, String)> = Vec::new();
    let mut chars = line.chars().peekable();
    loop {
        while chars.next_if(|c| c.is_whitespace()).is_some() {}
        if chars.peek().is_none() {
            return Ok(fields);
        }
        let word = word(&mut chars, |c| c == '=');
        if chars.next_if_eq(&'=').is_some() {
            if word.is_empty() {
                return Err(LogfmtError::NoName);
            }
            fields.push((word, value(&mut chars)?));
        } else {
            let (_, last) = fields.last_mut().ok_or(LogfmtError::NoName)?;
            last.push(' ');
            last.push_str(&word);
        }
    }
}

/// Takes the characters up to the next space or the next one that is `end`.
fn word(chars: &mut Peekable<Chars<'_>>, end: fn(char) -> bool) -> String {
    let mut word = String::new();
    while let Some(c) = chars.next_if(|c| !c.is_whitespace() && !end(*c)) {
        word.push(c);
    }
    word
}

fn value(chars: &mut Peekable<Chars<'_>>) -> Result<String, LogfmtError> {
    if chars.next_if_eq(&'"').is_none() {
        return Ok(word(chars, |_| false));
    }
    let mut value = String::new();
    loop {
        match chars.next().ok_or(LogfmtError::Quote)? {
            '"' => break,
            '\\' => value.push(escaped(chars)?),
            c => value.push(c),
        }
    }
    match chars.peek() {
        Some(c) if !c.is_whitespace() => Err(LogfmtError::Quote),
        _ => Ok(value),
    }
}

/// Takes an escape sequence, whose backslash was taken already.
fn escaped(chars: &mut Peekable<Chars<'_>>) -> Result<char, LogfmtError> {
    match chars.next() {
        Some('n') => Ok('\n'),
        Some('r') => Ok('\r'),
        Some('t') => Ok('\t'),
        Some('0') => Ok('\0'),
        Some(c @ ('\\' | '"' | '\'')) => Ok(c),
        Some('u') => code_point(chars),
        _ => Err(LogfmtError::Escape),
    }
}

/// Takes `{HEX}`, the code point of a character.
fn code_point(chars: &mut Peekable<Chars<'_>>) -> Result<char, LogfmtError> {
    chars.next_if_eq(&'{').ok_or(LogfmtError::Escape)?;
    let digits = word(chars, |c| c == '}' || c == '"');
    chars.next_if_eq(&'}').ok_or(LogfmtError::Escape)?;
    let code = u32::from_str_radix(&digits, HEXADECIMAL).ok();
    code.and_then(char::from_u32).ok_or(LogfmtError::Escape)
}
