//! Votes for and holds the lease on cold targets, and issues grants while holding it.

use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::lease::Holder;
use hawthornkeel_core::lease::Issuer;
use hawthornkeel_core::lease::Voter;
use hawthornkeel_core::lease::issuer::IssuerOutput;
use hawthornkeel_core::lease::message::GrantMessage;
use hawthornkeel_core::lease::message::MemberId;
use hawthornkeel_core::lease::message::VoteMessage;
use hawthornkeel_core::lease::settings::LeaseSettings;
use hawthornkeel_core::lease::voters::choose_voters;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::routing::router::EntryInfo;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::entry::context::Context;
use crate::entry::messaging::EntryMessage;

/// Interval between ticks of the holder and the issuer.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Voter, holder and issuer of this instance for the leases of data centres.
pub struct LeaseMember {
    /// Voters for the leases in which this instance votes, by data centre.
    voters: IndexMap<CentreName, Voter>,
    holder: Holder,
    issuer: Issuer,
}

impl LeaseMember {
    /// Creates the state of the member `own` among `entries`.
    pub fn new(
        now: Instant,
        own: &EntryInfo,
        entries: &[EntryInfo],
        settings: &LeaseSettings,
    ) -> Self {
        let name = &own.id.name;
        let centres: IndexSet<_> = entries.iter().map(|e| e.centre.clone()).collect();
        let is_voter = |centre: &CentreName| choose_voters(centre, entries).contains(name);
        let voter = |centre| (centre, Voter::new(now, name.clone(), settings.clone()));
        let voters = centres.into_iter().filter(is_voter).map(voter).collect();
        let own_voters = choose_voters(&own.centre, entries);
        let holder = Holder::new(now, own.id.clone(), own_voters, settings.clone());
        Self { voters, holder, issuer: Issuer::new(own.centre.clone()) }
    }

    /// Applies the document, whose pools limit the number of grants.
    pub fn apply_document(&mut self, document: &Document) {
        self.issuer.apply_document(document);
    }
}

/// Runs until the process ends.
pub async fn run(context: Rc<Context>) {
    loop {
        monoio::time::sleep(TICK_INTERVAL).await;
        tick(&context);
        let now = context.clock.now();
        let outputs = {
            let mut lease = context.lease.borrow_mut();
            let LeaseMember { holder, issuer, .. } = &mut *lease;
            issuer.tick(now, holder)
        };
        send_grant_messages(&context, outputs);
        let messages = context.router.borrow_mut().take_messages(now);
        for output in messages {
            send(&context, &output.issuer.name, context.grant_message(output.message));
        }
        context.dispatch_queued();
    }
}

/// Releases the lease, so that another member does not have to wait for it to expire.
pub fn resign(context: &Rc<Context>) {
    let resign = context.lease.borrow_mut().holder.resign(context.clock.now());
    send_to_voters(context, &resign);
}

/// Requests votes if a round is due. A stopping member renews its lease but doesn't acquire one.
fn tick(context: &Rc<Context>) {
    let now = context.clock.now();
    let request = {
        let mut lease = context.lease.borrow_mut();
        // Only voters may hold the lease, which limits the number of candidates.
        let is_voter = lease.voters.contains_key(&context.settings.instance.data_centre);
        let is_candidate =
            is_voter && (!context.shutdown.drain.is_set() || lease.holder.holds(now));
        is_candidate.then(|| lease.holder.tick(now)).flatten()
    };
    if let Some(request) = request {
        send_to_voters(context, &request);
    }
}

/// Sends `message` to all voters for the lease of this data centre.
fn send_to_voters(context: &Rc<Context>, message: &VoteMessage) {
    let voters = context.lease.borrow().holder.voters().to_vec();
    for voter in voters {
        send(context, &voter, EntryMessage::Vote(message.clone()));
    }
}

/// Sends `message` to an instance; a message to this instance is handled directly.
pub fn send(context: &Rc<Context>, to: &InstanceName, message: EntryMessage) {
    tracing::trace!(event = "entry-message-out", %to, ?message);
    if *to == context.settings.instance.name {
        receive(context, to, message);
        return;
    }
    context.messenger.send(to, message);
}

/// Handles a message from the instance `from`.
pub fn receive(context: &Rc<Context>, from: &InstanceName, message: EntryMessage) {
    tracing::trace!(event = "entry-message", %from, ?message);
    match message {
        EntryMessage::Vote(message) => receive_vote(context, from, message),
        EntryMessage::Grant { from, message } => receive_grant(context, &from, message),
    }
}

fn receive_vote(context: &Rc<Context>, from: &InstanceName, message: VoteMessage) {
    let now = context.clock.now();
    if matches!(message, VoteMessage::Reply { .. }) {
        let announcement = {
            let mut lease = context.lease.borrow_mut();
            let won = lease.holder.handle(now, &message);
            won.then(|| lease.issuer.announce(now, &lease.holder)).flatten()
        };
        if let Some(announcement) = announcement {
            log_announcement(&announcement);
            announce(context, announcement);
        }
        return;
    }
    let Some(centre) = context.centre_of(from) else {
        return;
    };
    let reply = {
        let mut lease = context.lease.borrow_mut();
        lease.voters.get_mut(&centre).and_then(|v| v.handle(now, &message))
    };
    if let Some(reply) = reply {
        send(context, from, EntryMessage::Vote(reply));
    }
}

fn log_announcement(announcement: &GrantMessage) {
    if let GrantMessage::Announce { centre, issuer, term } = announcement {
        tracing::debug!(event = "lease-held", %centre, %issuer, term);
    }
}

fn announce(context: &Rc<Context>, announcement: GrantMessage) {
    let own = context.settings.instance.name.clone();
    let peers = context.settings.peers.peers.iter().filter(|p| p.entry).map(|p| p.name.clone());
    for name in peers.chain([own]) {
        send(context, &name, context.grant_message(announcement.clone()));
    }
}

fn receive_grant(context: &Rc<Context>, from: &MemberId, message: GrantMessage) {
    let now = context.clock.now();
    match message {
        GrantMessage::Announce { .. }
        | GrantMessage::Granted { .. }
        | GrantMessage::Warm { .. } => pass_to_router(context, &message),
        GrantMessage::Request { .. }
        | GrantMessage::Release { .. }
        | GrantMessage::Vouch { .. } => pass_to_issuer(context, from, &message),
        GrantMessage::Suspect { .. } => {
            // Entries report suspicions to the issuer, which forwards them to all entries. This
            // instance may be both.
            if context.lease.borrow().holder.holds(now) {
                pass_to_issuer(context, from, &message);
            }
            if *from != context.member {
                pass_to_router(context, &message);
            }
        }
    }
}

fn pass_to_router(context: &Rc<Context>, message: &GrantMessage) {
    let now = context.clock.now();
    context.router.borrow_mut().handle_message(now, message);
    context.dispatch_queued();
}

fn pass_to_issuer(context: &Rc<Context>, from: &MemberId, message: &GrantMessage) {
    let now = context.clock.now();
    let outputs = {
        let mut lease = context.lease.borrow_mut();
        let LeaseMember { holder, issuer, .. } = &mut *lease;
        issuer.handle(now, holder, from, message)
    };
    send_grant_messages(context, outputs);
}

fn send_grant_messages(context: &Rc<Context>, outputs: Vec<IssuerOutput>) {
    for output in outputs {
        send(context, &output.to.name, context.grant_message(output.message));
    }
}
