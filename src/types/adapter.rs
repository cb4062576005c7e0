//! References to one version of one adapter of one base model.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use snafu::Snafu;

/// One version of one adapter of one base model, written `base:adapter@version`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdapterRef {
    base: Arc<str>,
    adapter: Arc<str>,
    version: u32,
}

/// Why a text is not an adapter reference.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("model {value:?} is not of the form base:adapter@version with a whole version"))]
pub struct ParseAdapterError {
    value: String,
}

impl AdapterRef {
    /// Reference to `version` of `adapter`, which was fine-tuned from `base`.
    pub fn new(base: impl Into<Arc<str>>, adapter: impl Into<Arc<str>>, version: u32) -> Self {
        Self {
            base: base.into(),
            adapter: adapter.into(),
            version,
        }
    }

    /// Name of the base model.
    pub fn base(&self) -> &str {
        &self.base
    }

    /// Name of the adapter without its version.
    pub fn adapter(&self) -> &str {
        &self.adapter
    }

    /// Version of the adapter.
    pub fn version(&self) -> u32 {
        self.version
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}@{}", self.base, self.adapter, self.version)
    }
}

impl FromStr for AdapterRef {
    type Err = ParseAdapterError;

    fn from_str(text: &str) -> Result<Self, ParseAdapterError> {
        parse(text).ok_or_else(|| ParseAdapterError {
            value: text.to_owned(),
        })
    }
}

fn parse(text: &str) -> Option<AdapterRef> {
    let (base, rest) = text.split_once(':')?;
    let (adapter, version) = rest.rsplit_once('@')?;
    if base.is_empty() || adapter.is_empty() {
        return None;
    }
    Some(AdapterRef::new(base, adapter, version.parse().ok()?))
}

impl Serialize for AdapterRef {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Parses the text form without an intermediate `String`, since placement tables hold thousands of
/// references.
struct AdapterVisitor;

impl de::Visitor<'_> for AdapterVisitor {
    type Value = AdapterRef;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text of the form base:adapter@version")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<AdapterRef, E> {
        text.parse().map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for AdapterRef {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(AdapterVisitor)
    }
}
