//! Hashes of buckets of the table, by which two VMs find the entries that one of them lacks
//! (anti-entropy).

use std::collections::BTreeSet;

use super::message::BucketHashes;

/// Number of buckets into which the table is divided by the hash of the name.
const BUCKETS: u8 = 32;

/// Number of bucket hashes in one message. Two messages cover the table, so a VM that missed an
/// update detects this within one round.
const BUCKETS_PER_MESSAGE: u8 = 16;

impl BucketHashes {
    /// Hashes of the buckets from `first` on. `entries` are pairs of the hash of a name and the
    /// hash of its entry.
    pub fn new(first: u8, entries: impl Iterator<Item = (u32, u32)>) -> Self {
        let mut hashes = vec![0; usize::from(BUCKETS_PER_MESSAGE)];
        for (name_hash, hash) in entries {
            let index = bucket_of(name_hash).wrapping_sub(first) % BUCKETS;
            if let Some(bucket) = hashes.get_mut(usize::from(index)) {
                *bucket ^= hash;
            }
        }
        Self { first, hashes }
    }

    /// First bucket of the message that follows one that began with `first`.
    pub fn next_first_bucket(first: u8) -> u8 {
        (first + BUCKETS_PER_MESSAGE) % BUCKETS
    }

    /// Buckets whose hashes differ.
    pub fn differing(&self, other: &Self) -> BTreeSet<u8> {
        let pairs = self.hashes.iter().zip(&other.hashes);
        let offsets = (0..BUCKETS).zip(pairs);
        offsets
            .filter(|(_, (own, others))| own != others)
            .map(|(offset, _)| self.first.wrapping_add(offset) % BUCKETS)
            .collect()
    }
}

/// Bucket of the name with the hash `name_hash`.
pub fn bucket_of(name_hash: u32) -> u8 {
    u8::try_from(name_hash % u32::from(BUCKETS)).unwrap_or(0)
}
