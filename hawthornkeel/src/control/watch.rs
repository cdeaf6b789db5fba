//! Published state in force at this instance, and the data centres that take no new work.

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
use crate::peer::frame::Followed;
use crate::peer::frame::InstanceStatus;
use crate::peer::wakeup::EventCount;

/// Published state in force at this instance; clones share it.
#[derive(Clone, Default)]
pub struct Watch {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    published: RefCell<Option<Rc<PublishedState>>>,
    holds: RefCell<TakeOuts>,
    /// When the state was last known to be that of a group with a leader.
    ///
    /// On the clock that goes on while the machine is suspended.
    confirmed: Cell<Option<Instant>>,
    changed: EventCount,
}

impl Watch {
    /// Puts `published` in force unless one with the same or a higher index is.
    ///
    /// Returns whether it is in force now.
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

    /// Returns the state in force, or `None` before the first.
    pub fn current(&self) -> Option<Rc<PublishedState>> {
        self.inner.published.borrow().clone()
    }

    /// Returns the log position of the state in force.
    pub fn index(&self) -> Option<LogIndex> {
        self.inner.published.borrow().as_ref().map(|p| p.index)
    }

    /// Returns the data centres that take no new work.
    pub fn taken_out(&self) -> Vec<CentreName> {
        let published = self.current().unwrap_or_default();
        self.inner.holds.borrow().taken_out(&published.centres)
    }

    /// Returns the changes of the state in force and of the data centres, to wait on.
    pub fn changes(&self) -> &EventCount {
        &self.inner.changed
    }

    /// Takes in an order to take a data centre out.
    pub fn merge_take_out(&self, hold: &TakeOut) -> MergeOutcome {
        let heard = self.inner.holds.borrow_mut().merge(hold);
        if heard == MergeOutcome::New {
            let CentreOrder { operator, operation, centre, .. } = &hold.order;
            tracing::info!(event = "take-out-heard", %operator, %operation, %centre);
            self.inner.changed.notify();
        }
        heard
    }

    /// Notes that the log decides on `order` from `index` on.
    pub fn mark_logged(&self, order: &CentreOrder, index: LogIndex) {
        self.inner.holds.borrow_mut().mark_logged(order, index);
        self.inner.changed.notify();
    }

    /// Returns what is known of an order.
    pub fn take_out(&self, order: &CentreOrder) -> Option<TakeOut> {
        self.inner.holds.borrow().get(order).cloned()
    }

    /// Returns the orders that are not logged as far as is known here.
    pub fn unlogged(&self) -> Vec<TakeOut> {
        self.inner.holds.borrow().unlogged().cloned().collect()
    }

    /// Notes that the state was that of a group with a leader `age` ago.
    pub fn record_confirmation(&self, age: Duration) {
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = boot_now().as_micros().checked_sub(age).map(Instant::from_micros);
        self.inner.confirmed.set(self.inner.confirmed.get().max(at));
    }

    /// Returns the time since the state was last known to be that of a group with a leader.
    pub fn age(&self) -> Option<Duration> {
        self.inner.confirmed.get().map(|at| boot_now().since(at))
    }

    /// Answers a follower that has the state at `after`.
    pub fn reply_after(&self, after: Option<LogIndex>) -> Followed {
        let published = self.current().filter(|p| after.is_none_or(|a| p.index > a));
        Followed {
            published: published.map(|p| PublishedState::clone(&p)),
            take_outs: self.inner.holds.borrow().all().to_vec(),
            age_ms: self.age().map(millis),
        }
    }

    /// Takes in what another instance answered.
    pub fn merge(&self, followed: Followed) {
        for hold in &followed.take_outs {
            self.merge_take_out(hold);
        }
        if let Some(published) = followed.published {
            self.update(published);
        }
        if let Some(age) = followed.age_ms {
            self.record_confirmation(Duration::from_millis(age));
        }
    }

    /// Returns what is in force here, for operators, without the part in the replicated log.
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

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
