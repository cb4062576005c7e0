//! Rendezvous hash: the order in which engines are preferred for an adapter.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::types::ModelName;
use crate::types::ServerName;

/// `servers` in the order of preference for `model`. Adding or removing a server moves only the
/// models that prefer it.
pub fn ranked<'a>(
    model: &ModelName,
    servers: impl Iterator<Item = &'a ServerName>,
) -> Vec<&'a ServerName> {
    let mut weighted: Vec<(u64, &ServerName)> =
        servers.map(|server| (weight(model, server), server)).collect();
    weighted.sort_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, server)| server).collect()
}

fn weight(model: &ModelName, server: &ServerName) -> u64 {
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    server.hash(&mut hasher);
    hasher.finish()
}
