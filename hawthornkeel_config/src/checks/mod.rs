//! Checks that involve more than one key.

pub(crate) mod document;
pub(crate) mod settings;

use indexmap::IndexSet;

use crate::reader::Reader;

/// Reports each name that repeats an earlier one; `names` holds pairs of key path and name.
fn report_duplicates<'n>(reader: &mut Reader<'_>, names: impl Iterator<Item = (String, &'n str)>) {
    let mut seen = IndexSet::new();
    for (key, name) in names {
        if !name.is_empty() && !seen.insert(name) {
            reader.report(&key, format!("the name {name:?} stands twice"), "a name of its own");
        }
    }
}
