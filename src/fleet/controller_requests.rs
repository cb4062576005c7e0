//! What the gateway of an entry VM sends to the controllers.

use std::collections::BTreeSet;

use super::controller_client::ControllerClient;
use crate::gateway::ControllerRequests;
use crate::gateway::LookupFuture;
use crate::link::AdapterDemand;
use crate::link::Frame;
use crate::link::ServerLimit;
use crate::scheduling::crash_evidence::ClearedFeature;
use crate::scheduling::crash_evidence::CrashReport;
use crate::types::ServiceName;
use crate::types::StreamKey;
use crate::types::VmName;

/// Demands for an adapter that are sent to one data centre before the next one is tried.
const ATTEMPTS_PER_DATA_CENTRE: u32 = 3;

impl ControllerRequests for ControllerClient {
    fn report_server_limit(&self, limit: ServerLimit) {
        self.send_server_limits(vec![limit]);
    }

    fn report_cut_off(&self, services: Vec<ServiceName>) {
        self.send_to_all(&Frame::CutOff(services));
    }

    fn find_stream(&self, stream: StreamKey) -> LookupFuture {
        let state = self.lock();
        let statuses = state.links.values().filter_map(|link| link.status.as_ref());
        let known = statuses.map(|status| status.controllers.len()).max();
        let sessions = state.links.values().map(|link| link.session.clone());
        let sessions = sessions.collect();
        Box::pin(
            self.lookups
                .clone()
                .find(stream, sessions, known.unwrap_or(usize::MAX)),
        )
    }

    fn linked_controllers(&self) -> BTreeSet<VmName> {
        let state = self.lock();
        let told = state.links.values().filter(|link| link.status.is_some());
        told.map(|link| link.session.peer().vm.clone()).collect()
    }

    fn report_crashes(&self, reports: Vec<CrashReport>) {
        self.send_to_all(&Frame::Crashes(reports));
    }

    fn report_cleared(&self, cleared: Vec<ClearedFeature>) {
        self.send_to_all(&Frame::CrashCleared(cleared));
    }

    fn request_adapter(&self, demand: AdapterDemand, asked_before: u32) {
        // An unpopular adapter is loaded again on the engine that had it, in whichever data centre.
        let near = self.gateway().is_popular(&demand.model);
        let now = self.clock.mono();
        let mut targets = self.gateway().server_table().version_load_targets(
            &demand.model,
            demand.software.as_ref(),
            near,
            now,
        );
        if targets.is_empty() {
            return;
        }
        // A data centre that does not load the adapter in time is skipped.
        let skipped = (asked_before / ATTEMPTS_PER_DATA_CENTRE) as usize % targets.len();
        targets.rotate_left(skipped);
        let state = self.lock();
        for target in targets {
            if let Some(holder) = state.holder(&target.data_centre) {
                holder.send(&Frame::AdapterDemands(target.data_centre, vec![demand]));
                return;
            }
        }
    }
}
