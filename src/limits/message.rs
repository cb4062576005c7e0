//! Messages between the VMs that use tokens and the coordinators that issue them.

use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::types::AccountName;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::Tokens;
use crate::types::VmName;

/// Format version of [`BorrowRequest`] and [`BorrowReply`].
pub const BORROW_FORMAT: u8 = 1;

/// A VM's request to the coordinator of a data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BorrowRequest {
    /// [`BORROW_FORMAT`] of the sender.
    pub format: u8,
    /// The VM that sends the request.
    pub vm: VmName,
    /// Incarnation of the VM's process.
    pub incarnation: u64,
    /// Tokens requested, per account.
    pub asks: Vec<Ask>,
    /// Increases with each new batch of `returns`; a batch that is resent keeps its number, and the
    /// coordinator credits it once.
    pub return_sequence: u64,
    /// Granted tokens that have not been used and never will be.
    pub returns: Vec<Return>,
}

/// Tokens requested for one account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// The account.
    pub account: AccountName,
    /// Tokens needed for a waiting request.
    pub need_tokens: Tokens,
    /// Tokens requested for requests that are expected soon. Granted only while the bucket is more
    /// than half full.
    pub ahead_tokens: Tokens,
}

/// Identifies the time of a grant at the coordinator that made it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GrantId {
    /// Term of the coordinator.
    pub term: u64,
    /// Time of the grant on the coordinator's monotonic clock.
    pub at: MonoMs,
}

/// Unused tokens of one grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Return {
    /// The account.
    pub account: AccountName,
    /// The grant.
    pub grant: GrantId,
    /// Number of tokens.
    pub tokens: Tokens,
}

/// A coordinator's reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BorrowReply {
    /// [`BORROW_FORMAT`] of the coordinator.
    pub format: u8,
    /// False if the receiver holds no lease or may not issue tokens yet; nothing was done.
    pub coordinating: bool,
    /// One for each ask, in the same order.
    pub grants: Vec<Granted>,
}

/// The answer to one [`Ask`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Granted {
    /// The grant.
    pub grant: GrantId,
    /// Tokens granted, at most `need_tokens + ahead_tokens`.
    pub tokens: Tokens,
    /// Lifetime in milliseconds, which the VM counts from before it sent the request.
    pub lifetime_ms: u64,
    /// Whole tokens that remain in the bucket after the grant.
    pub left_tokens: Tokens,
    /// Refill of the bucket in billionths of a token per millisecond.
    pub refill_per_ms: u64,
    /// Capacity of the bucket in whole tokens.
    pub capacity_tokens: Tokens,
}

/// Why a coordinator gave no reply.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("coordinator of {data_centre} gave no reply: {reason}"))]
pub struct NoCoordinator {
    /// The data centre whose coordinator was asked.
    pub data_centre: DataCentre,
    /// Cause of the failure, for the log.
    pub reason: String,
}

/// Sends borrow requests to coordinators.
pub trait BorrowPeers: Send + Sync {
    /// Sends `request` to the VM that coordinates `data_centre`, which may be this one.
    /// Implementations should give up after a few hundred milliseconds.
    fn borrow(
        &self,
        data_centre: DataCentre,
        request: BorrowRequest,
    ) -> BoxFuture<'static, Result<BorrowReply, NoCoordinator>>;
}
