//! What a request needs of its target.

use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::TargetQuery;
use hawthornkeel_core::rollout::versions::VersionRule;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::request::IncomingRequest;

/// Returns the data centre in which the request is likely to run.
pub fn likely_centre(context: &Context, request: &IncomingRequest) -> Option<CentreName> {
    let centre = preferred_centre(context, request);
    let rule = context.version_rule(request, request.origin.as_ref());
    let query = target_query(request, centre.as_ref(), &[], 1, &rule);
    context.balancer.borrow_mut().likely_centre(boot_now(), &query)
}

/// Returns the query for a target of the request's pool other than those `tried`, which has the
/// software that began the stream if the request goes on with one, and a version that its pool's
/// rollout leaves.
pub(super) fn target_query<'a>(
    request: &'a IncomingRequest,
    centre: Option<&'a CentreName>,
    tried: &'a [TargetName],
    entry_count: usize,
    rule: &'a VersionRule,
) -> TargetQuery<'a> {
    let IncomingRequest { pool, session, origin, .. } = request;
    TargetQuery {
        pool: &pool.name,
        session: *session,
        centre,
        tried,
        cold: pool.cold,
        entries: entry_count,
        version: origin.as_ref().map(|o| &o.version),
        rule,
    }
}

/// Returns the data centre whose targets are preferred: this entry's own, unless the route uses
/// session affinity.
pub(super) fn preferred_centre(context: &Context, request: &IncomingRequest) -> Option<CentreName> {
    (!request.route.session_affinity).then(|| context.centre().clone())
}
