//! Loads of the offline optimum.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::trace::Arrival;

/// Loads that the optimal offline replacement (Belady) needs when all slots of all engines form
/// one cache and each urgent request and each patient batch is one access at its arrival. A lower
/// bound for any policy that serves the trace in that order: it needs no copies, loses nothing
/// when an engine restarts, and loads and evicts in no time.
pub fn loads(arrivals: &[Arrival], slots: usize) -> usize {
    let accesses: Vec<u32> = arrivals
        .iter()
        .filter(|a| a.first)
        .map(|a| a.adapter)
        .collect();
    let mut next_use = vec![usize::MAX; accesses.len()];
    let mut seen: HashMap<u32, usize> = HashMap::new();
    for (at, adapter) in accesses.iter().enumerate().rev() {
        if let Some(next) = seen.insert(*adapter, at) {
            next_use[at] = next;
        }
    }
    let mut held: HashMap<u32, usize> = HashMap::new();
    let mut by_next: BTreeSet<(usize, u32)> = BTreeSet::new();
    let mut loads = 0;
    for (at, adapter) in accesses.iter().enumerate() {
        if let Some(next) = held.remove(adapter) {
            by_next.remove(&(next, *adapter));
        } else {
            loads += 1;
            if held.len() == slots
                && let Some((_, farthest)) = by_next.pop_last()
            {
                held.remove(&farthest);
            }
        }
        held.insert(*adapter, next_use[at]);
        by_next.insert((next_use[at], *adapter));
    }
    loads
}
