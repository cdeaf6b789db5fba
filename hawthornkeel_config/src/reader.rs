//! Parses a TOML file against its schema and records the position of each value.

use std::mem;
use std::net::SocketAddr;
use std::ops::Range;

use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde_spanned::Spanned;
use toml::de::DeArray;
use toml::de::DeInteger;
use toml::de::DeString;
use toml::de::DeTable;
use toml::de::DeValue;
use toml::de::Deserializer;

use crate::findings::Collector;
use crate::findings::Findings;
use crate::findings::Severity;
use crate::schema::Bounds;
use crate::schema::Key;
use crate::schema::ValueKind;
use crate::schema::is_digest;
use crate::schema::is_host_name;
use crate::schema::is_name;
use crate::schema::is_url_path;

/// Placeholder for a missing or invalid address, so that the rest of the file can be checked.
const PLACEHOLDER_ADDRESS: &str = "0.0.0.0:0";

/// Reader of one file.
pub(crate) struct Reader<'a> {
    collector: Collector<'a>,
    /// Severity of unknown keys.
    unknown_severity: Severity,
    /// Byte range of the value of each key path.
    ranges: IndexMap<String, Range<usize>>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str, unknown_severity: Severity) -> Self {
        Self { collector: Collector::new(file, text), unknown_severity, ranges: IndexMap::new() }
    }

    /// Parses `text` as a table with `keys`; an invalid value is replaced by its default.
    ///
    /// Returns `None` if the text is not valid TOML or can't be deserialised.
    pub(crate) fn read<T: DeserializeOwned>(&mut self, text: &str, keys: &[Key]) -> Option<T> {
        let (mut root, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            let range = error.span().unwrap_or_default();
            let message = error.message().replace('\n', ", ");
            self.collector.add(Severity::Error, range, "", message, "TOML");
        }
        if !errors.is_empty() {
            return None;
        }
        self.read_table(root.get_mut(), 0..0, "", keys);
        match T::deserialize(Deserializer::from(root)) {
            Ok(value) => Some(value),
            Err(error) => {
                let range = error.span().unwrap_or_default();
                let message = error.message().replace('\n', ", ");
                self.collector.add(Severity::Error, range, "", message, "docs/CONFIGURATION.md");
                None
            }
        }
    }

    /// Reports an error about `key` unless there is a finding about it already.
    pub(crate) fn report(&mut self, key: &str, message: String, accepted: &str) {
        if !self.collector.has(key) {
            let range = self.range_of(key);
            self.collector.add(Severity::Error, range, key, message, accepted);
        }
    }

    /// Returns whether there is no finding about `key`, so that its value can be used in checks.
    pub(crate) fn is_valid(&self, key: &str) -> bool {
        !self.collector.has(key)
    }

    /// Returns whether `key` is set in the file.
    pub(crate) fn is_set(&self, key: &str) -> bool {
        self.ranges.contains_key(key)
    }

    /// Returns the findings, sorted by position.
    pub(crate) fn finish(self) -> Findings {
        self.collector.finish()
    }

    /// Returns the byte range of the value of `key`, or of the innermost enclosing table if it is
    /// missing.
    fn range_of(&self, key: &str) -> Range<usize> {
        let mut path = key;
        loop {
            if let Some(range) = self.ranges.get(path) {
                return range.clone();
            }
            match path.rfind('.') {
                Some(dot) => path = path.get(..dot).unwrap_or_default(),
                None => return 0..0,
            }
        }
    }

    fn read_table(
        &mut self,
        table: &mut DeTable<'_>,
        range: Range<usize>,
        path: &str,
        keys: &[Key],
    ) {
        for (name, mut value) in mem::take(table) {
            let path = join_path(path, name.get_ref());
            let Some(key) = keys.iter().find(|k| k.name == name.get_ref().as_ref()) else {
                self.report_unknown_key(name.span(), &path, keys);
                continue;
            };
            self.ranges.insert(path.clone(), value.span());
            if self.check_value(key, &mut value, &path) || replace_invalid(key, &mut value) {
                table.insert(name, value);
            }
        }
        for key in keys.iter().filter(|k| k.required) {
            if table.contains_key(key.name) {
                continue;
            }
            let path = join_path(path, key.name);
            let accepted = key.kind.to_string();
            self.report_at(range.clone(), &path, "missing", &accepted);
            if let Some(text) = placeholder(key) {
                let value = DeValue::String(DeString::Borrowed(text));
                let name = Spanned::new(range.clone(), DeString::Borrowed(key.name));
                table.insert(name, Spanned::new(range.clone(), value));
            }
        }
    }

    fn report_unknown_key(&mut self, range: Range<usize>, path: &str, keys: &[Key]) {
        let names: Vec<&str> = keys.iter().map(|k| k.name).collect();
        let accepted = names.join(", ");
        self.collector.add(self.unknown_severity, range, path, "unknown key".to_owned(), &accepted);
    }

    fn report_at(&mut self, range: Range<usize>, path: &str, message: &str, accepted: &str) {
        self.collector.add(Severity::Error, range, path, message.to_owned(), accepted);
    }

    /// Checks a value and returns whether it can be used.
    fn check_value(&mut self, key: &Key, value: &mut Spanned<DeValue<'_>>, path: &str) -> bool {
        let range = value.span();
        let message = match (&key.kind, value.get_mut()) {
            (ValueKind::Table(keys), DeValue::Table(table)) => {
                self.read_table(table, range.clone(), path, keys);
                None
            }
            (ValueKind::TableArray(keys), DeValue::Array(array)) => {
                self.read_list(array, path, keys);
                None
            }
            (ValueKind::Digests, DeValue::Table(table)) => {
                self.read_digests(table, path);
                None
            }
            (kind, value) => scalar_problem(kind, value),
        };
        if let Some(message) = &message {
            let accepted = key.kind.to_string();
            self.report_at(range, path, message, &accepted);
        }
        message.is_none()
    }

    fn read_list(&mut self, array: &mut DeArray<'_>, path: &str, keys: &[Key]) {
        for (index, value) in array.iter_mut().enumerate() {
            let path = format!("{path}[{index}]");
            let range = value.span();
            self.ranges.insert(path.clone(), range.clone());
            if !matches!(value.get_ref(), DeValue::Table(_)) {
                let message = format!("{} in a list of tables", value.get_ref().type_str());
                self.report_at(range.clone(), &path, &message, "a table");
                *value = Spanned::new(range.clone(), DeValue::Table(DeTable::new()));
            }
            if let DeValue::Table(table) = value.get_mut() {
                self.read_table(table, range, &path, keys);
            }
        }
    }

    fn read_digests(&mut self, table: &mut DeTable<'_>, path: &str) {
        for (name, value) in mem::take(table) {
            let path = join_path(path, name.get_ref());
            self.ranges.insert(path.clone(), value.span());
            if !is_digest(name.get_ref()) {
                let accepted = "SHA-256 of a caller's key, 64 lower-case hexadecimal digits";
                self.report_at(name.span(), &path, "not a SHA-256 digest", accepted);
            }
            match scalar_problem(&ValueKind::Name, value.get_ref()) {
                Some(message) => {
                    let accepted = ValueKind::Name.to_string();
                    self.report_at(value.span(), &path, &message, &accepted);
                }
                None => {
                    table.insert(name, value);
                }
            }
        }
    }
}

