//! Passes membership updates to routing, placement and the coordinator lookup.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use super::coordinator::Coordinator;
use super::coordinator::CoordinatorInputs;
use super::coordinator::EngineState;
use super::server_names::provider_name;
use super::state_machine::SharedControlState;
use super::state_machine::lock;
use crate::configs::vm::StoreSettings;
use crate::lease;
use crate::limits;
use crate::limits::Settlement;
use crate::membership;
use crate::membership::Liveness;
use crate::membership::ServerKind as AnnouncedKind;
use crate::membership::ServerPayload;
use crate::membership::Snapshot;
use crate::membership::View;
use crate::peer::PeerAddresses;
use crate::pipeline::Dispatcher;
use crate::scheduling::placement::StoreShare;
use crate::scheduling::residency::EngineSnapshot;
use crate::scheduling::routing::LoadReport;
use crate::scheduling::routing::ServerInfo;
use crate::scheduling::routing::ServerKind;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Assumed age of a load sample when its announcement arrives.
const REPORT_LAG_MS: u64 = 500;
/// Assumed mean time for which a request holds a batch position; servers do not report it yet.
const SERVICE_MS: u32 = 500;

/// Task that follows the membership, with the components that it updates.
pub struct MembershipSync {
    /// Name of this VM.
    pub vm: VmName,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Clock of this VM.
    pub clock: Clock,
    /// Cluster membership.
    pub members: membership::Handle,
    /// Control state that this VM has applied.
    pub state: SharedControlState,
    /// Lease handle, which receives the coordinators of the data centres.
    pub lease: lease::Handle,
    /// Dispatcher, which receives the servers and their load.
    pub dispatcher: Arc<Dispatcher>,
    /// Coordinator, which receives engines, roster and share of the store.
    pub coordinator: Arc<Coordinator>,
    /// Addresses of other VMs, which are updated.
    pub peer_addresses: PeerAddresses,
    /// Limits of the weight store for all data centres together.
    pub store: StoreSettings,
    /// Limit server, which is notified of settled limits.
    pub token_server: limits::Server,
}

impl MembershipSync {
    /// Follows the membership until it stops.
    pub async fn run(self) {
        let mut snapshots = self.members.subscribe();
        let mut routed = BTreeSet::new();
        let mut settlement = Settlement::default();
        while snapshots.changed().await.is_ok() {
            let snapshot = snapshots.borrow_and_update().clone();
            let now = self.clock.mono();
            self.update_vms(&snapshot, now);
            self.update_servers(&snapshot, &mut routed, now);
            self.update_coordinator(&snapshot, now);
            self.update_settled_limits(&snapshot, &mut settlement);
        }
    }

    fn update_vms(&self, snapshot: &Snapshot, now: MonoMs) {
        let mut coordinators: HashMap<DataCentre, (u64, VmName)> = HashMap::new();
        let mut peers = 0;
        for (vm, view) in &snapshot.vms {
            if let Ok(address) = view.payload.peer_address.parse() {
                self.peer_addresses.set(vm.clone(), address);
            }
            if view.liveness(now) == Liveness::Dead {
                continue;
            }
            peers += u32::from(*vm != self.vm);
            let term = view.status.coordinator_term;
            let known = coordinators.get(&view.payload.data_centre);
            if term > 0 && known.is_none_or(|(highest, _)| term > *highest) {
                let coordinator = (term, vm.clone());
                coordinators.insert(view.payload.data_centre.clone(), coordinator);
            }
        }
        // Includes the own data centre: a VM that the lease holder does not need for its majority
        // may not have granted the lease, and then learns of the holder only from the membership.
        for (data_centre, (_, vm)) in coordinators {
            self.lease.set_known_coordinator(data_centre, Some(vm));
        }
        self.dispatcher.set_peers(peers);
    }

    fn update_servers(&self, snapshot: &Snapshot, routed: &mut BTreeSet<ServerName>, now: MonoMs) {
        let mut alive = BTreeSet::new();
        for (server, view) in &snapshot.servers {
            let liveness = view.liveness(now);
            if liveness == Liveness::Dead {
                continue;
            }
            // A silent server gets new work only if no other server can take it.
            let leaving = view.payload.leaving || liveness == Liveness::Suspect;
            for info in server_infos(server, view, leaving) {
                alive.insert(info.name.clone());
                self.dispatcher.observe(info, load_report(view));
            }
        }
        for gone in routed.difference(&alive) {
            self.dispatcher.remove(gone);
        }
        *routed = alive;
    }

