//! Reads the platform's list of targets, page by page.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_platform::target_list;
use hawthornkeel_platform::target_list::Page;
use indexmap::IndexSet;

use crate::forward::exchange_error::ExchangeError;
use crate::forward::http_client::HttpClient;
use crate::forward::internal_request;
use crate::forward::internal_request::InternalRequest;

/// Bounds on reading the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListLimits {
    /// Maximum number of pages.
    pub max_pages: usize,
    /// Maximum size of all pages together, in bytes.
    pub max_bytes: usize,
    /// Timeout for one page.
    pub page_timeout: Duration,
    /// Timeout for the whole list.
    pub timeout: Duration,
}

impl Default for ListLimits {
    fn default() -> Self {
        Self {
            max_pages: 1_000,
            // An entry of the list takes about 200 bytes, and 12,000 targets are expected.
            max_bytes: 32 << 20,
            page_timeout: Duration::from_millis(1_500),
            timeout: Duration::from_secs(10),
        }
    }
}

/// What was read of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListReading {
    /// Targets that were read.
    pub list: TargetList,
    /// Whether these are all; else a page can't be decoded completely, or a later one not be reached.
    pub is_complete: bool,
}

/// Why the list can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ListError {
    /// A page was not received.
    Exchange(ExchangeError),
    /// The response to the request for a page has another status than 200.
    Status(u16),
    /// The first page, or all of them, can't be decoded.
    Undecodable(String),
    /// A page names itself or an earlier one as the next.
    RepeatedPage,
    /// The list has more pages than its limit.
    TooManyPages,
    /// The list is larger than its limit.
    TooLarge,
    /// The timeout for the whole list has passed.
    TimedOut,
}

impl ListError {
    /// Returns the name for metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Exchange(
                ExchangeError::NotSent(_) | ExchangeError::NotResent(_) | ExchangeError::Withheld,
            ) => "unreached",
            Self::Exchange(ExchangeError::Interrupted(_) | ExchangeError::Unproved) => "broken",
            Self::Exchange(ExchangeError::TimedOut) | Self::TimedOut => "time",
            Self::Exchange(ExchangeError::Exceeded(_)) | Self::TooLarge => "bytes",
            Self::TooManyPages => "pages",
            Self::Undecodable(_) | Self::RepeatedPage => "malformed",
            Self::Status(_) => "status",
        }
    }
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exchange(error) => error.fmt(f),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Undecodable(cause) => f.write_str(cause),
            Self::RepeatedPage => f.write_str("a page repeats"),
            Self::TooManyPages => f.write_str("too many pages"),
            Self::TooLarge => f.write_str("list is too large"),
            Self::TimedOut => f.write_str("list takes too long"),
        }
    }
}

impl std::error::Error for ListError {}

/// Reads the list from `address`, as far as its pages can be decoded.
///
/// # Errors
/// Returns the reason if a page is not received, or nothing of the list can be decoded.
pub async fn read_list(
    client: &HttpClient,
    address: SocketAddr,
    limits: &ListLimits,
) -> Result<ListReading, ListError> {
    let deadline = Instant::now() + limits.timeout;
    let mut targets = Vec::new();
    let mut is_complete = true;
    let mut bytes = 0_usize;
    let mut paths: IndexSet<String> = IndexSet::new();
    let mut path = target_list::PATH.to_owned();
    while paths.len() < limits.max_pages {
        let page_deadline = deadline.min(Instant::now() + limits.page_timeout);
        let body = match read_page(client, address, &path, page_deadline).await {
            Err(_) if Instant::now() >= deadline => return Err(ListError::TimedOut),
            body => body?,
        };
        bytes = bytes.saturating_add(body.len());
        if bytes > limits.max_bytes {
            return Err(ListError::TooLarge);
        }
        let page = match target_list::decode_page(&body) {
            Ok(page) => page,
            Err(error) if paths.is_empty() => {
                return Err(ListError::Undecodable(error.to_string()));
            }
            Err(_) => Page::default(),
        };
        is_complete &= page.complete;
        if page.skipped > 0 {
            tracing::debug!(event = "list-entries-skipped", count = page.skipped);
        }
        targets.extend(page.targets);
        let Some(next) = page.next else { return reading(targets, is_complete) };
        paths.insert(path);
        if paths.contains(&next) {
            return Err(ListError::RepeatedPage);
        }
        path = next;
    }
    Err(ListError::TooManyPages)
}

fn reading(targets: Vec<ListedTarget>, is_complete: bool) -> Result<ListReading, ListError> {
    if targets.is_empty() && !is_complete {
        return Err(ListError::Undecodable("no entry can be decoded".to_owned()));
    }
    Ok(ListReading { list: target_list::merge_pages(targets), is_complete })
}

/// Reads one page.
async fn read_page(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    deadline: Instant,
) -> Result<Bytes, ListError> {
    let request = InternalRequest { address, path, body: None, fields: &[], deadline };
    let response = internal_request::send(client, &request).await.map_err(ListError::Exchange)?;
    match response.status {
        200 => Ok(response.body),
        status => Err(ListError::Status(status)),
    }
}
