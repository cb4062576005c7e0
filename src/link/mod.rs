//! Long-lived connections from every VM to every controller, with typed messages in both directions.
//!
//! A link is closed when the other side is silent or a write times out. The complete state is sent
//! when a link opens, so a lost link costs time but no state.

mod dialer;
mod format;
mod frame;
mod listener;
mod pending_writes;
mod session;

use snafu::Snafu;

pub use dialer::Dialer;
pub use format::LINK_FORMAT;
pub use format::LinkFormat;
pub use frame::AdapterDemand;
pub use frame::AdapterUse;
pub use frame::ControlStatus;
pub use frame::DocumentUpdate;
pub use frame::EngineLoad;
pub use frame::EntryVmInfo;
pub use frame::EntryVmUpdate;
pub use frame::Frame;
pub use frame::Hello;
pub use frame::LoadUpdate;
pub use frame::Residency;
pub use frame::ResidencyUpdate;
pub use frame::Role;
pub use frame::ServerLimit;
pub use frame::ServerUpdate;
pub use frame::StateConfirmation;
pub use frame::StateQuestion;
pub use listener::Listener;
pub use pending_writes::PendingWrites;
pub use session::Handler;
pub use session::Session;

/// A frame that cannot be decoded.
#[derive(Debug, Snafu)]
#[snafu(display("frame of {bytes} bytes cannot be read: {source}"))]
pub struct FrameError {
    /// Size of the frame.
    pub bytes: usize,
    /// Error of the decoder.
    pub source: bincode::Error,
}

/// Result of decoding a frame.
pub type Result<T> = std::result::Result<T, FrameError>;
