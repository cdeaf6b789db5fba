//! Commands `rollout`, `roll-back` and `rollouts`.

use bytes::Bytes;

use crate::cli::admin;
use crate::cli::command::RollBackOptions;
use crate::cli::command::RolloutOptions;
use crate::cli::command::StatusOptions;
use crate::cli::error::CliError;
use crate::cli::error::one_line;
use crate::cli::orders::as_text;
use crate::cli::orders::decode;
use crate::cli::output;
use crate::clock::millis;
use crate::control::rollout_admin::RollBackRequest;
use crate::control::rollout_admin::RolloutRequest;
use crate::control::rollout_admin::RolloutResponse;

/// Path for orders that begin a rollout.
pub const ROLLOUT_PATH: &str = "/admin/rollout";
/// Path for orders that roll a rollout back.
pub const ROLL_BACK_PATH: &str = "/admin/roll-back";
/// Path of the rollouts.
pub const ROLLOUTS_PATH: &str = "/admin/rollouts";

/// Begins a rollout.
///
/// # Errors
/// Fails with the outcome of the order unless it was accepted.
pub fn rollout(options: &RolloutOptions) -> Result<(), CliError> {
    let RolloutOptions { admin, pool, version, duration } = options.clone();
    let request = RolloutRequest { pool, version, duration_ms: millis(duration) };
    print_outcome(&admin::post(admin, ROLLOUT_PATH, &request)?)
}

/// Rolls the running rollout of a pool back.
///
/// # Errors
/// Fails with the outcome of the order unless it was accepted.
pub fn roll_back(options: &RollBackOptions) -> Result<(), CliError> {
    let RollBackOptions { admin, pool } = options.clone();
    print_outcome(&admin::post(admin, ROLL_BACK_PATH, &RollBackRequest { pool })?)
}

/// Prints the last rollout of each pool.
///
/// # Errors
/// Fails if the instance does not respond, or no leader confirms the rollouts.
pub fn list(options: &StatusOptions) -> Result<(), CliError> {
    let response = admin::get(options.admin, ROLLOUTS_PATH)?;
    output::write(&format!("{}\n", as_text(&response)?))
}

fn print_outcome(response: &Bytes) -> Result<(), CliError> {
    let text = as_text(response)?;
    match decode(response)? {
        RolloutResponse::Recorded(_) => output::write(&format!("{text}\n")),
        RolloutResponse::Busy(_)
        | RolloutResponse::Completed(_)
        | RolloutResponse::UnknownPool
        | RolloutResponse::StagePool => Err(CliError::Refused(one_line(text))),
        RolloutResponse::Unavailable { .. } | RolloutResponse::NotAccepted => {
            Err(CliError::Retry(one_line(text)))
        }
        RolloutResponse::Unknown => Err(CliError::Unknown(one_line(text))),
    }
}
