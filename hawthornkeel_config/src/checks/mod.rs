//! Checks of what the keys of a file say together.

pub(crate) mod document;
pub(crate) mod settings;

use indexmap::IndexSet;

use crate::reader::Reader;

/// Reports each name at `keys` that stands before it already.
fn unique<'n>(reader: &mut Reader<'_>, names: impl Iterator<Item = (String, &'n str)>) {
    let mut seen = IndexSet::new();
    for (key, name) in names {
        if !name.is_empty() && !seen.insert(name) {
            reader.report(&key, format!("the name {name:?} stands twice"), "a name of its own");
        }
    }
}
