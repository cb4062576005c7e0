//! Queued work of one client account.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::types::AdapterRef;
use crate::types::MonoMs;

/// Sort key of items: latest start time, then order of arrival.
pub(super) type Key = (MonoMs, u64);

/// Index of the tier for urgent work and patient work with little slack.
pub(super) const FIRST_TIER: usize = 0;
/// Index of the tier for other patient work.
pub(super) const SECOND_TIER: usize = 1;

/// Queued items of one class, indexed by adapter so that all items of a blocked adapter are skipped
/// in one step.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassQueue {
    by_adapter: HashMap<AdapterRef, BTreeSet<Key>>,
    heads: BTreeSet<(Key, AdapterRef)>,
    len: usize,
}

impl ClassQueue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn insert(&mut self, key: Key, adapter: &AdapterRef) {
        let keys = self.by_adapter.entry(adapter.clone()).or_default();
        let head = keys.first().copied();
        keys.insert(key);
        if head.is_none_or(|head| key < head) {
            if let Some(head) = head {
                self.heads.remove(&(head, adapter.clone()));
            }
            self.heads.insert((key, adapter.clone()));
        }
        self.len += 1;
    }

    pub(super) fn remove(&mut self, key: Key, adapter: &AdapterRef) {
        let Some(keys) = self.by_adapter.get_mut(adapter) else {
            return;
        };
        if !keys.remove(&key) {
            return;
        }
        self.len -= 1;
        if self.heads.remove(&(key, adapter.clone()))
            && let Some(next) = keys.first()
        {
            self.heads.insert((*next, adapter.clone()));
        }
        if keys.is_empty() {
            self.by_adapter.remove(adapter);
        }
    }

    /// First item of each adapter, in order.
    pub(super) fn heads(&self) -> impl Iterator<Item = &(Key, AdapterRef)> {
        self.heads.iter()
    }

    /// Items of one adapter, in order.
    pub(super) fn of_adapter(&self, adapter: &AdapterRef) -> impl Iterator<Item = Key> {
        self.by_adapter.get(adapter).into_iter().flatten().copied()
    }
}

/// Queued work and fairness state of one account.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) weight: u32,
    /// Virtual start tag of the next item of each tier, in tokens per unit of weight.
    pub(super) start: [f64; 2],
    pub(super) urgent: ClassQueue,
    pub(super) patient: ClassQueue,
    /// Adapter of the last served patient items and how many were served consecutively.
    pub(super) group: Option<(AdapterRef, usize)>,
}

impl Account {
    pub(super) fn new(weight: u32, start: [f64; 2]) -> Self {
        Self {
            weight,
            start,
            urgent: ClassQueue::default(),
            patient: ClassQueue::default(),
            group: None,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.urgent.len() == 0 && self.patient.len() == 0
    }

    /// Heads of the first tier: urgent work and patient work that must start by `promote_until`.
    pub(super) fn first_tier(&self, promote_until: MonoMs) -> Vec<(Key, &AdapterRef)> {
        let urgent = self.urgent.heads().map(|(key, adapter)| (*key, adapter));
        let promoted = self.patient.heads().map(|(key, adapter)| (*key, adapter));
        let promoted = promoted.take_while(|((start_by, _), _)| *start_by <= promote_until);
        let mut heads: Vec<_> = urgent.chain(promoted).collect();
        heads.sort_unstable();
        heads
    }

    /// Heads of the second tier. The adapter of the current group comes first.
    pub(super) fn second_tier(&self, group_items: usize) -> Vec<(Key, &AdapterRef)> {
        let mut heads: Vec<_> = self.patient.heads().map(|(k, a)| (*k, a)).collect();
        let group = self
            .group
            .as_ref()
            .filter(|(_, served)| *served < group_items);
        if let Some((adapter, _)) = group
            && let Some(at) = heads.iter().position(|(_, name)| *name == adapter)
        {
            heads[..=at].rotate_right(1);
        }
        heads
    }

    /// Records that a patient item of `adapter` was taken.
    pub(super) fn extend_group(&mut self, adapter: &AdapterRef) {
        match &mut self.group {
            Some((name, served)) if name == adapter => *served += 1,
            _ => self.group = Some((adapter.clone(), 1)),
        }
    }
}
