//! Control instances that an instance knows of.

use std::cell::RefCell;
use std::rc::Rc;

use hawthornkeel_config::settings::Settings;
use hawthornkeel_config::settings::Trust;
use hawthornkeel_core::names::InstanceName;

use crate::control::sources::control_peers;

/// Control instances that an instance knows of; clones share them.
///
/// Where trust is by certificates the settings name them all. Otherwise the settings name some to
/// begin with, and the others are learned from whichever answers.
#[derive(Clone)]
pub struct ControlDirectory {
    inner: Rc<Inner>,
}

struct Inner {
    own: Option<InstanceName>,
    first: Vec<InstanceName>,
    learned: RefCell<Vec<InstanceName>>,
}

impl ControlDirectory {
    /// Creates the directory of the instance with these `settings`.
    pub fn new(settings: &Settings) -> Self {
        let first = match settings.peers.trust {
            Trust::Certificates => control_peers(settings),
            Trust::Addresses => settings.founders(),
        };
        let own = settings.peer_name();
        let first = first.into_iter().filter(|n| *n != own).collect();
        let own = settings.control.enabled.then_some(own);
        Self { inner: Rc::new(Inner { own, first, learned: RefCell::default() }) }
    }

    /// Takes in the members of the group, as one of them knows them.
    pub fn update(&self, members: Vec<InstanceName>) {
        if members.is_empty() || *self.inner.learned.borrow() == members {
            return;
        }
        let names = members.iter().map(InstanceName::as_str).collect::<Vec<_>>().join(",");
        tracing::info!(event = "controls-learned", names);
        *self.inner.learned.borrow_mut() = members;
    }

    /// Returns the control instances, with this one first if it has the role.
    ///
    /// Those that were learned come before those of the settings, which may be gone.
    pub fn instances(&self) -> Vec<InstanceName> {
        let mut names: Vec<InstanceName> = self.inner.own.iter().cloned().collect();
        let learned = self.inner.learned.borrow();
        for name in learned.iter().chain(&self.inner.first) {
            if !names.contains(name) {
                names.push(name.clone());
            }
        }
        names
    }

    /// Returns the other control instances.
    pub fn peers(&self) -> Vec<InstanceName> {
        let own = self.inner.own.as_ref();
        self.instances().into_iter().filter(|n| Some(n) != own).collect()
    }
}
