//! Binary encoding of commands, outcomes and snapshots: a format version, followed by the value.

use std::borrow::Cow;

use bincode::Options;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::control::Command;
use crate::control::Outcome;
use crate::scheduling::stream_origins::SoftwareVersions;

/// Format version of commands, outcomes and snapshots that this build writes and reads.
pub const FORMAT_VERSION: u8 = 3;
/// Format version before, which this build reads as well. Its snapshots end without the software
/// versions, and it has no commands about them.
const PREVIOUS_FORMAT_VERSION: u8 = 2;

/// Error of decoding a command, an outcome or a snapshot.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The input is empty.
    #[snafu(display("no bytes where a format version is expected"))]
    Empty,
    /// The format version is not the one of this build.
    #[snafu(display("format version is {found}; this build reads {FORMAT_VERSION}"))]
    Version {
        /// Format version of the input.
        found: u8,
    },
    /// The value after the version cannot be decoded.
    #[snafu(display("damaged value: {source}"))]
    Damaged {
        /// Cause of the failure.
        source: bincode::Error,
    },
}

/// Result of decoding.
pub type Result<T> = std::result::Result<T, DecodeError>;

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION];
    options()
        .serialize_into(&mut bytes, value)
        .expect("encoding plain data to memory cannot fail");
    bytes
}

pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (found, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if !matches!(*found, FORMAT_VERSION | PREVIOUS_FORMAT_VERSION) {
        return Err(DecodeError::Version { found: *found });
    }
    options()
        .deserialize(rest)
        .map_err(|source| DecodeError::Damaged { source })
}

/// A snapshot in the current format. One of the previous format gets an empty list of software
/// versions.
pub(super) fn current_snapshot(bytes: &[u8]) -> Cow<'_, [u8]> {
    match bytes.split_first() {
        Some((&PREVIOUS_FORMAT_VERSION, rest)) => {
            let mut current = vec![FORMAT_VERSION];
            current.extend_from_slice(rest);
            options()
                .serialize_into(&mut current, &SoftwareVersions::default())
                .expect("encoding plain data to memory cannot fail");
            Cow::Owned(current)
        }
        _ => Cow::Borrowed(bytes),
    }
}

fn options() -> impl Options {
    bincode::DefaultOptions::new()
}

impl Command {
    /// Encodes the command for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are empty, of another format version or damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}

impl Outcome {
    /// Encodes the outcome for a reply.
    pub fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes an outcome from a reply.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are empty, of another format version or damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        decode(bytes)
    }
}
