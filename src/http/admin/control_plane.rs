//! What the administration API needs from the VM that it runs on.

use futures::future::BoxFuture;
use snafu::Snafu;

use crate::control::Command;
use crate::control::KeyHash;
use crate::control::Outcome;
use crate::control::State;
use crate::metrics::TimingRow;
use crate::types::DataCentre;
use crate::types::VmName;

/// One VM and the revision that it is known to have applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmRevision {
    /// The VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Last revision that the VM reported; `None` if the VM is not reachable.
    pub revision: Option<u64>,
}

/// A request that is quarantined or suspected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineEntry {
    /// Fingerprint of account, adapter and body.
    pub fingerprint: String,
    /// Crashes that were reported.
    pub crashes: u32,
    /// When the quarantine ends, in milliseconds since the Unix epoch; `None` for a suspect.
    pub until_unix_ms: Option<u64>,
}

/// Why a command has no outcome.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ProposeError {
    /// The log's quorum is out of reach and the command was not appended.
    #[snafu(display("the log's quorum is out of reach; nothing was changed"))]
    NoQuorum,
    /// The command may or may not become part of the log.
    #[snafu(display("the log did not answer in time; the change may still be committed"))]
    Uncertain,
}

/// Access to the log, the state and the membership of one VM.
pub trait ControlPlane: Send + Sync + 'static {
    /// Appends `command` to the log and gives its outcome once it is committed and applied on the
    /// voter that answers. The local state may apply it later.
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<Outcome, ProposeError>>;

    /// Calls `read` once with the state that this VM has applied.
    fn with_state(&self, read: &mut dyn FnMut(&State));

    /// Every VM of the roster with the revision that it is known to have applied.
    fn vm_revisions(&self) -> BoxFuture<'_, Vec<VmRevision>>;

    /// Withdraws a key on this VM and on all VMs that gossip reaches, and proposes the withdrawal
    /// once the log is in reach.
    fn withdraw_locally(&self, key_hash: KeyHash) -> BoxFuture<'_, ()>;

    /// Requests that are quarantined or suspected.
    fn quarantine(&self) -> BoxFuture<'_, Vec<QuarantineEntry>> {
        Box::pin(async { Vec::new() })
    }

    /// Ends a quarantine on this VM and on all VMs that gossip reaches.
    fn lift_quarantine(&self, fingerprint: [u8; 32]) {
        let _ = fingerprint;
    }

    /// Histograms of this VM.
    fn timings(&self) -> Vec<TimingRow> {
        Vec::new()
    }
}

/// Reads a value from the state of `control_plane`.
pub(super) fn read<R>(control_plane: &dyn ControlPlane, read: impl Fn(&State) -> R) -> R {
    let mut value = None;
    control_plane.with_state(&mut |state| value = Some(read(state)));
    value.expect("with_state calls its argument once")
}
