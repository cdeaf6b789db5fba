//! Part of the replicated state that every instance follows.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::LogIndex;
use crate::ids::Version;
use crate::names::CentreName;
use crate::state::command::CentreRecord;

/// What every instance follows; replaced as a whole, never by one with a lower index.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PublishedState {
    /// Log position of the last change to any part.
    pub index: LogIndex,
    /// Version of the environment document; zero before the first.
    pub version: Version,
    /// Text of the environment document.
    pub text: Arc<str>,
    /// SHA-256 of the text in hexadecimal.
    pub hash: Arc<str>,
    /// Last order about each data centre.
    pub centres: IndexMap<CentreName, CentreRecord>,
}
