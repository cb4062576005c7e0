//! The configuration that an entry VM serves by, and whether a controller has confirmed it.
//!
//! After a restart of all VMs, the first controller that answers may have an older configuration than the
//! one that was acknowledged last. A VM therefore waits for a confirmed one at first. Later it also serves by
//! an unconfirmed one, since it may be cut off from the log's quorum, but refuses no request by it.

use std::sync::Arc;

use super::deployment::Deployment;

/// Configuration in force.
#[derive(Clone, Debug)]
pub(super) struct InForce {
    pub(super) deployment: Arc<Deployment>,
    /// Whether it may be the reason of a refusal.
    pub(super) is_confirmed: bool,
}

/// The newest configuration that a VM has received.
#[derive(Debug, Default)]
pub struct Configuration {
    newest: Option<Arc<Deployment>>,
    /// Version that a controller has confirmed last, whether or not it has arrived. A claim that no other
    /// controller repeats is soon replaced by theirs.
    confirmed_version: Option<u64>,
    /// Whether `newest` serves requests.
    is_served: bool,
}

impl Configuration {
    /// The configuration in force.
    pub fn deployment(&self) -> Option<&Arc<Deployment>> {
        self.newest.as_ref().filter(|_| self.is_served)
    }

    /// The newest configuration, in force or not.
    pub fn newest(&self) -> Option<&Arc<Deployment>> {
        self.newest.as_ref()
    }

    /// Whether requests may be refused because the configuration does not allow them. False while a newer
    /// version is known to be in force.
    pub fn is_confirmed(&self) -> bool {
        let newest = self.newest.as_ref().map(|newest| newest.version);
        newest
            .zip(self.confirmed_version)
            .is_some_and(|(newest, confirmed)| newest >= confirmed)
    }

    /// Takes over a configuration unless it is older than the known one. Returns whether it was.
    pub fn receive(&mut self, deployment: Arc<Deployment>) -> bool {
        let known = self.newest.as_ref();
        if known.is_some_and(|known| deployment.version <= known.version) {
            return false;
        }
        self.newest = Some(deployment);
        self.is_served |= self.is_confirmed();
        true
    }

    /// Notes that a controller has confirmed `version`. Returns whether this changes anything.
    pub fn confirm(&mut self, version: u64) -> bool {
        if self.confirmed_version == Some(version) {
            return false;
        }
        self.confirmed_version = Some(version);
        self.is_served |= self.is_confirmed();
        true
    }

    /// Serves by an unconfirmed configuration from now on, unless a newer one is known to be in force.
    /// Returns whether this changes anything.
    pub fn serve_unconfirmed(&mut self) -> bool {
        let is_new = !self.is_served && self.newest.is_some() && self.confirmed_version.is_none();
        self.is_served |= is_new;
        is_new
    }

    pub(super) fn in_force(&self) -> Option<InForce> {
        Some(InForce {
            deployment: Arc::clone(self.deployment()?),
            is_confirmed: self.is_confirmed(),
        })
    }
}
