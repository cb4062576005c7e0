//! Serialisation of shared bytes as one block. The encoding is that of a sequence of bytes, which is written and
//! read one element after the other.

use std::fmt;
use std::sync::Arc;

use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;
use serde::de::Visitor;

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = Arc<[u8]>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(bytes.into())
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
        Ok(bytes.into())
    }
}

/// Writes the length and the bytes.
///
/// # Errors
/// The serializer fails.
pub fn serialize<S: Serializer>(bytes: &Arc<[u8]>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Reads what [`serialize`] wrote. In `bincode`, a sequence of bytes is written the same way.
///
/// # Errors
/// The deserializer fails.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<[u8]>, D::Error> {
    deserializer.deserialize_bytes(BytesVisitor)
}
