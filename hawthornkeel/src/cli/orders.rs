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

/// Path for submitted documents.
pub const SUBMIT_PATH: &str = "/admin/submit";
/// Path of the status report.
pub const STATUS_PATH: &str = "/admin/status";
/// Path for orders to take a data centre out of service.
pub const TAKE_OUT_PATH: &str = "/admin/take-out";
/// Path for orders to bring a data centre back into service.
pub const BRING_BACK_PATH: &str = "/admin/bring-back";

/// Checks a document and submits it.
///
/// # Errors
/// Fails with the findings if the document has errors, or with the outcome of the order.
pub fn submit(options: &SubmitOptions) -> Result<(), CliError> {
    let text = read_text(&options.document)?;
    parse_document(&options.document.display().to_string(), &text)?;
    let order = &options.order;
    print_operation(order);
    let request = SubmitRequest {
        operator: order.operator.clone(),
        operation: order.operation,
        expected: options.expected,
        text: text.into(),
    };
    let response = admin::post(order.admin, SUBMIT_PATH, &request)?;
    let text = as_text(&response)?;
    match decode(&response)? {
        SubmitResponse::Accepted { .. } => output::write(&format!("{text}\n")),
        SubmitResponse::Conflict(_) => Err(CliError::Refused(one_line(text))),
        SubmitResponse::NotAccepted => Err(CliError::Retry(one_line(text))),
        SubmitResponse::Unknown => Err(CliError::Unknown(one_line(text))),
    }
}

/// Prints the state of an instance.
///
/// # Errors
/// Fails if the instance does not respond.
pub fn status(options: &StatusOptions) -> Result<(), CliError> {
    let response = admin::get(options.admin, STATUS_PATH)?;
    output::write(&format!("{}\n", as_text(&response)?))
}

/// Takes a data centre out of service.
///
/// # Errors
/// Fails with the outcome of the order unless it was accepted.
pub fn take_out(options: &CentreOptions) -> Result<(), CliError> {
    order_centre(options, TAKE_OUT_PATH)
}

/// Brings a data centre back into service.
///
/// # Errors
/// Fails with the outcome of the order unless it was accepted.
pub fn bring_back(options: &CentreOptions) -> Result<(), CliError> {
    order_centre(options, BRING_BACK_PATH)
}

fn order_centre(options: &CentreOptions, path: &str) -> Result<(), CliError> {
    let order = &options.order;
    print_operation(order);
    let request = CentreRequest {
        operator: order.operator.clone(),
        operation: order.operation,
        centre: options.centre.clone(),
    };
    let response = admin::post(order.admin, path, &request)?;
    let text = as_text(&response)?;
    match decode(&response)? {
        CentreResponse::Logged(_) | CentreResponse::Held => output::write(&format!("{text}\n")),
        CentreResponse::Conflict(_) => Err(CliError::Refused(one_line(text))),
        CentreResponse::NotAccepted | CentreResponse::Full => Err(CliError::Retry(one_line(text))),
        CentreResponse::Unknown => Err(CliError::Unknown(one_line(text))),
    }
}

/// Prints the operation number, which a retry needs, to standard error.
fn print_operation(order: &OrderOptions) {
    eprintln!("operation {}", order.operation);
}

pub(super) fn decode<T: DeserializeOwned>(response: &Bytes) -> Result<T, CliError> {
    serde_json::from_slice(response)
        .map_err(|error| CliError::Unknown(format!("the answer can't be read: {error}")))
}

pub(super) fn as_text(response: &Bytes) -> Result<&str, CliError> {
    let text = str::from_utf8(response);
    text.map(str::trim_end).map_err(|_| CliError::Unknown("the answer is not UTF-8".to_owned()))
}
