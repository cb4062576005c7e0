//! Identity of a stream.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Digest of the id of the caller's attempt that began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Key of the stream that the attempt `request_id` began.
    pub fn of_request(request_id: &str) -> Self {
        let digest: [u8; 32] = Sha256::digest(request_id.as_bytes()).into();
        let (first, _) = digest.split_first_chunk().expect("a digest has 32 bytes");
        Self(u64::from_be_bytes(*first))
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
