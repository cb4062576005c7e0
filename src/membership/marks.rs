//! Hashes of parts of the table, by which two VMs find what one of them lacks.

use std::collections::BTreeSet;

use super::message::Marks;

/// Number of parts of the table that are hashed separately.
const PARTS: u8 = 32;

/// Parts whose hashes travel with one message. Two messages cover the table, so a VM that missed a
/// rumour finds the gap within one round.
const PARTS_PER_MESSAGE: u8 = 16;

impl Marks {
    /// Hashes of the parts from `first` on, from the hashes of names and of entries.
    pub fn new(first: u8, entries: impl Iterator<Item = (u32, u32)>) -> Self {
        let mut hashes = vec![0; usize::from(PARTS_PER_MESSAGE)];
        for (name_hash, hash) in entries {
            let index = part_of(name_hash).wrapping_sub(first) % PARTS;
            if let Some(part) = hashes.get_mut(usize::from(index)) {
                *part ^= hash;
            }
        }
        Self { first, hashes }
    }

    /// First part of the message after one that began with `first`.
    pub fn next_first(first: u8) -> u8 {
        (first + PARTS_PER_MESSAGE) % PARTS
    }

    /// Parts whose hashes differ.
    pub fn differing(&self, other: &Self) -> BTreeSet<u8> {
        let pairs = self.hashes.iter().zip(&other.hashes);
        let offsets = (0..PARTS).zip(pairs);
        offsets
            .filter(|(_, (own, others))| own != others)
            .map(|(offset, _)| self.first.wrapping_add(offset) % PARTS)
            .collect()
    }
}

/// Part that a name belongs to.
pub fn part_of(name_hash: u32) -> u8 {
    u8::try_from(name_hash % u32::from(PARTS)).unwrap_or(0)
}
