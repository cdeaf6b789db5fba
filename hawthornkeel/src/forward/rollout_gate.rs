//! Checks that all members of the control group read rollouts before one enters the log.
//!
//! A member of an older build ends at a log entry that it can't read.

use std::time::Duration;

use hawthornkeel_core::names::InstanceName;

use crate::control::fan_out::call_all;
use crate::control::node::ControlNode;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::credentials::Protocol;

/// Time for which the leader tries to reach the members.
///
/// Leaves an order enough of the second after which its operator turns to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns the other members of the group that have not shown that they read rollouts.
///
/// Each of them is called, so that a member that was replaced by an older build shows itself. One that
/// can't be reached counts by its last connection.
pub async fn unproved_members(endpoint: &Endpoint, control: &ControlNode) -> Vec<InstanceName> {
    let mut members = control.other_members();
    let wait_for_all = |_: &Frame| false;
    call_all(endpoint, &members, &Frame::Lead, CONNECT_TIMEOUT, wait_for_all).await;
    members.retain(|member| endpoint.protocol(member) != Some(Protocol::Rollouts));
    members
}
