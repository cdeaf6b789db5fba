//! Reads what a request claims and has it admitted or answered.

use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::table::access;
use hawthornkeel_core::table::access::AccessRequest;
use hawthornkeel_core::table::access::Denied;
use hawthornkeel_core::table::access::Freshness;
use hawthornkeel_platform::fields;
use http::header::AUTHORIZATION;
use http::header::HOST;

use crate::forward::context::Context;
use crate::forward::request::Ticket;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::problem::Code;
use crate::http::problem::Problem;

/// Part of the time that keys may be accepted after a change for which a document counts.
///
/// The rest is for control, which may confirm a document for an election time after a change.
const KEY_PART: f64 = 0.6;
/// Age from which on an entry denies nothing.
const DENIAL_AGE: Duration = Duration::from_millis(1_500);
/// Time after which a caller of an entry without a document may come back.
const RETRY: Duration = Duration::from_millis(300);

/// Admits a request.
///
/// # Errors
/// Fails with the answer where it may not pass.
pub fn admit(context: &Context, request: Request) -> Result<Ticket, Problem> {
    let not_ready = || Problem::not_run(Code::NotReady).with_retry_after(RETRY);
    let table = context.table.borrow().clone().ok_or_else(not_ready)?;
    let age = context.watch.age().ok_or_else(not_ready)?;
    let keys = Duration::from_millis(context.settings.forward.confirm_ms).mul_f64(KEY_PART);
    let confirmed = Freshness { age, max_key_age: keys, max_denial_age: DENIAL_AGE };
    let pass = access::authorize(&table, &claim(&request.head), confirmed).map_err(|denied| {
        let (id, version) = (request.head.header(fields::REQUEST_ID), table.version);
        tracing::info!(event = "request-denied", request = id, ?denied, %version, age_ms = age.as_millis());
        match denied {
            Denied::NoRoute => Problem::not_run(Code::NotFound),
            Denied::NoKey => Problem::not_run(Code::Unauthorized),
            Denied::Unsure => not_ready(),
        }
    })?;
    Ticket::new(request, pass, Rc::clone(&table)).ok_or_else(not_ready)
}

fn claim(head: &Head) -> AccessRequest<'_> {
    AccessRequest {
        host: head.header(HOST.as_str()).unwrap_or_default(),
        path: &head.path,
        key: head.header(AUTHORIZATION.as_str()).and_then(fields::api_key),
    }
}
