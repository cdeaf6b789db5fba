//! Issuer: hands out grants for calls to cold targets while its member holds the lease.

use crate::document::Document;
use crate::lease::holder::Holder;
use crate::lease::message::GrantMessage;
use crate::names::CentreName;
use crate::time::Instant;

/// Issuer of one data centre's grants; every lease voter has one and the holder's is active.
#[derive(Debug)]
pub struct Issuer {
    centre: CentreName,
}

impl Issuer {
    /// Creates an issuer that knows no target.
    pub fn new(centre: CentreName) -> Self {
        Self { centre }
    }

    /// Takes the document's pools, whose limits bound the grants.
    pub fn apply_document(&mut self, _document: &Document) {}

    /// Answers an entry's message; `None` where there is nothing to answer.
    pub fn handle(
        &mut self,
        _now: Instant,
        _holder: &Holder,
        _message: &GrantMessage,
    ) -> Option<GrantMessage> {
        None
    }

    /// Returns the announcement that goes to all entries at each renewal of the lease.
    pub fn announce(&self, now: Instant, holder: &Holder) -> Option<GrantMessage> {
        let issuer = holder.id().clone();
        holder.holds(now).then(|| GrantMessage::Announce { centre: self.centre.clone(), issuer })
    }
}
