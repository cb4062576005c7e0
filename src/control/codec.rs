//! Binary form of commands, outcomes and snapshots: a format version, then the value.

use bincode::Options;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::control::Command;
use crate::control::Outcome;

/// Format of commands, outcomes and snapshots that this build writes and reads.
pub const FORMAT_VERSION: u8 = 2;

/// Bytes that are not a value of this format.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// There are no bytes.
    #[snafu(display("no bytes where a format version is expected"))]
    Empty,
    /// Written by another build.
    #[snafu(display("format version is {found}; this build reads {FORMAT_VERSION}"))]
    Version {
        /// Version that was found.
        found: u8,
    },
    /// The bytes after the version are damaged.
    #[snafu(display("damaged value: {source}"))]
    Damaged {
        /// What is wrong.
        source: bincode::Error,
    },
}

/// One `Result` of this module.
pub type Result<T> = std::result::Result<T, DecodeError>;

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION];
    options()
        .serialize_into(&mut bytes, value)
        .expect("plain data is written to memory without errors");
    bytes
}

pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (found, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if *found != FORMAT_VERSION {
        return Err(DecodeError::Version { found: *found });
    }
    options()
        .deserialize(rest)
        .map_err(|source| DecodeError::Damaged { source })
}

fn options() -> impl Options {
    bincode::DefaultOptions::new()
}

impl Command {
    /// Writes the command for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads a command from the log.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}

impl Outcome {
    /// Writes the outcome for a reply.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads an outcome from a reply.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}
