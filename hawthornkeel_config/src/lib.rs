//! Configuration files of hawthornkeel: schema, defaults and validation of process settings and
//! environment documents.

#![deny(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

mod checks;
pub mod findings;
pub mod load;
mod reader;
pub mod schema;
pub mod settings;

pub use findings::Finding;
pub use findings::Findings;
pub use load::Checked;
pub use load::FileKind;
pub use load::check_document;
pub use load::check_settings;
pub use load::content_hash;
pub use load::load_settings;
pub use load::parse_document;
