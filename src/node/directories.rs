//! Read access of the request stages to the control state and the membership.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::control::KeyHash;
use crate::control::Parameters;
use crate::membership;
use crate::membership::CrashReport;
use crate::membership::Fingerprint;
use crate::membership::Liveness;
use crate::membership::Verdict;
use crate::node::server_names::announced_name;
use crate::node::state_machine::SharedControlState;
use crate::node::state_machine::lock;
use crate::pipeline::KeyDirectory;
use crate::pipeline::Quarantine;
use crate::pipeline::ServerDirectory;
use crate::types::AccountName;
use crate::types::Clock;
use crate::types::ServerName;

/// Keys in the control state, without those withdrawn by gossip.
pub struct ControlKeyDirectory {
    /// The control state.
    pub state: SharedControlState,
    /// Knows local withdrawals.
    pub members: membership::Handle,
}

impl KeyDirectory for ControlKeyDirectory {
    fn account_of(&self, key_hash: &KeyHash) -> Option<(AccountName, Arc<Parameters>)> {
        if self.members.snapshot().withdrawn.contains(&key_hash.0) {
            return None;
        }
        let control = lock(&self.state);
        let account = control.state().authenticate(key_hash)?;
        Some((account.name.clone(), account.parameters.clone()))
    }
}

/// Backend servers in the membership table.
pub struct MembershipServerDirectory {
    /// The membership.
    pub members: membership::Handle,
    /// Time.
    pub clock: Clock,
}

impl ServerDirectory for MembershipServerDirectory {
    fn locate(&self, server: &ServerName) -> Option<(SocketAddr, u64)> {
        let snapshot = self.members.snapshot();
        let view = snapshot.servers.get(announced_name(server))?;
        if view.liveness(self.clock.mono()) == Liveness::Dead {
            return None;
        }
        let address = view.payload.address.parse().ok()?;
        Some((address, view.incarnation))
    }
}

/// Crash reports in the membership table.
pub struct MembershipQuarantine {
    /// The membership.
    pub members: membership::Handle,
    /// Time.
    pub clock: Clock,
}

impl Quarantine for MembershipQuarantine {
    fn verdict(&self, fingerprint: &Fingerprint) -> Verdict {
        let snapshot = self.members.snapshot();
        snapshot.quarantine.verdict(fingerprint, self.clock.unix())
    }

    fn report(&self, fingerprint: Fingerprint, server: &ServerName, incarnation: u64) {
        log::warn!("quarantine: a request was running on {server} when it crashed");
        self.members.report_crash(CrashReport {
            fingerprint,
            server: server.clone(),
            incarnation,
            at: self.clock.unix(),
        });
    }
}