/// Replaces an invalid value of a required key by a placeholder; returns whether there is one.
fn replace_invalid(key: &Key, value: &mut Spanned<DeValue<'_>>) -> bool {
    let Some(text) = placeholder(key).filter(|_| key.required) else {
        return false;
    };
    *value = Spanned::new(value.span(), DeValue::String(DeString::Borrowed(text)));
    true
}

/// Returns the placeholder for a required key that is missing or invalid.
fn placeholder(key: &Key) -> Option<&'static str> {
    match key.kind {
        ValueKind::Name | ValueKind::HostName => Some(""),
        ValueKind::Address => Some(PLACEHOLDER_ADDRESS),
        _ => None,
    }
}

/// Returns the path of the key `name` in the table at `path`.
fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

/// Returns a description of the problem with a value that is neither a table nor a list of tables.
fn scalar_problem(kind: &ValueKind, value: &DeValue<'_>) -> Option<String> {
    let accepted = match (kind, value) {
        (ValueKind::Boolean, DeValue::Boolean(_)) => true,
        (ValueKind::Integer(bounds), DeValue::Integer(number)) => is_in_bounds(bounds, number),
        (ValueKind::HostNames, DeValue::Array(names)) => {
            names.iter().all(|n| is_host_value(n.get_ref()))
        }
        (ValueKind::Addresses, DeValue::Array(list)) => {
            list.iter().all(|a| is_address(a.get_ref()))
        }
        (ValueKind::Float, DeValue::Integer(number)) => is_non_negative(number.as_str()),
        (ValueKind::Float, DeValue::Float(number)) => is_non_negative(number.as_str()),
        (kind, DeValue::String(text)) => match accepts_string(kind, text) {
            Some(accepted) => accepted,
            None => return Some("a string".to_owned()),
        },
        (_, other) => {
            return Some(format!("{} {}", indefinite_article(other.type_str()), other.type_str()));
        }
    };
    if accepted { None } else { Some(format!("{} is not accepted", display_value(value))) }
}

/// Returns whether a string is accepted; `None` if the kind of value is not a string.
fn accepts_string(kind: &ValueKind, text: &str) -> Option<bool> {
    match kind {
        ValueKind::Text | ValueKind::FilePath => Some(!text.trim().is_empty()),
        ValueKind::Name => Some(is_name(text)),
        ValueKind::HostName => Some(is_host_name(text)),
        ValueKind::UrlPath => Some(is_url_path(text)),
        ValueKind::Address => Some(text.parse::<SocketAddr>().is_ok()),
        ValueKind::Choice(words) => Some(words.contains(&text)),
        ValueKind::Boolean | ValueKind::Integer(_) | ValueKind::HostNames => None,
        ValueKind::Addresses | ValueKind::Float => None,
        ValueKind::Table(_) | ValueKind::TableArray(_) | ValueKind::Digests => None,
    }
}

fn is_host_value(value: &DeValue<'_>) -> bool {
    value.as_str().is_some_and(is_host_name)
}

fn is_address(value: &DeValue<'_>) -> bool {
    value.as_str().is_some_and(|a| a.parse::<SocketAddr>().is_ok())
}

fn is_non_negative(text: &str) -> bool {
    text.parse::<f64>().is_ok_and(|n| n.is_finite() && n >= 0.0)
}

fn is_in_bounds(bounds: &Bounds, number: &DeInteger<'_>) -> bool {
    u64::from_str_radix(number.as_str(), number.radix())
        .is_ok_and(|n| (bounds.min..=bounds.max).contains(&n))
}

/// Formats a value for a finding.
fn display_value(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.to_string(),
        other => format!("this {}", other.type_str()),
    }
}

fn indefinite_article(noun: &str) -> &'static str {
    if noun.starts_with(['a', 'e', 'i', 'o', 'u']) { "an" } else { "a" }
}
