//! Read access of the request pipeline to the control state and the membership.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::control::KeyHash;
use crate::control::Parameters;
use crate::membership;
use crate::membership::Liveness;
use crate::node::server_names::announced_name;
use crate::node::state_machine::SharedControlState;
use crate::node::state_machine::lock;
use crate::pipeline::KeyDirectory;
use crate::pipeline::ServerDirectory;
use crate::types::AccountName;
use crate::types::Clock;
use crate::types::ServerName;

/// Keys of the control state, without those that were withdrawn by gossip.
pub struct ControlKeyDirectory {
    /// Control state that this VM has applied.
    pub state: SharedControlState,
    /// Membership with the withdrawals that gossip has delivered.
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

/// Addresses of backend servers from the membership table.
pub struct MembershipServerDirectory {
    /// Cluster membership.
    pub members: membership::Handle,
    /// Clock of this VM.
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
