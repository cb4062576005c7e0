//! Offline optimum: the minimum number of loads for a trace.

use std::collections::BTreeSet;
use std::collections::HashMap;

use medlarlift::types::Patience;

use crate::trace::Arrival;

/// Number of loads of the offline optimum.
pub struct Optimum {
    /// All loads.
    pub loads: usize,
    /// Loads for which an urgent request waits.
    pub urgent: usize,
}

/// Counts the loads of the optimal offline replacement (Belady), with the slots of all engines as one
/// cache and one access per urgent request and per patient batch, at its arrival.
///
/// This is a lower bound for any policy that serves the trace in that order: the optimum needs no
/// copies, loses nothing when an engine restarts, and loads and evicts instantly.
pub fn loads(arrivals: &[Arrival], slots: usize) -> Optimum {
    let accesses: Vec<&Arrival> = arrivals.iter().filter(|a| a.first).collect();
    let mut next_use = vec![usize::MAX; accesses.len()];
    let mut seen: HashMap<u32, usize> = HashMap::new();
    for (at, access) in accesses.iter().enumerate().rev() {
        if let Some(next) = seen.insert(access.adapter, at) {
            next_use[at] = next;
        }
    }
    let mut held: HashMap<u32, usize> = HashMap::new();
    let mut by_next: BTreeSet<(usize, u32)> = BTreeSet::new();
    let mut optimum = Optimum {
        loads: 0,
        urgent: 0,
    };
    for (at, access) in accesses.iter().enumerate() {
        let adapter = &access.adapter;
        if let Some(next) = held.remove(adapter) {
            by_next.remove(&(next, *adapter));
        } else {
            optimum.loads += 1;
            optimum.urgent += usize::from(access.class == Patience::Urgent);
            if held.len() == slots
                && let Some((_, farthest)) = by_next.pop_last()
            {
                held.remove(&farthest);
            }
        }
        held.insert(*adapter, next_use[at]);
        by_next.insert((next_use[at], *adapter));
    }
    optimum
}
