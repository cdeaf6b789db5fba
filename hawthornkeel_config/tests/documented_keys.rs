//! docs/CONFIGURATION.md documents every key with its unit, default and bounds.

use std::fs;

use hawthornkeel_config::schema::Key;
use hawthornkeel_config::schema::ValueKind;
use hawthornkeel_config::schema::document::DOCUMENT_KEYS;
use hawthornkeel_config::schema::settings::SETTINGS_KEYS;
use hawthornkeel_core::state::claims;
use hawthornkeel_core::state::clock;
use hawthornkeel_core::state::history;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/CONFIGURATION.md");

/// Returns the start of each key's table row, up to the meaning.
fn rows(keys: &[Key], path: &str) -> Vec<String> {
    let mut rows = Vec::new();
    for key in keys {
        let path =
            if path.is_empty() { key.name.to_owned() } else { format!("{path}.{}", key.name) };
        let default = match (key.required, key.default) {
            (true, _) => "required".to_owned(),
            (false, "") => "none".to_owned(),
            (false, default) => format!("`{default}`"),
        };
        rows.push(match key.kind {
            ValueKind::Integer(bounds) => {
                let (min, max, unit) = (bounds.min, bounds.max, bounds.unit);
                format!("| `{path}` | {unit} | {default} | {min} to {max} | ")
            }
            _ => format!("| `{path}` |  | {default} | "),
        });
        if let ValueKind::Table(keys) | ValueKind::TableArray(keys) = key.kind {
            rows.extend(self::rows(keys, &path));
        }
    }
    rows
}

#[test]
fn all_keys_are_documented() {
    let page = fs::read_to_string(PAGE).expect("docs/CONFIGURATION.md is readable");
    let expected = [rows(DOCUMENT_KEYS, ""), rows(SETTINGS_KEYS, "")].concat();
    for row in &expected {
        let found: Vec<&str> = page.lines().filter(|line| line.starts_with(row)).collect();
        assert!(!found.is_empty(), "no row starts with {row:?}");
        let meaning = found[0].trim_end_matches(" |").rsplit(" | ").next().unwrap_or_default();
        assert!(meaning.ends_with('.'), "no meaning in {:?}", found[0]);
    }
    let documented = page.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(documented, expected.len(), "rows of keys on the page");
}

#[test]
fn limits_are_documented() {
    let page = fs::read_to_string(PAGE).expect("docs/CONFIGURATION.md is readable");
    let hours = |duration: std::time::Duration| duration.as_secs() / 3600;
    let window = hours(claims::CLAIM_WINDOW);
    let limits = [
        ("CLAIM_WINDOW", format!("{window} h at least, {} h at most", 2 * window)),
        ("MAX_CLAIMS", claims::MAX_CLAIMS.to_string()),
        ("MAX_ANSWER", format!("{} bytes", claims::MAX_ANSWER)),
        ("MAX_ANSWERS", format!("{} bytes", claims::MAX_ANSWERS)),
        ("MAX_OPERATIONS", history::MAX_OPERATIONS.to_string()),
        ("MAX_STEP", format!("{} h", hours(clock::MAX_STEP))),
    ];
    for (name, value) in limits {
        let end = format!(" | {value} | `{name}` |");
        assert!(page.lines().any(|line| line.ends_with(&end)), "no row ends with {end:?}");
    }
}
