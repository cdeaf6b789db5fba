//! Form of a stream, by which the answer of another target is known to go on with it.

use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use http::header::CONTENT_ENCODING;
use http::header::CONTENT_TYPE;

use crate::forward::http_client::TargetResponse;

/// Status, media type and coding of a stream.
///
/// The body of an answer with another form, such as a message about an error, is no part of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamForm {
    status: StatusCode,
    media_type: Option<String>,
    coding: Option<String>,
}

impl StreamForm {
    /// Returns the form of a target's response.
    pub fn of(response: &TargetResponse) -> Self {
        let value = |name: &HeaderName| value(&response.headers, name);
        // Parameters such as the character set are not compared.
        let media_type = value(&CONTENT_TYPE).map(|full| match full.split_once(';') {
            Some((media_type, _)) => media_type.trim().to_owned(),
            None => full,
        });
        Self { status: response.status, media_type, coding: value(&CONTENT_ENCODING) }
    }
}

/// Returns the value of a field in lower case.
fn value(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).trim().to_ascii_lowercase())
}
