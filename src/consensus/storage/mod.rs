//! Durable state of a voter: metadata, a segmented log and a snapshot in one data folder.
//!
//! | file | content |
//! |---|---|
//! | `meta` | disk id, cluster, term and vote; replaced atomically |
//! | `snapshot-INDEX` | state machine and membership after the entry at `INDEX` |
//! | `log-NUMBER` | log segment: one record per synced write |

mod disk;
mod memory;
mod record;
mod segments;
mod store;

pub use disk::Disk;
pub use disk::Folder;
pub use memory::MemoryDisk;
pub use store::Storage;
pub use store::Store;

use std::io;

use snafu::Snafu;

use super::message::FORMAT_VERSION;

/// Result of a storage operation.
pub type Result<T> = std::result::Result<T, StorageError>;

/// Error while reading or writing durable state.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StorageError {
    /// A file operation failed.
    #[snafu(display("{operation} of {file} failed: {source}"))]
    Io {
        /// The operation.
        operation: &'static str,
        /// Name of the file in the data folder.
        file: String,
        /// Cause.
        source: io::Error,
    },
    /// Synced data is corrupt. This identity must not be used again.
    #[snafu(display("{file} is corrupt at byte {offset}: {reason}"))]
    Corrupt {
        /// Name of the file in the data folder.
        file: String,
        /// Offset of the corrupt data in bytes.
        offset: usize,
        /// Description of the corruption.
        reason: String,
    },
    /// The data was written by a release with another format version. It is not modified.
    #[snafu(display("{file} has format version {version}; this release reads {FORMAT_VERSION}"))]
    Unsupported {
        /// Name of the file in the data folder.
        file: String,
        /// Its format version.
        version: u16,
    },
}

impl StorageError {
    /// Whether the data is corrupt, as opposed to unavailable or of another format version.
    pub fn is_corrupt(&self) -> bool {
        matches!(self, Self::Corrupt { .. })
    }
}
