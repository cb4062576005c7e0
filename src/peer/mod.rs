//! Remote procedure calls between VMs over `tarpc`.

mod addresses;
mod client;
mod server;
mod service;

use std::net::SocketAddr;

use snafu::Snafu;

use crate::types::VmName;

pub use addresses::PeerAddresses;
pub use client::PeerClients;
pub use server::PeerServer;
pub use service::AppliedCommand;
pub use service::PeerHandler;
pub use service::ProposeFailure;
pub use service::ProposeReply;
pub use service::TableReply;

/// Result of a call to another VM.
pub type Result<T, E = PeerError> = std::result::Result<T, E>;

/// Why a call to another VM failed.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// No address is known for the VM.
    #[snafu(display("no peer address is known for VM {vm}"))]
    UnknownVm {
        /// The VM.
        vm: VmName,
    },
    /// No connection could be made; the call was not sent.
    #[snafu(display("cannot connect to VM {vm} at {address}: {reason}"))]
    Connect {
        /// The VM.
        vm: VmName,
        /// Its address.
        address: SocketAddr,
        /// What the connection reported.
        reason: String,
    },
    /// The call was sent and got no answer; it may have been executed.
    #[snafu(display("VM {vm} gave no answer: {reason}"))]
    NoAnswer {
        /// The VM.
        vm: VmName,
        /// What the connection reported.
        reason: String,
    },
}
