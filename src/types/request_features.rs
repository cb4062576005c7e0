//! What requests have in common, by which the cause of crashes is found.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use sha2::Digest;
use sha2::Sha256;

/// Digest of a property that several requests can share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct Feature(u64);

impl Feature {
    /// Feature of all requests whose prompt contains the part `id`.
    pub fn of_part(id: &[u8]) -> Self {
        Self::digest(b"part", &[id])
    }

    /// Feature of a request and its repeats, which are equal in all `fields`.
    pub fn of_request(fields: &[&[u8]]) -> Self {
        Self::digest(b"request", fields)
    }

    fn digest(kind: &[u8], fields: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(kind);
        for field in fields {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let digest: [u8; 32] = hasher.finalize().into();
        let (first, _) = digest.split_first_chunk().expect("a digest has 32 bytes");
        Self(u64::from_be_bytes(*first))
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Serialize for Feature {
    /// Hexadecimal in logs, a number on links.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_u64(self.0)
    }
}

/// Features of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestFeatures {
    /// The request itself, shared by its repeats.
    pub request: Feature,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<Feature>,
}
