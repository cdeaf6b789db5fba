//! Admission of requests by route, key and age of the document.

use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::table::RouteTable;
use hawthornkeel_core::table::access;
use hawthornkeel_core::table::access::AccessRequest;
use hawthornkeel_core::table::access::Denied;
use hawthornkeel_core::table::access::Freshness;
use hawthornkeel_platform::fields;
use http::header::AUTHORIZATION;
use http::header::HOST;

use crate::forward::context::Context;
use crate::forward::measures;
use crate::forward::request::IncomingRequest;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::problem::Code;
use crate::http::problem::Problem;

/// Fraction of `confirm_ms` for which keys are accepted after the document's last confirmation.
///
/// The rest covers clocks that run at different rates, and control instances of older builds, which
/// may confirm a replaced document. Together they bound the time until a key change takes effect.
const KEY_AGE_FRACTION: f64 = 0.6;
/// Maximum age of the last confirmation at which requests are denied; older documents may be stale.
const MAX_DENIAL_AGE: Duration = Duration::from_millis(1_500);
/// Retry delay for callers of an entry without a current document.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Admits a request.
///
/// # Errors
/// Returns the problem to respond with if the request is denied.
pub fn admit(context: &Context, request: Request) -> Result<IncomingRequest, Problem> {
    let not_ready = || Problem::not_run(Code::NotReady).with_retry_after(NOT_READY_RETRY_AFTER);
    let table = context.table.borrow().clone().ok_or_else(not_ready)?;
    let age = document_age(context, &table).ok_or_else(not_ready)?;
    let key_age =
        Duration::from_millis(context.settings.forward.confirm_ms).mul_f64(KEY_AGE_FRACTION);
    let freshness = Freshness { age, max_key_age: key_age, max_denial_age: MAX_DENIAL_AGE };
    let admitted =
        access::authorize(&table, &access_request(&request.head), freshness).map_err(|denied| {
            let (id, version) = (request.head.header(fields::REQUEST_ID), table.version);
            tracing::info!(
                event = "request-denied",
                request = id,
                ?denied,
                %version,
                age_ms = age.as_millis(),
            );
            measures::request_denied(denied);
            match denied {
                Denied::NoRoute => Problem::not_run(Code::NotFound),
                Denied::NoKey => Problem::not_run(Code::Unauthorized),
                Denied::Unsure => not_ready(),
            }
        })?;
    IncomingRequest::new(request, admitted, Rc::clone(&table)).ok_or_else(not_ready)
}

/// Returns the time since the document of `table` was last confirmed to be in force.
///
/// What confirms a newer document that this entry can't decode doesn't confirm the one before it.
fn document_age(context: &Context, table: &RouteTable) -> Option<Duration> {
    let (published, age) = (context.watch.current()?, context.watch.age()?);
    Some(if published.version == table.version { age } else { Duration::MAX })
}

fn access_request(head: &Head) -> AccessRequest<'_> {
    AccessRequest {
        host: head.header(HOST.as_str()).unwrap_or_default(),
        path: &head.path,
        key: head.header(AUTHORIZATION.as_str()).and_then(fields::api_key),
    }
}
