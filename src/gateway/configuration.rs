//! The configuration that an entry VM serves by, and whether a controller has confirmed it.
//!
//! After a restart of all VMs, the first controller that answers may have an older configuration than the
//! one that was acknowledged last. A VM therefore waits for a confirmed one at first. Later it also serves by
//! an unconfirmed one, since it may be cut off from the log's quorum, but refuses no request by it. The same holds
//! for a configuration that was confirmed, once that is too long ago.

use std::sync::Arc;

use super::belief::Belief;
use super::deployment::Deployment;
use crate::link::StateConfirmation;
use crate::types::MonoMs;

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
    belief: Belief,
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
    /// version is known to be in force, and while no controller confirms that none is.
    pub fn is_confirmed(&self, now: MonoMs) -> bool {
        let newest = self.newest.as_ref();
        newest.is_some_and(|newest| self.belief.confirms(newest.version, now))
    }

    /// Takes over a configuration unless it is older than the known one. Returns whether it was taken over.
    pub fn receive(&mut self, deployment: Arc<Deployment>, now: MonoMs) -> bool {
        let known = self.newest.as_ref();
        if known.is_some_and(|known| deployment.version <= known.version) {
            return false;
        }
        self.newest = Some(deployment);
        self.is_served |= self.is_confirmed(now);
        true
    }

    /// Notes that a status on `link` has confirmed `version`. Returns whether that counts, as
    /// [`Belief::confirm`] does.
    pub fn confirm(&mut self, link: u64, version: u64, now: MonoMs) -> bool {
        let counts = self.belief.confirm(link, version, now);
        self.is_served |= self.is_confirmed(now);
        counts
    }

    /// Notes an answer on `link`. Returns whether that counts, as [`Belief::answer`] does.
    pub fn answer(&mut self, link: u64, answer: &StateConfirmation, now: MonoMs) -> bool {
        let counts = self.belief.answer(link, answer, now);
        self.is_served |= self.is_confirmed(now);
        counts
    }

    /// What is known from the links to controllers.
    pub(super) fn belief(&self) -> &Belief {
        &self.belief
    }

    /// The same, to be changed.
    pub fn belief_mut(&mut self) -> &mut Belief {
        &mut self.belief
    }

    /// Serves by an unconfirmed configuration from now on, unless a newer one is known to be in force.
    /// Returns whether this changes anything.
    pub fn serve_unconfirmed(&mut self, now: MonoMs) -> bool {
        let newest = self.newest.as_ref();
        let may_serve = newest.is_some_and(|newest| !self.belief.knows_newer(newest.version, now));
        let is_new = !self.is_served && may_serve;
        self.is_served |= is_new;
        is_new
    }

    pub(super) fn in_force(&self, now: MonoMs) -> Option<InForce> {
        Some(InForce {
            deployment: Arc::clone(self.deployment()?),
            is_confirmed: self.is_confirmed(now),
        })
    }
}
