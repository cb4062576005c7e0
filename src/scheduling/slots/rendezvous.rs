//! Rendezvous hash: the order in which engines are preferred for an adapter.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::types::ModelName;

/// `places`, such as servers or data centres, in the order of preference for `model`. Adding or
/// removing a place moves only the models that prefer it.
pub fn ranked<'a, P: Hash + Ord>(
    model: &ModelName,
    places: impl Iterator<Item = &'a P>,
) -> Vec<&'a P> {
    let mut weighted: Vec<(u64, &P)> = places.map(|place| (weight(model, place), place)).collect();
    weighted.sort_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, place)| place).collect()
}

/// How much `key` prefers `place`. All VMs agree on it.
pub fn weight(key: &impl Hash, place: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    place.hash(&mut hasher);
    hasher.finish()
}
