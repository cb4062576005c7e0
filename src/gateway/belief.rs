//! What controllers told an entry VM about the version in force: on which link, as of when, and until when
//! it may refuse requests by it.
//!
//! A controller that confirms a version was up to date a moment ago. This ages: a newer version may be in
//! force everywhere else by the time at which a VM that is cut off would refuse a request. Time is passed in.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::types::MonoMs;
use crate::types::pause;
pub use crate::types::pause::PAUSE_MS;
pub use crate::types::pause::QUEUE_DRAIN_MS;

/// Time for which a confirmation may be the reason of refusals. Controllers send one every 500 ms, and what they
/// confirm may be outdated by up to 900 ms. A change is in force on all VMs after 3 s.
pub const MAX_CONFIRMATION_AGE_MS: u64 = 1_500;

/// Statement of a controller that no version newer than this one was in force.
#[derive(Clone, Copy, Debug)]
struct Claim {
    version: u64,
    expires: MonoMs,
    /// Whether a configuration may be the reason of a refusal because of it. Others still tell that older
    /// versions are outdated.
    is_confirmation: bool,
}

/// How an entry VM stands with the controllers, for logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControllerContact {
    /// Open links.
    pub links: u32,
    /// Time since a controller confirmed a version; `None` if none has since the start.
    pub confirmed_age_ms: Option<u64>,
}

/// Open links to controllers, and their claims about the version in force.
#[derive(Debug, Default)]
pub struct Belief {
    open_links: IndexSet<u64>,
    /// Latest claim by link; also of links that have closed, until it expires.
    claims: IndexMap<u64, Claim>,
    /// Version of the latest claim and its time.
    last_confirmed: Option<(u64, MonoMs)>,
    /// Highest version by which another entry VM handled a request of this VM's callers.
    handled_elsewhere: u64,
    /// Time of the latest observation.
    observed: Option<MonoMs>,
    /// Time from which messages are known not to have queued up while the process stood still.
    fresh_from: MonoMs,
}

impl Belief {
    /// Notes that the process runs. Must be called often enough to tell when it stood still.
    pub fn observe(&mut self, now: MonoMs) {
        let observed = self.observed.unwrap_or(now);
        if let Some(fresh_from_ms) = pause::fresh_from_ms(observed.0, now.0) {
            self.fresh_from = MonoMs(fresh_from_ms);
        }
        self.observed = Some(observed.max(now));
    }

    /// Notes that the controller at the other end of `link` has confirmed `version`. Returns whether that
    /// counts: what queued up while the process stood still only tells that older versions are outdated.
    pub fn confirm(&mut self, link: u64, version: u64, now: MonoMs) -> bool {
        self.observe(now);
        self.claims.retain(|_, claim| claim.expires > now);
        let is_confirmation = now >= self.fresh_from;
        let claim = Claim {
            version,
            expires: now.plus(MAX_CONFIRMATION_AGE_MS),
            is_confirmation,
        };
        self.claims.insert(link, claim);
        if is_confirmation {
            self.last_confirmed = Some((version, now));
        }
        is_confirmation
    }

    /// Time from which messages are known not to have queued up while the process stood still; 0 if it
    /// never did.
    pub fn fresh_from(&self) -> MonoMs {
        self.fresh_from
    }

    /// Notes that another entry VM handled a request of this VM's callers by `version`, for whom both are one.
    pub fn note_handled_elsewhere(&mut self, version: u64) {
        self.handled_elsewhere = self.handled_elsewhere.max(version);
    }

    /// Highest version by which another entry VM handled a request of this VM's callers; 0 for none.
    pub fn handled_elsewhere(&self) -> u64 {
        self.handled_elsewhere
    }

    /// Notes that a link has opened.
    pub fn open(&mut self, link: u64, now: MonoMs) {
        self.observe(now);
        self.open_links.insert(link);
    }

    /// Notes that a link has closed.
    pub fn close(&mut self, link: u64) {
        self.open_links.shift_remove(&link);
        self.withdraw(link);
    }

    /// Notes that the controller at the other end of `link` confirms nothing any more.
    pub fn withdraw(&mut self, link: u64) {
        if let Some(claim) = self.claims.get_mut(&link) {
            claim.is_confirmation = false;
        }
    }

    /// Whether `version` is known to be the one in force: a controller confirms it, and none names a newer one.
    pub fn confirms(&self, version: u64, now: MonoMs) -> bool {
        let mut fresh = self.claims.values().filter(|claim| claim.expires > now);
        let is_confirmed = fresh.clone().any(|claim| claim.is_confirmation);
        is_confirmed
            && self.handled_elsewhere <= version
            && fresh.all(|claim| claim.version <= version)
    }

    /// Whether a newer version than `version` is known to have been in force.
    pub fn knows_newer(&self, version: u64, now: MonoMs) -> bool {
        let mut fresh = self.claims.values().filter(|claim| claim.expires > now);
        fresh.any(|claim| claim.version > version)
            || self.handled_elsewhere > version
            || self.last_confirmed.is_some_and(|(last, _)| last > version)
    }

    /// How the VM stands with the controllers.
    pub fn contact(&self, now: MonoMs) -> ControllerContact {
        ControllerContact {
            links: u32::try_from(self.open_links.len()).unwrap_or(u32::MAX),
            confirmed_age_ms: self.last_confirmed.map(|(_, at)| now.since(at)),
        }
    }
}
