//! Reads a file against its keys and remembers where each value stands.

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

/// Value that stands in for an address that is missing or wrong, so that reading can go on.
const NO_ADDRESS: &str = "0.0.0.0:0";

/// Reader of one file.
pub(crate) struct Reader<'a> {
    collector: Collector<'a>,
    /// Severity of a key that isn't known.
    unknown: Severity,
    /// Where the value of each key stands.
    places: IndexMap<String, Range<usize>>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str, unknown: Severity) -> Self {
        Self { collector: Collector::new(file, text), unknown, places: IndexMap::new() }
    }

    /// Reads `text` as a table with `keys`; a value that is wrong is replaced by its default.
    ///
    /// Returns `None` where the text is no TOML at all.
    pub(crate) fn read<T: DeserializeOwned>(&mut self, text: &str, keys: &[Key]) -> Option<T> {
        let (mut root, errors) = DeTable::parse_recoverable(text);
        for error in &errors {
            let range = error.span().unwrap_or_default();
            let wrong = error.message().replace('\n', ", ");
            self.collector.add(Severity::Error, range, "", wrong, "TOML");
        }
        if !errors.is_empty() {
            return None;
        }
        self.table(root.get_mut(), 0..0, "", keys);
        match T::deserialize(Deserializer::from(root)) {
            Ok(value) => Some(value),
            Err(error) => {
                let range = error.span().unwrap_or_default();
                let wrong = error.message().replace('\n', ", ");
                self.collector.add(Severity::Error, range, "", wrong, "docs/CONFIGURATION.md");
                None
            }
        }
    }

    /// Adds a finding about `key`, unless there is one already.
    pub(crate) fn report(&mut self, key: &str, wrong: String, accepted: &str) {
        if !self.collector.has(key) {
            let range = self.place(key);
            self.collector.add(Severity::Error, range, key, wrong, accepted);
        }
    }

    /// Tells whether no finding about `key` was added, so that others may be drawn from its value.
    pub(crate) fn is_sound(&self, key: &str) -> bool {
        !self.collector.has(key)
    }

    /// Tells whether `key` is given in the file.
    pub(crate) fn is_given(&self, key: &str) -> bool {
        self.places.contains_key(key)
    }

    /// Returns the findings sorted by place.
    pub(crate) fn finish(self) -> Findings {
        self.collector.finish()
    }

    /// Returns where `key` stands, or else the table that it is missing from.
    fn place(&self, key: &str) -> Range<usize> {
        let mut path = key;
        loop {
            if let Some(range) = self.places.get(path) {
                return range.clone();
            }
            match path.rfind('.') {
                Some(dot) => path = path.get(..dot).unwrap_or_default(),
                None => return 0..0,
            }
        }
    }

    fn table(&mut self, table: &mut DeTable<'_>, range: Range<usize>, path: &str, keys: &[Key]) {
        for (name, mut value) in mem::take(table) {
            let path = join(path, name.get_ref());
            let Some(key) = keys.iter().find(|k| k.name == name.get_ref().as_ref()) else {
                self.unknown_key(name.span(), &path, keys);
                continue;
            };
            self.places.insert(path.clone(), value.span());
            if self.value(key, &mut value, &path) || replace(key, &mut value) {
                table.insert(name, value);
            }
        }
        for key in keys.iter().filter(|k| k.required) {
            if table.contains_key(key.name) {
                continue;
            }
            let path = join(path, key.name);
            let accepted = key.kind.to_string();
            self.report_at(range.clone(), &path, "missing", &accepted);
            if let Some(text) = placeholder(key) {
                let value = DeValue::String(DeString::Borrowed(text));
                let name = Spanned::new(range.clone(), DeString::Borrowed(key.name));
                table.insert(name, Spanned::new(range.clone(), value));
            }
        }
    }

    fn unknown_key(&mut self, range: Range<usize>, path: &str, keys: &[Key]) {
        let names: Vec<&str> = keys.iter().map(|k| k.name).collect();
        let accepted = names.join(", ");
        self.collector.add(self.unknown, range, path, "unknown key".to_owned(), &accepted);
    }

    fn report_at(&mut self, range: Range<usize>, path: &str, wrong: &str, accepted: &str) {
        self.collector.add(Severity::Error, range, path, wrong.to_owned(), accepted);
    }

    /// Checks a value and tells whether it can be used.
    fn value(&mut self, key: &Key, value: &mut Spanned<DeValue<'_>>, path: &str) -> bool {
        let range = value.span();
        let wrong = match (&key.kind, value.get_mut()) {
            (ValueKind::Table(keys), DeValue::Table(table)) => {
                self.table(table, range.clone(), path, keys);
                None
            }
            (ValueKind::TableArray(keys), DeValue::Array(array)) => {
                self.list(array, path, keys);
                None
            }
            (ValueKind::Digests, DeValue::Table(table)) => {
                self.digests(table, path);
                None
            }
            (kind, value) => wrong_scalar(kind, value),
        };
        if let Some(wrong) = &wrong {
            let accepted = key.kind.to_string();
            self.report_at(range, path, wrong, &accepted);
        }
        wrong.is_none()
    }

    fn list(&mut self, array: &mut DeArray<'_>, path: &str, keys: &[Key]) {
        for (number, value) in array.iter_mut().enumerate() {
            let path = format!("{path}[{number}]");
            let range = value.span();
            self.places.insert(path.clone(), range.clone());
            if !matches!(value.get_ref(), DeValue::Table(_)) {
                let wrong = format!("{} in a list of tables", value.get_ref().type_str());
                self.report_at(range.clone(), &path, &wrong, "a table");
                *value = Spanned::new(range.clone(), DeValue::Table(DeTable::new()));
            }
            if let DeValue::Table(table) = value.get_mut() {
                self.table(table, range, &path, keys);
            }
        }
    }

    fn digests(&mut self, table: &mut DeTable<'_>, path: &str) {
        for (name, value) in mem::take(table) {
            let path = join(path, name.get_ref());
            self.places.insert(path.clone(), value.span());
            if !is_digest(name.get_ref()) {
                let accepted = "the SHA-256 of a caller's key, 64 lower-case hexadecimal digits";
                self.report_at(name.span(), &path, "not a digest", accepted);
            }
            match wrong_scalar(&ValueKind::Name, value.get_ref()) {
                Some(wrong) => {
                    let accepted = ValueKind::Name.to_string();
                    self.report_at(value.span(), &path, &wrong, &accepted);
                }
                None => {
                    table.insert(name, value);
                }
            }
        }
    }
}

