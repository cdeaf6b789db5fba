//! Known control instances.

use std::cell::RefCell;
use std::rc::Rc;

use hawthornkeel_config::settings::Settings;
use hawthornkeel_config::settings::Trust;
use hawthornkeel_core::names::InstanceName;

use crate::control::sources::control_peers;

/// Known control instances; clones share the list.
///
/// With trust by certificates the settings list all of them. With trust by addresses the settings
/// list the founders, and the members are discovered from the replies of control instances.
#[derive(Clone)]
pub struct ControlDirectory {
    inner: Rc<Inner>,
}

struct Inner {
    own: Option<InstanceName>,
    configured: Vec<InstanceName>,
    discovered: RefCell<Vec<InstanceName>>,
}

impl ControlDirectory {
    /// Creates the directory of the instance with these `settings`.
    pub fn new(settings: &Settings) -> Self {
        let configured = match settings.peers.trust {
            Trust::Certificates => control_peers(settings),
            Trust::Addresses => settings.founders(),
        };
        let own = settings.peer_name();
        let configured = configured.into_iter().filter(|n| *n != own).collect();
        let own = settings.control.enabled.then_some(own);
        Self { inner: Rc::new(Inner { own, configured, discovered: RefCell::default() }) }
    }

    /// Updates the members of the group from the reply of a control instance.
    ///
    /// An empty list is ignored.
    pub fn update(&self, members: Vec<InstanceName>) {
        if members.is_empty() || *self.inner.discovered.borrow() == members {
            return;
        }
        let names = members.iter().map(InstanceName::as_str).collect::<Vec<_>>().join(",");
        tracing::info!(event = "controls-learned", names);
        *self.inner.discovered.borrow_mut() = members;
    }

    /// Returns the control instances, starting with this one if it has the control role.
    ///
    /// Discovered instances precede the configured ones, which may no longer exist.
    pub fn instances(&self) -> Vec<InstanceName> {
        let mut names: Vec<InstanceName> = self.inner.own.iter().cloned().collect();
        let discovered = self.inner.discovered.borrow();
        for name in discovered.iter().chain(&self.inner.configured) {
            if !names.contains(name) {
                names.push(name.clone());
            }
        }
        names
    }

    /// Returns the members of the group as far as they are known, without configured ones that may no
    /// longer exist.
    pub fn members(&self) -> Vec<InstanceName> {
        let discovered = self.inner.discovered.borrow();
        if discovered.is_empty() { self.instances() } else { discovered.clone() }
    }

    /// Returns the control instances other than this one.
    pub fn peers(&self) -> Vec<InstanceName> {
        let own = self.inner.own.as_ref();
        self.instances().into_iter().filter(|n| Some(n) != own).collect()
    }
}
