//! Controller of the lease for cold targets: votes, holds and hands out grants.

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

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// This instance's part in the leases of data centres.
pub struct LeaseMember {
    /// Votes, by the data centre whose lease they are for.
    voters: IndexMap<CentreName, Voter>,
    holder: Holder,
    issuer: Issuer,
}

impl LeaseMember {
    /// Creates the part of the member `own` among `entries`.
    pub fn new(now: Instant, own: &EntryInfo, entries: &[EntryInfo], set: &LeaseSettings) -> Self {
        let name = &own.id.name;
        let centres: IndexSet<_> = entries.iter().map(|e| e.centre.clone()).collect();
        let votes = |centre: &CentreName| choose_voters(centre, entries).contains(name);
        let voter = |centre| (centre, Voter::new(now, name.clone(), set.clone()));
        let voters = centres.into_iter().filter(votes).map(voter).collect();
        let named = choose_voters(&own.centre, entries);
        let holder = Holder::new(now, own.id.clone(), named, set.clone());
        Self { voters, holder, issuer: Issuer::new(own.centre.clone()) }
    }

    /// Takes the document's pools, whose limits bound the grants.
    pub fn apply_document(&mut self, document: &Document) {
        self.issuer.apply_document(document);
    }
}

/// Runs until the process ends.
pub async fn run(context: Rc<Context>) {
    loop {
        monoio::time::sleep(TICK).await;
        tick(&context);
        let now = context.clock.now();
        let issued = {
            let mut lease = context.lease.borrow_mut();
            let LeaseMember { holder, issuer, .. } = &mut *lease;
            issuer.tick(now, holder)
        };
        send_issued(&context, issued);
        let messages = context.router.borrow_mut().take_messages(now);
        for output in messages {
            send(&context, &output.issuer.name, context.grant_message(output.message));
        }
        context.dispatch_queued();
    }
}

/// Gives up the lease, so that another member need not wait for its end.
pub fn resign(context: &Rc<Context>) {
    let resign = context.lease.borrow_mut().holder.resign(context.clock.now());
    send_to_voters(context, &resign);
}

/// Asks for votes where a round is due; a member that stops does not ask for a lease anew.
fn tick(context: &Rc<Context>) {
    let now = context.clock.now();
    let ask = {
        let mut lease = context.lease.borrow_mut();
        // Only a voter can hold the lease, so that few instances ask.
        let votes = lease.voters.contains_key(&context.settings.instance.data_centre);
        let asks = votes && (!context.draining.is_set() || lease.holder.holds(now));
        asks.then(|| lease.holder.tick(now)).flatten()
    };
    if let Some(ask) = ask {
        send_to_voters(context, &ask);
    }
}

/// Sends `message` to every voter of the own data centre's lease.
fn send_to_voters(context: &Rc<Context>, message: &VoteMessage) {
    let voters = context.lease.borrow().holder.voters().to_vec();
    for voter in voters {
        send(context, &voter, EntryMessage::Vote(message.clone()));
    }
}

/// Sends `message` to an instance, or takes it here where it is this one.
pub fn send(context: &Rc<Context>, to: &InstanceName, message: EntryMessage) {
    tracing::trace!(event = "entry-message-out", %to, ?message);
    if *to == context.settings.instance.name {
        receive(context, to, message);
        return;
    }
    context.messenger.send(to, message);
}

/// Takes a message of instance `from`.
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
        | GrantMessage::Warm { .. } => take_grant(context, &message),
        GrantMessage::Request { .. }
        | GrantMessage::Release { .. }
        | GrantMessage::Vouch { .. } => issue(context, from, &message),
        GrantMessage::Suspect { .. } => {
            // The issuer passes a suspicion on to the entries; this one may be either.
            if context.lease.borrow().holder.holds(now) {
                issue(context, from, &message);
            }
            if *from != context.member {
                take_grant(context, &message);
            }
        }
    }
}

fn take_grant(context: &Rc<Context>, message: &GrantMessage) {
    let now = context.clock.now();
    context.router.borrow_mut().handle_message(now, message);
    context.dispatch_queued();
}

fn issue(context: &Rc<Context>, from: &MemberId, message: &GrantMessage) {
    let now = context.clock.now();
    let outputs = {
        let mut lease = context.lease.borrow_mut();
        let LeaseMember { holder, issuer, .. } = &mut *lease;
        issuer.handle(now, holder, from, message)
    };
    send_issued(context, outputs);
}

fn send_issued(context: &Rc<Context>, outputs: Vec<IssuerOutput>) {
    for output in outputs {
        send(context, &output.to.name, context.grant_message(output.message));
    }
}
