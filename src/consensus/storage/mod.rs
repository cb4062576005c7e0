//! Durable state of a voter: meta data, a segmented log and a snapshot in one data folder.
//!
//! | file | content |
//! |---|---|
//! | `meta` | disk id, cluster, term and vote; replaced as a whole |
//! | `snapshot-INDEX` | machine state and membership after the entry at `INDEX` |
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

/// Why durable state cannot be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StorageError {
    /// The operating system refused an operation.
    #[snafu(display("{operation} of {file} failed: {source}"))]
    Io {
        /// What was tried.
        operation: &'static str,
        /// Name of the file in the data folder.
        file: String,
        /// Cause.
        source: io::Error,
    },
    /// Synced data is damaged. This identity must not be used again.
    #[snafu(display("{file} is corrupt at byte {offset}: {reason}"))]
    Corrupt {
        /// Name of the file in the data folder.
        file: String,
        /// Position of the damage.
        offset: usize,
        /// What is wrong.
        reason: String,
    },
    /// The data was written by another release. It is left as it is.
    #[snafu(display("{file} has format version {version}; this release reads {FORMAT_VERSION}"))]
    Unsupported {
        /// Name of the file in the data folder.
        file: String,
        /// Its format version.
        version: u16,
    },
}

impl StorageError {
    /// Whether the data is damaged, as opposed to unreachable.
    pub fn is_corrupt(&self) -> bool {
        matches!(self, Self::Corrupt { .. })
    }
}
