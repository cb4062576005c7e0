//! Long-lived connections from every VM to every controller, with typed messages both ways.
//!
//! A link is dropped when a message cannot be sent at once or when the other side is silent. What a
//! VM needs is sent in full when a link opens, so a lost link costs time and no state.

mod dialer;
mod frame;
mod listener;
mod session;

use snafu::Snafu;

pub use dialer::Dialer;
pub use frame::AdapterDemand;
pub use frame::AdapterUse;
pub use frame::ControlStatus;
pub use frame::DocumentUpdate;
pub use frame::EngineLoad;
pub use frame::Frame;
pub use frame::Hello;
pub use frame::LINK_FORMAT;
pub use frame::LoadUpdate;
pub use frame::Residency;
pub use frame::ResidencyUpdate;
pub use frame::Role;
pub use frame::ServerUpdate;
pub use listener::Listener;
pub use session::Handler;
pub use session::Session;

/// A frame that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("frame of {bytes} bytes cannot be read: {source}"))]
pub struct FrameError {
    /// Size of the frame.
    pub bytes: usize,
    /// What is wrong with it.
    pub source: bincode::Error,
}

/// Result of reading a frame.
pub type Result<T> = std::result::Result<T, FrameError>;
