//! Commands `submit`, `status`, `take-out` and `bring-back`: orders to an instance.

use std::str;

use bytes::Bytes;
use hawthornkeel_config::load::read_text;
use hawthornkeel_config::parse_document;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::OperatorName;
use serde::Deserialize;
use serde::Serialize;

use crate::cli::admin;
use crate::cli::command::CentreOptions;
use crate::cli::command::OrderOptions;
use crate::cli::command::StatusOptions;
use crate::cli::command::SubmitOptions;
use crate::cli::error::CliError;

/// Path that takes documents.
pub const SUBMIT_PATH: &str = "/admin/submit";
/// Path that shows the state.
pub const STATUS_PATH: &str = "/admin/status";
/// Path that takes a data centre out of service.
pub const TAKE_OUT_PATH: &str = "/admin/take-out";
/// Path that brings a data centre back.
pub const BRING_BACK_PATH: &str = "/admin/bring-back";

/// Order to put a document into force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SubmitOrder {
    /// Who orders.
    pub operator: OperatorName,
    /// Operation number.
    pub operation: OperationNumber,
    /// Version that the document replaces.
    pub expected: Version,
    /// Text of the document.
    pub text: String,
}

/// Order about a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CentreOrder {
    /// Who orders.
    pub operator: OperatorName,
    /// Operation number.
    pub operation: OperationNumber,
    /// Data centre concerned.
    pub centre: CentreName,
}

/// Submits a document that has no findings.
pub fn submit(options: &SubmitOptions) -> Result<(), CliError> {
    let text = read_text(&options.document)?;
    parse_document(&options.document.display().to_string(), &text)?;
    let order = &options.order;
    announce(order);
    let body = SubmitOrder {
        operator: order.operator.clone(),
        operation: order.operation,
        expected: options.expected,
        text,
    };
    print(&admin::post(order.admin, SUBMIT_PATH, &body)?)
}

/// Shows the state of an instance.
pub fn status(options: &StatusOptions) -> Result<(), CliError> {
    print(&admin::get(options.admin, STATUS_PATH)?)
}

/// Takes a data centre out of service.
pub fn take_out(options: &CentreOptions) -> Result<(), CliError> {
    order(options, TAKE_OUT_PATH)
}

/// Brings a data centre back.
pub fn bring_back(options: &CentreOptions) -> Result<(), CliError> {
    order(options, BRING_BACK_PATH)
}

fn order(options: &CentreOptions, path: &str) -> Result<(), CliError> {
    let order = &options.order;
    announce(order);
    let body = CentreOrder {
        operator: order.operator.clone(),
        operation: order.operation,
        centre: options.centre.clone(),
    };
    print(&admin::post(order.admin, path, &body)?)
}

/// Names the operation number, which a resend needs.
fn announce(order: &OrderOptions) {
    eprintln!("operation {}", order.operation);
}

fn print(answer: &Bytes) -> Result<(), CliError> {
    let text = str::from_utf8(answer)
        .map_err(|_| CliError::Unknown("the answer is not UTF-8".to_owned()))?;
    println!("{}", text.trim_end());
    Ok(())
}
