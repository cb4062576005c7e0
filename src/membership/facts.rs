//! Facts that only ever get added and expire: crash reports, lifts and local key withdrawals.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::hash::stable_hash;
use super::message::Fact;
use super::quarantine::Quarantine;
use super::quarantine::REPORT_LIFETIME_MS;
use crate::types::UnixMs;

/// Largest difference between wall clocks that is tolerated. A fact from further ahead is not
/// taken, since it would outlive its purpose.
const MAX_SKEW_MS: u64 = 3_600_000;

/// Times a VM repeats a new fact to random peers.
const SENDS: u32 = 8;

/// The facts that are known.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Facts with the number of times each is still to be sent.
    facts: BTreeMap<Fact, u32>,
}

impl Fact {
    /// Time at which the fact is dropped.
    pub fn expires(&self) -> UnixMs {
        match self {
            Self::Crash(report) => report.at.plus(REPORT_LIFETIME_MS),
            Self::Lift(lift) => lift.at.plus(REPORT_LIFETIME_MS),
            Self::Withdrawal(withdrawal) => withdrawal.expires,
        }
    }

    fn is_plausible(&self, now: UnixMs) -> bool {
        let at = match self {
            Self::Crash(report) => report.at,
            Self::Lift(lift) => lift.at,
            Self::Withdrawal(_) => now,
        };
        at.since(now) <= MAX_SKEW_MS && now < self.expires()
    }
}

impl Facts {
    /// Adds a fact, which is passed on to other VMs if `relay` is set. Returns true if it is new.
    pub fn add(&mut self, now: UnixMs, fact: Fact, relay: bool) -> bool {
        if !fact.is_plausible(now) || self.facts.contains_key(&fact) {
            return false;
        }
        self.facts.insert(fact, if relay { SENDS } else { 0 });
        true
    }

    /// Drops expired facts. Returns true if there were any.
    pub fn expire(&mut self, now: UnixMs) -> bool {
        let before = self.facts.len();
        self.facts.retain(|fact, _| now < fact.expires());
        self.facts.len() < before
    }

    /// True if some fact is still to be sent.
    pub fn has_news(&self) -> bool {
        self.facts.values().any(|left| *left > 0)
    }

    /// Up to `count` facts that are still to be sent.
    pub fn pick_news(&mut self, count: usize) -> Vec<Fact> {
        let unsent = self.facts.iter_mut().filter(|(_, left)| **left > 0);
        let picked = unsent.take(count).map(|(fact, left)| {
            *left -= 1;
            fact.clone()
        });
        picked.collect()
    }

    /// All facts with their hashes.
    pub fn hashed(&self) -> impl Iterator<Item = (u32, &Fact)> {
        self.facts.keys().map(|fact| (stable_hash(fact), fact))
    }

    /// Hashes of the withdrawn keys.
    pub fn withdrawn(&self) -> BTreeSet<[u8; 32]> {
        let facts = self.facts.keys();
        facts
            .filter_map(|fact| match fact {
                Fact::Withdrawal(withdrawal) => Some(withdrawal.key_hash),
                Fact::Crash(_) | Fact::Lift(_) => None,
            })
            .collect()
    }

    /// Crash reports and lifts as a quarantine.
    pub fn quarantine(&self) -> Quarantine {
        let mut quarantine = Quarantine::default();
        for fact in self.facts.keys() {
            match fact {
                Fact::Crash(report) => quarantine.report(report),
                Fact::Lift(lift) => quarantine.lift(lift),
                Fact::Withdrawal(_) => {}
            }
        }
        quarantine
    }
}
