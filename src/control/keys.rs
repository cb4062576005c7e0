//! Grants and withdrawals of API keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::types::AccountName;

/// Number of hash bytes in a public key id. The id is a hash of the key's hash, so it reveals no
/// part of the value that authentication compares.
const KEY_ID_BYTES: usize = 8;

/// SHA-256 hash of a secret or of a body.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Sha256Hash(pub [u8; 32]);

impl Sha256Hash {
    /// The hash of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut hash = [0; 32];
        hex::decode_to_slice(text, &mut hash).ok()?;
        Some(Self(hash))
    }

    /// The hash in lower-case hexadecimal digits.
    pub fn to_hex(&self) -> String {
        hex::encode(self.0)
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for Sha256Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..", hex::encode(&self.0[..4]))
    }
}

/// The hash of a caller's key.
pub type KeyHash = Sha256Hash;

/// The public id of the key with `hash`: `k-` followed by 16 hexadecimal digits.
pub fn key_id(hash: &KeyHash) -> String {
    let mut hasher = Sha256::new();
    hasher.update(b"medlarlift key id");
    hasher.update(hash.0);
    let digest = hasher.finalize();
    format!("k-{}", hex::encode(&digest[..KEY_ID_BYTES]))
}

/// A granted key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Account that the key authenticates.
    pub account: AccountName,
}

/// All grants and the grow-only set of withdrawn hashes.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    grants: BTreeMap<String, Grant>,
    withdrawn: BTreeSet<KeyHash>,
    /// Live keys, indexed by the first bytes of their hash.
    live: HashMap<u64, Vec<(KeyHash, AccountName)>>,
    /// Number of live keys per account.
    live_counts: HashMap<AccountName, usize>,
}

/// The parts of a [`KeyRing`] that a snapshot contains.
#[derive(Deserialize, Serialize)]
pub(super) struct KeyRingParts {
    grants: BTreeMap<String, Grant>,
    withdrawn: BTreeSet<KeyHash>,
}

impl KeyRing {
    /// The account of a live key. The index selects candidates by the first bytes of the hash, and
    /// the complete hash is compared in constant time.
    pub fn authenticate(&self, hash: &KeyHash) -> Option<&AccountName> {
        let candidates = self.live.get(&bucket(hash))?;
        let mut found = None;
        for (candidate, account) in candidates {
            if candidate.matches(hash) {
                found = Some(account);
            }
        }
        found
    }

    /// The grant with the public id `id`, live or withdrawn.
    pub fn get(&self, id: &str) -> Option<&Grant> {
        self.grants.get(id)
    }

    /// Whether the key with `hash` was withdrawn.
    pub fn is_withdrawn(&self, hash: &KeyHash) -> bool {
        self.withdrawn.contains(hash)
    }

    /// All grants of `account`, live and withdrawn, with their ids.
    pub fn grants_of_account<'a>(
        &'a self,
        account: &'a AccountName,
    ) -> impl Iterator<Item = (&'a str, &'a Grant)> + 'a {
        self.grants
            .iter()
            .filter(move |(_, grant)| grant.account == *account)
            .map(|(id, grant)| (id.as_str(), grant))
    }

    /// Number of live keys of `account`.
    pub fn live_key_count(&self, account: &AccountName) -> usize {
        self.live_counts.get(account).copied().unwrap_or(0)
    }

    /// All withdrawn hashes.
    pub fn withdrawn(&self) -> impl Iterator<Item = &KeyHash> {
        self.withdrawn.iter()
    }

    /// Number of grants, live and withdrawn.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Whether there is no grant.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    pub(super) fn grant(&mut self, id: String, grant: Grant) {
        self.index(&grant);
        self.grants.insert(id, grant);
    }

    /// Adds `hash` to the withdrawn set. Returns false if it was already there.
    pub(super) fn withdraw(&mut self, hash: KeyHash) -> bool {
        let candidates = self.live.remove(&bucket(&hash)).unwrap_or_default();
        let (removed, remaining): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|(h, _)| *h == hash);
        if !remaining.is_empty() {
            self.live.insert(bucket(&hash), remaining);
        }
        for (_, account) in removed {
            if let Some(count) = self.live_counts.get_mut(&account) {
                *count -= 1;
            }
        }
        self.withdrawn.insert(hash)
    }

    fn index(&mut self, grant: &Grant) {
        self.live
            .entry(bucket(&grant.hash))
            .or_default()
            .push((grant.hash, grant.account.clone()));
        *self.live_counts.entry(grant.account.clone()).or_default() += 1;
    }

    pub(super) fn parts(&self) -> KeyRingParts {
        KeyRingParts {
            grants: self.grants.clone(),
            withdrawn: self.withdrawn.clone(),
        }
    }

    pub(super) fn from_parts(parts: KeyRingParts) -> Self {
        let mut ring = Self {
            withdrawn: parts.withdrawn,
            ..Self::default()
        };
        for (id, grant) in parts.grants {
            if !ring.withdrawn.contains(&grant.hash) {
                ring.index(&grant);
            }
            ring.grants.insert(id, grant);
        }
        ring
    }
}

fn bucket(hash: &KeyHash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.0[..8]);
    u64::from_be_bytes(first)
}
