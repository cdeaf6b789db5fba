//! Part of the replicated state that is distributed to every instance.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::LogIndex;
use crate::ids::Version;
use crate::names::CentreName;
use crate::state::command::CentreRecord;

/// Part of the replicated state that is distributed to every instance.
///
/// It is replaced as a whole, and never by a state with a lower index.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PublishedState {
    /// Log position of the last change to any field.
    pub index: LogIndex,
    /// Version of the environment document; zero before the first document.
    pub version: Version,
    /// Text of the environment document.
    pub text: Arc<str>,
    /// SHA-256 of the text in hexadecimal.
    pub hash: Arc<str>,
    /// Last order about each data centre.
    pub centres: IndexMap<CentreName, CentreRecord>,
}