/// Replaces the value of a required key that can't be used; tells whether it was replaced.
fn replace(key: &Key, value: &mut Spanned<DeValue<'_>>) -> bool {
    let Some(text) = placeholder(key).filter(|_| key.required) else {
        return false;
    };
    *value = Spanned::new(value.span(), DeValue::String(DeString::Borrowed(text)));
    true
}

/// Returns the text that stands in for a required key that is missing or wrong.
fn placeholder(key: &Key) -> Option<&'static str> {
    match key.kind {
        ValueKind::Name | ValueKind::HostName => Some(""),
        ValueKind::Address => Some(NO_ADDRESS),
        _ => None,
    }
}

/// Returns the path of the key `name` in the table at `path`.
fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

/// Returns what is wrong with a value that is no table or list of tables.
fn wrong_scalar(kind: &ValueKind, value: &DeValue<'_>) -> Option<String> {
    let accepted = match (kind, value) {
        (ValueKind::Boolean, DeValue::Boolean(_)) => true,
        (ValueKind::Integer(bounds), DeValue::Integer(number)) => is_within(bounds, number),
        (ValueKind::HostNames, DeValue::Array(names)) => names.iter().all(|n| is_host(n.get_ref())),
        (ValueKind::Addresses, DeValue::Array(list)) => {
            list.iter().all(|a| is_address(a.get_ref()))
        }
        (ValueKind::Float, DeValue::Integer(number)) => is_decimal(number.as_str()),
        (ValueKind::Float, DeValue::Float(number)) => is_decimal(number.as_str()),
        (kind, DeValue::String(text)) => match is_text(kind, text) {
            Some(accepted) => accepted,
            None => return Some("a string".to_owned()),
        },
        (_, other) => return Some(format!("{} {}", article(other.type_str()), other.type_str())),
    };
    if accepted { None } else { Some(format!("{} is not accepted", shown(value))) }
}

/// Tells whether a text is accepted, or `None` where the kind takes no text.
fn is_text(kind: &ValueKind, text: &str) -> Option<bool> {
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

fn is_host(value: &DeValue<'_>) -> bool {
    value.as_str().is_some_and(is_host_name)
}

fn is_address(value: &DeValue<'_>) -> bool {
    value.as_str().is_some_and(|a| a.parse::<SocketAddr>().is_ok())
}

fn is_decimal(text: &str) -> bool {
    text.parse::<f64>().is_ok_and(|n| n.is_finite() && n >= 0.0)
}

fn is_within(bounds: &Bounds, number: &DeInteger<'_>) -> bool {
    u64::from_str_radix(number.as_str(), number.radix())
        .is_ok_and(|n| (bounds.min..=bounds.max).contains(&n))
}

/// Returns a value as it is shown in a finding.
fn shown(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.to_string(),
        other => format!("this {}", other.type_str()),
    }
}

fn article(noun: &str) -> &'static str {
    if noun.starts_with(['a', 'e', 'i', 'o', 'u']) { "an" } else { "a" }
}
