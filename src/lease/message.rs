//! Messages between candidates or holders and the grantors of their data centre.

use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::types::DataCentre;
use crate::types::VmName;

/// Format version of [`LeaseRequest`] and [`LeaseReply`].
pub const LEASE_FORMAT: u8 = 1;

/// Identity of a process that requests or holds the lease.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Identity {
    /// Name of the VM.
    pub vm: VmName,
    /// Increases with each start of the VM's process, usually the wall clock time in milliseconds.
    pub incarnation: u64,
}

/// A request from a VM to one grantor of its data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// [`LEASE_FORMAT`] of the sender.
    pub format: u8,
    /// Data centre of the lease.
    pub data_centre: DataCentre,
    /// Sender.
    pub from: Identity,
    /// Increases with each round of requests of the sender. Repeated in the reply.
    pub sequence: u64,
    /// Term of the lease to acquire, renew or release.
    pub term: u64,
    /// Revision of the roster in which the sender counts its majority.
    pub roster_revision: u64,
    /// Kind of request.
    pub kind: LeaseRequestKind,
}

/// Kind of a [`LeaseRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseRequestKind {
    /// Acquires the lease. The sender does not hold it.
    Ask,
    /// Renews the lease. The sender holds it.
    Renew,
    /// Checks whether the grantor is reachable.
    Probe,
    /// Releases the lease or the grants of an unsuccessful candidacy.
    Release {
        /// The preferred next holder, if any.
        successor: Option<VmName>,
    },
}

/// Reply of a grantor.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseReply {
    /// [`LEASE_FORMAT`] of the grantor.
    pub format: u8,
    /// Grantor that sent the reply.
    pub from: VmName,
    /// Sequence of the request.
    pub sequence: u64,
    /// Index of the last control entry applied by the grantor. A coordinator must have applied at
    /// least the highest index of its majority before it issues tokens.
    pub applied_index: u64,
    /// Decision of the grantor.
    pub answer: LeaseAnswer,
}

/// Decision of a grantor.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseAnswer {
    /// The grantor's vote is granted to the sender for the duration of one lease.
    Granted,
    /// Acknowledges a probe or release.
    Noted,
    /// The vote is granted to another process.
    Held {
        /// VM that has the vote.
        holder: VmName,
        /// Term of that VM.
        term: u64,
        /// Whether that VM holds the lease; otherwise it is a candidate.
        elected: bool,
        /// Time until the vote expires.
        remaining_ms: u64,
    },
    /// The term is not above the highest one granted.
    LowTerm {
        /// Highest term granted.
        term: u64,
    },
    /// The sender's roster is older than the grantor's.
    StaleRoster {
        /// Revision of the grantor's roster.
        revision: u64,
    },
    /// The grantor started less than a lease duration ago, and an earlier process may have granted
    /// the vote.
    Restarted {
        /// Time until the grantor may grant its vote.
        remaining_ms: u64,
    },
    /// The grantor has not yet caught up with the replicated log since its start.
    CatchingUp,
    /// The request is for another data centre, has an unknown format or was overtaken by a later
    /// one of the same sender.
    Rejected,
}

/// A lease request to another VM failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("VM {vm} gave no reply: {reason}"))]
pub struct LeaseSendError {
    /// The VM the request was sent to.
    pub vm: VmName,
    /// Cause of the failure, for the log.
    pub reason: String,
}

/// Sends lease requests to other VMs.
pub trait LeaseTransport: Send + Sync {
    /// Sends `request` to `to`. Implementations should time out after a fraction of the lease.
    fn send(
        &self,
        to: VmName,
        request: LeaseRequest,
    ) -> BoxFuture<'static, Result<LeaseReply, LeaseSendError>>;
}
