//! Reservations of engines for suspect requests. The coordinator of the engine's data centre
//! decides whether a suspect may run on the engine.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use rand::RngExt;

use super::coordinator::Coordinator;
use crate::lease;
use crate::membership;
use crate::membership::Fingerprint;
use crate::peer::PeerClients;
use crate::pipeline::SuspectEngineReserver;
use crate::pipeline::SuspectReservation;
use crate::scheduling::suspects::SUSPECT_FORMAT;
use crate::scheduling::suspects::SuspectRequest;
use crate::types::ServerName;
use crate::types::VmName;

/// Requests reservations from the coordinators.
#[derive(Clone)]
pub struct CoordinatorSuspectReserver {
    /// Name of this VM.
    pub vm: VmName,
    /// Lease handle, which knows the coordinators.
    pub lease: lease::Handle,
    /// Membership, which knows the data centres of the engines.
    pub members: membership::Handle,
    /// Coordinator on this VM.
    pub coordinator: Arc<Coordinator>,
    /// Connections to other VMs.
    pub peers: PeerClients,
}

impl CoordinatorSuspectReserver {
    /// Returns the decision of the coordinator; `None` if no coordinator can be reached.
    async fn request_decision(&self, request: SuspectRequest) -> Option<bool> {
        let snapshot = self.members.snapshot();
        let engine = snapshot.servers.get(&request.server)?;
        let coordinator = self.lease.coordinator_of(&engine.payload.data_centre)?;
        if coordinator == self.vm {
            return self.coordinator.suspect(&request);
        }
        self.peers.suspect(&coordinator, request).await.ok()?
    }
}

impl SuspectEngineReserver for CoordinatorSuspectReserver {
    fn reserve(
        &self,
        server: &ServerName,
        fingerprint: Fingerprint,
    ) -> BoxFuture<'static, Option<SuspectReservation>> {
        let this = self.clone();
        let request = SuspectRequest {
            format: SUSPECT_FORMAT,
            server: server.clone(),
            fingerprint: fingerprint.0,
            vm: self.vm.clone(),
            dispatch: rand::rng().random(),
            release: false,
        };
        async move {
            // Without a coordinator only the local limit holds: one suspect per engine and VM.
            let granted = this.request_decision(request.clone()).await.unwrap_or(true);
            let release = SuspectRequest {
                release: true,
                ..request
            };
            granted.then(|| {
                SuspectReservation::new(move || {
                    tokio::spawn(async move { this.request_decision(release).await });
                })
            })
        }
        .boxed()
    }
}
