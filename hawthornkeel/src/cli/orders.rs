//! Commands `submit`, `status`, `take-out` and `bring-back`: orders to an instance.

use std::str;

use bytes::Bytes;
use hawthornkeel_config::load::read_text;
use hawthornkeel_config::parse_document;
use serde::de::DeserializeOwned;

use crate::cli::admin;
use crate::cli::command::CentreOptions;
use crate::cli::command::OrderOptions;
use crate::cli::command::StatusOptions;
use crate::cli::command::SubmitOptions;
use crate::cli::error::CliError;
use crate::cli::error::one_line;
use crate::cli::output;
use crate::control::admin::CentreRequest;
use crate::control::admin::CentreResponse;
use crate::control::admin::SubmitRequest;
use crate::control::admin::SubmitResponse;

/// Path that takes documents.
pub const SUBMIT_PATH: &str = "/admin/submit";
/// Path that shows the state.
pub const STATUS_PATH: &str = "/admin/status";
/// Path that takes a data centre out of service.
pub const TAKE_OUT_PATH: &str = "/admin/take-out";
/// Path that brings a data centre back.
pub const BRING_BACK_PATH: &str = "/admin/bring-back";

/// Submits a document that has no findings.
///
/// # Errors
/// Fails with the findings, or as the exit codes tell.
pub fn submit(options: &SubmitOptions) -> Result<(), CliError> {
    let text = read_text(&options.document)?;
    parse_document(&options.document.display().to_string(), &text)?;
    let order = &options.order;
    announce(order);
    let request = SubmitRequest {
        operator: order.operator.clone(),
        operation: order.operation,
        expected: options.expected,
        text: text.into(),
    };
    let answer = admin::post(order.admin, SUBMIT_PATH, &request)?;
    let text = as_text(&answer)?;
    match decode(&answer)? {
        SubmitResponse::Accepted { .. } => output::write(&format!("{text}\n")),
        SubmitResponse::Conflict(_) => Err(CliError::Refused(one_line(text))),
        SubmitResponse::NotAccepted => Err(CliError::Retry(one_line(text))),
        SubmitResponse::Unknown => Err(CliError::Unknown(one_line(text))),
    }
}

/// Shows the state of an instance.
///
/// # Errors
/// Fails where the instance gives no answer.
pub fn status(options: &StatusOptions) -> Result<(), CliError> {
    let answer = admin::get(options.admin, STATUS_PATH)?;
    output::write(&format!("{}\n", as_text(&answer)?))
}

/// Takes a data centre out of service.
///
/// # Errors
/// Fails as the exit codes tell.
pub fn take_out(options: &CentreOptions) -> Result<(), CliError> {
    order(options, TAKE_OUT_PATH)
}

/// Brings a data centre back.
///
/// # Errors
/// Fails as the exit codes tell.
pub fn bring_back(options: &CentreOptions) -> Result<(), CliError> {
    order(options, BRING_BACK_PATH)
}

fn order(options: &CentreOptions, path: &str) -> Result<(), CliError> {
    let order = &options.order;
    announce(order);
    let request = CentreRequest {
        operator: order.operator.clone(),
        operation: order.operation,
        centre: options.centre.clone(),
    };
    let answer = admin::post(order.admin, path, &request)?;
    let text = as_text(&answer)?;
    match decode(&answer)? {
        CentreResponse::Logged(_) | CentreResponse::Held => output::write(&format!("{text}\n")),
        CentreResponse::Conflict(_) => Err(CliError::Refused(one_line(text))),
        CentreResponse::NotAccepted | CentreResponse::Full => Err(CliError::Retry(one_line(text))),
        CentreResponse::Unknown => Err(CliError::Unknown(one_line(text))),
    }
}

/// Names the operation number, which a resend needs.
fn announce(order: &OrderOptions) {
    eprintln!("operation {}", order.operation);
}

fn decode<T: DeserializeOwned>(answer: &Bytes) -> Result<T, CliError> {
    serde_json::from_slice(answer)
        .map_err(|error| CliError::Unknown(format!("the answer can't be read: {error}")))
}

fn as_text(answer: &Bytes) -> Result<&str, CliError> {
    let text = str::from_utf8(answer);
    text.map(str::trim_end).map_err(|_| CliError::Unknown("the answer is not UTF-8".to_owned()))
}
