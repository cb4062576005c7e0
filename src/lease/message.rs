//! Messages between a candidate or holder and the grantors of its data centre.

use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::types::DataCentre;
use crate::types::VmName;

/// Format version of [`LeaseRequest`] and [`LeaseReply`].
pub const LEASE_FORMAT: u8 = 1;

/// A process that asks for or holds the lease.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Identity {
    /// Name of the VM.
    pub vm: VmName,
    /// Rises with each start of the VM's process, usually its wall clock time in milliseconds.
    pub incarnation: u64,
}

/// A request from a VM to one grantor of its data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// [`LEASE_FORMAT`] of the sender.
    pub format: u8,
    /// Data centre whose lease is meant.
    pub data_centre: DataCentre,
    /// The sender.
    pub from: Identity,
    /// Rises with each round of requests of the sender; the reply repeats it.
    pub sequence: u64,
    /// Term of the lease that is asked for, renewed or released.
    pub term: u64,
    /// Revision of the roster the sender counts its majority in.
    pub roster_revision: u64,
    /// What is asked.
    pub kind: LeaseRequestKind,
}

/// What a [`LeaseRequest`] asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseRequestKind {
    /// Asks for the lease. The sender does not hold it.
    Ask,
    /// Prolongs the lease. The sender holds it.
    Renew,
    /// Asks only whether the grantor is reachable.
    Probe,
    /// Gives the lease or a lost candidacy's grants back.
    Release {
        /// The VM that should get the lease next, if the sender prefers one.
        successor: Option<VmName>,
    },
}

/// A grantor's reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseReply {
    /// [`LEASE_FORMAT`] of the grantor.
    pub format: u8,
    /// The grantor.
    pub from: VmName,
    /// Sequence of the request.
    pub sequence: u64,
    /// Index of the last control entry the grantor has applied. A coordinator must have applied at
    /// least the highest one of its majority before it hands out tokens.
    pub applied_index: u64,
    /// The decision.
    pub answer: LeaseAnswer,
}

/// A grantor's decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseAnswer {
    /// The sender has this grantor's vote for one lease from now on.
    Granted,
    /// A probe or release was received.
    Noted,
    /// Another process has the vote.
    Held {
        /// The VM that has it.
        holder: VmName,
        /// Its term.
        term: u64,
        /// True if it holds the lease, false if it is a candidate.
        elected: bool,
        /// Time until the vote lapses.
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
    /// The grantor started less than a lease ago and may have forgotten a grant.
    Restarted {
        /// Time until it may grant.
        remaining_ms: u64,
    },
    /// The grantor has not yet caught up with the replicated log since its start.
    CatchingUp,
    /// The request belongs to another data centre, has an unknown format or was overtaken by a
    /// later one of the same sender.
    Rejected,
}

/// Why a peer gave no reply.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("VM {vm} gave no reply: {reason}"))]
pub struct LeaseSendError {
    /// The VM that was asked.
    pub vm: VmName,
    /// What went wrong, for the log.
    pub reason: String,
}

/// Sends lease requests to other VMs.
pub trait LeaseTransport: Send + Sync {
    /// Sends `request` to `to`. Implementations should give up after a fraction of the lease.
    fn send(
        &self,
        to: VmName,
        request: LeaseRequest,
    ) -> BoxFuture<'static, Result<LeaseReply, LeaseSendError>>;
}
