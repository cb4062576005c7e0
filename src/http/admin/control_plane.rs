//! Interface of the administration API to the VM that it runs on.

use futures::future::BoxFuture;
use snafu::Snafu;

use crate::control::Command;
use crate::control::KeyHash;
use crate::control::Outcome;
use crate::control::State;
use crate::metrics::TimingRow;
use crate::types::DataCentre;
use crate::types::VmName;

/// A VM and the last revision that it is known to have applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmRevision {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Last revision that the VM reported; `None` if the VM is unreachable.
    pub revision: Option<u64>,
}

/// A request that is quarantined or suspected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineEntry {
    /// Fingerprint of account, adapter and body.
    pub fingerprint: String,
    /// Number of reported crashes.
    pub crashes: u32,
    /// End of the quarantine in milliseconds since the Unix epoch; `None` for a suspect.
    pub until_unix_ms: Option<u64>,
}

/// Why the outcome of a command is not available.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ProposeError {
    /// The quorum of the log is unreachable and the command was not appended.
    #[snafu(display("the log's quorum is out of reach; nothing was changed"))]
    NoQuorum,
    /// The command may or may not be committed.
    #[snafu(display("the log did not answer in time; the change may still be committed"))]
    Uncertain,
}

/// Access to the log, the state and the membership of one VM.
pub trait ControlPlane: Send + Sync + 'static {
    /// Proposes `command` to the log and returns its outcome once it is committed and applied on
    /// the voter that responds. The local state may apply it later.
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<Outcome, ProposeError>>;

    /// Calls `read` once with the state that this VM has applied.
    fn with_state(&self, read: &mut dyn FnMut(&State));

    /// Returns every VM of the roster with the revision that it is known to have applied.
    fn vm_revisions(&self) -> BoxFuture<'_, Vec<VmRevision>>;

    /// Withdraws a key on this VM and on all VMs that gossip reaches. The withdrawal is proposed to
    /// the log once its leader is reachable.
    fn withdraw_locally(&self, key_hash: KeyHash) -> BoxFuture<'_, ()>;

    /// Returns the requests that are quarantined or suspected.
    fn quarantine(&self) -> BoxFuture<'_, Vec<QuarantineEntry>> {
        Box::pin(async { Vec::new() })
    }

    /// Ends a quarantine on this VM and on all VMs that gossip reaches.
    fn lift_quarantine(&self, fingerprint: [u8; 32]) {
        let _ = fingerprint;
    }

    /// Returns the timing histograms of this VM.
    fn timings(&self) -> Vec<TimingRow> {
        Vec::new()
    }
}

/// Reads a value from the control state of `control_plane`.
pub(super) fn read<R>(control_plane: &dyn ControlPlane, read: impl Fn(&State) -> R) -> R {
    let mut value = None;
    control_plane.with_state(&mut |state| value = Some(read(state)));
    value.expect("with_state calls its argument once")
}
