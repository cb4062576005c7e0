//! Hashes that are equal on all VMs.

use serde::Serialize;

/// CRC-32 of the value's encoding. It detects differences between tables; it is not a cryptographic
/// hash.
pub fn stable_hash<T: Serialize>(value: &T) -> u32 {
    bincode::serialize(value).map_or(0, |bytes| crc32fast::hash(&bytes))
}
