//! Published state at this instance, and the data centres that get no new work.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::published::PublishedState;
use hawthornkeel_core::state::take_out::MergeOutcome;
use hawthornkeel_core::state::take_out::TakeOut;
use hawthornkeel_core::state::take_out::TakeOuts;
use hawthornkeel_core::time::Instant;

use crate::clock::boot_now;
use crate::clock::millis;
use crate::peer::frame::Followed;
use crate::peer::frame::InstanceStatus;
use crate::peer::wakeup::EventCount;

/// Published state and take-out orders at this instance; clones share the state.
#[derive(Clone, Default)]
pub struct Watch {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    published: RefCell<Option<Rc<PublishedState>>>,
    take_outs: RefCell<TakeOuts>,
    /// Time until which the state includes all acknowledged changes, as a leader confirmed.
    ///
    /// On the boot clock, which advances while the machine is suspended.
    confirmed_at: Cell<Option<Instant>>,
    changed: EventCount,
}

impl Watch {
    /// Replaces the state unless its index is at least that of `published`.
    ///
    /// Returns whether the state was replaced.
    pub fn update(&self, published: PublishedState) -> bool {
        let current = self.index();
        if current.is_some_and(|index| published.index <= index) {
            return false;
        }
        let (index, version) = (published.index, published.version);
        tracing::info!(event = "published-in-force", %index, %version, hash = %published.hash);
        *self.inner.published.borrow_mut() = Some(Rc::new(published));
        self.inner.changed.notify();
        true
    }

    /// Returns the current state, or `None` before the first one.
    pub fn current(&self) -> Option<Rc<PublishedState>> {
        self.inner.published.borrow().clone()
    }

    /// Returns the log index of the current state.
    pub fn index(&self) -> Option<LogIndex> {
        self.inner.published.borrow().as_ref().map(|p| p.index)
    }

    /// Returns the data centres that get no new work.
    pub fn taken_out(&self) -> Vec<CentreName> {
        let published = self.current().unwrap_or_default();
        self.inner.take_outs.borrow().taken_out(&published.centres)
    }

    /// Returns the signal for changes of the state or of take-out orders.
    pub fn changes(&self) -> &EventCount {
        &self.inner.changed
    }

    /// Merges an order to take a data centre out.
    pub fn merge_take_out(&self, take_out: &TakeOut) -> MergeOutcome {
        let outcome = self.inner.take_outs.borrow_mut().merge(take_out);
        if outcome == MergeOutcome::New {
            let CentreOrder { operator, operation, centre, .. } = &take_out.order;
            tracing::info!(event = "take-out-heard", %operator, %operation, %centre);
            self.inner.changed.notify();
        }
        outcome
    }

    /// Records that `order` is superseded by the log from `index` on.
    pub fn mark_logged(&self, order: &CentreOrder, index: LogIndex) {
        self.inner.take_outs.borrow_mut().mark_logged(order, index);
        self.inner.changed.notify();
    }

    /// Returns the take-out of `order`, if it is known.
    pub fn take_out(&self, order: &CentreOrder) -> Option<TakeOut> {
        self.inner.take_outs.borrow().get(order).cloned()
    }

    /// Returns the take-outs that aren't known to be committed to the log.
    pub fn unlogged(&self) -> Vec<TakeOut> {
        self.inner.take_outs.borrow().unlogged().cloned().collect()
    }

    /// Records that the state includes all changes acknowledged until `at`, on the boot clock.
    ///
    /// A time before that of the latest confirmation is ignored.
    pub fn record_confirmation(&self, at: Instant) {
        self.inner.confirmed_at.set(self.inner.confirmed_at.get().max(Some(at)));
    }

    /// Returns the time since the state was last confirmed by a leader.
    pub fn age(&self) -> Option<Duration> {
        self.inner.confirmed_at.get().map(|at| boot_now().since(at))
    }

    /// Returns the reply to a follower whose state has the index `after`.
    pub fn reply_after(&self, after: Option<LogIndex>) -> Followed {
        let published = self.current().filter(|p| after.is_none_or(|a| p.index > a));
        Followed {
            published: published.map(|p| PublishedState::clone(&p)),
            take_outs: self.inner.take_outs.borrow().all().to_vec(),
            age_ms: self.age().map(millis),
        }
    }

    /// Merges the reply to a call that was made at `sent`, on the boot clock.
    ///
    /// The reply may have been in transit, or unread, since then, so its age counts from the call.
    pub fn merge(&self, followed: Followed, sent: Instant) {
        for take_out in &followed.take_outs {
            self.merge_take_out(take_out);
        }
        if let Some(published) = followed.published {
            self.update(published);
        }
        if let Some(age) = followed.age_ms {
            self.record_confirmation(sent.before(Duration::from_millis(age)));
        }
    }

    /// Returns the status of this instance for operators, without its control role.
    pub fn status(&self, name: &InstanceName) -> InstanceStatus {
        let published = self.current();
        let state = published.clone().unwrap_or_default();
        InstanceStatus {
            name: name.clone(),
            index: published.map(|p| p.index),
            version: state.version,
            hash: state.hash.clone(),
            taken_out: self.taken_out(),
            unlogged: self.unlogged().into_iter().map(|h| h.order).collect(),
            control: None,
        }
    }
}