    fn update_coordinator(&self, snapshot: &Snapshot, now: MonoMs) {
        let engines = snapshot.servers.iter();
        let engines = engines
            .filter(|(_, view)| self.accepts_commands(view, now))
            .filter_map(|(server, view)| Some((server.clone(), engine_state(server, view)?)))
            .collect();
        let (roster, data_centres) = {
            let control = lock(&self.state);
            let roster = control.state().roster();
            let vms: Vec<VmName> = roster.iter().map(|(vm, _)| vm.clone()).collect();
            (vms, roster.data_centres().len())
        };
        self.coordinator.set_inputs(CoordinatorInputs {
            engines,
            roster,
            store: Some(store_share(&self.store, data_centres)),
        });
    }

    fn update_settled_limits(&self, snapshot: &Snapshot, settlement: &mut Settlement) {
        let data_centres: Vec<DataCentre> = {
            let control = lock(&self.state);
            control
                .state()
                .data_centres()
                .into_iter()
                .cloned()
                .collect()
        };
        settlement.set_data_centres(data_centres);
        for view in snapshot.vms.values() {
            settlement.note(&view.payload.data_centre, view.status.settled_index);
        }
        self.token_server.settle(settlement.settled_index());
    }

    fn accepts_commands(&self, view: &View<ServerPayload>, now: MonoMs) -> bool {
        view.payload.kind == AnnouncedKind::Engine
            && view.payload.data_centre == self.data_centre
            && !view.payload.leaving
            && view.liveness(now) != Liveness::Dead
    }
}

fn server_infos(server: &ServerName, view: &View<ServerPayload>, leaving: bool) -> Vec<ServerInfo> {
    let payload = &view.payload;
    let info = |name: ServerName, kind: ServerKind| ServerInfo {
        name,
        data_centre: payload.data_centre.clone(),
        kind,
        incarnation: view.incarnation,
        batch_slots: payload.batch_positions,
        leaving,
    };
    match (&payload.kind, &payload.base_model) {
        (AnnouncedKind::Engine, Some(base)) => {
            let kind = ServerKind::Engine { base: base.clone() };
            vec![info(server.clone(), kind)]
        }
        (AnnouncedKind::Engine, None) => Vec::new(),
        (AnnouncedKind::Service, _) => {
            let service_count = payload.services.len();
            let services = payload.services.iter();
            services
                .map(|service| {
                    let name = provider_name(server, service, service_count);
                    let service = service.clone();
                    info(name, ServerKind::Service { service })
                })
                .collect()
        }
    }
}

fn load_report(view: &View<ServerPayload>) -> LoadReport {
    LoadReport {
        sampled: MonoMs(view.last_update.0.saturating_sub(REPORT_LAG_MS)),
        running: view.status.running,
        waiting_urgent: view.status.queued,
        waiting_patient: 0,
        service_ms: SERVICE_MS,
        suspects: 0,
    }
}

fn engine_state(server: &ServerName, view: &View<ServerPayload>) -> Option<EngineState> {
    Some(EngineState {
        snapshot: EngineSnapshot {
            server: server.clone(),
            incarnation: view.incarnation,
            slots: view.payload.adapter_slots,
            positions: view.payload.batch_positions,
            resident: view.payload.resident_adapters.clone(),
        },
        address: view.payload.address.parse().ok()?,
        checks_fence: view.payload.checks_fence,
        highest_fence: view.status.highest_fence,
    })
}

/// Equal shares of the limits of the weight store for all data centres, so that the limits hold
/// even if a data centre is cut off.
fn store_share(store: &StoreSettings, data_centres: usize) -> StoreShare {
    let parts = u64::try_from(data_centres.max(1)).unwrap_or(u64::MAX);
    let in_flight = (store.loads_in_flight / parts).max(1);
    StoreShare {
        loads_per_s: store.loads_per_s / parts as f64,
        burst_loads: in_flight as f64,
        in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
    }
}
