//! Rendezvous hashing: the order in which engines are preferred for an adapter.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::types::ModelName;

/// Sorts `nodes`, such as servers or data centres, by preference for `model`. Adding or removing a
/// node moves only the models that prefer it.
pub fn ranked<'a, N: Hash + Ord>(
    model: &ModelName,
    nodes: impl Iterator<Item = &'a N>,
) -> Vec<&'a N> {
    let mut weighted: Vec<(u64, &N)> = nodes.map(|node| (weight(model, node), node)).collect();
    weighted.sort_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, node)| node).collect()
}

/// Weight of `node` for `key`, identical on all VMs.
pub fn weight(key: &impl Hash, node: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    node.hash(&mut hasher);
    hasher.finish()
}
