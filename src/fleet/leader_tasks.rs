//! Tasks of the log leader for the fleet: it registers controllers, drops those that are gone, and assigns
//! the orders of each data centre to a controller.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use super::control_core::Core;
use super::control_core::QUORUM_CONTACT_MAX_AGE_MS;
use super::fencing::is_holder_lost;
use super::stream_reports::SoftwareWatch;
use crate::consensus::Status;
use crate::control::Fleet;
use crate::control::FleetCommand;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServiceName;
use crate::types::VmName;

/// Interval between two runs of the tasks.
const INTERVAL_MS: u64 = 250;
/// Time for which controllers without a link are remembered.
const RETAIN_MS: u64 = 60_000;

/// Controllers with their data centres and, if linked, the time at which the link opened.
type Controllers = BTreeMap<VmName, (DataCentre, Option<MonoMs>)>;

/// Runs the tasks while this VM leads the log.
pub(super) async fn run(core: Arc<Core>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut led_since: Option<MonoMs> = None;
    let mut last_contact: BTreeMap<VmName, MonoMs> = BTreeMap::new();
    let mut software = SoftwareWatch::default();
    loop {
        ticks.tick().await;
        let status = core.log.status();
        // Commands that follow from an older state would undo newer changes.
        if !status.is_leader || status.confirmed_age_ms > QUORUM_CONTACT_MAX_AGE_MS {
            led_since = None;
            last_contact.clear();
            software = SoftwareWatch::default();
            continue;
        }
        let now = core.now();
        let led_since = *led_since.get_or_insert(now);
        let listed = core.software_versions();
        let announced = core.announced_software();
        if let Some(command) = software.next_command(&listed, announced, led_since, now) {
            core.change(command).await;
        }
        let view = FleetView::new(&core, &status, now, led_since, &mut last_contact);
        for vm in &view.leaving {
            core.log.report_leaving(vm.clone());
        }
        if let Some(command) = view.next_command() {
            // The next run repeats a command that did not succeed.
            core.change(command).await;
        }
    }
}

/// State of the fleet at one run of the tasks.
struct FleetView<'a> {
    own: &'a VmName,
    own_centre: &'a DataCentre,
    fleet: Fleet,
    recent_controllers: Controllers,
    voters: BTreeSet<VmName>,
    /// Voters and learners.
    members: BTreeSet<VmName>,
    /// Controllers that announced their shutdown.
    leaving: BTreeSet<VmName>,
    engine_centres: BTreeSet<DataCentre>,
    last_contact: &'a BTreeMap<VmName, MonoMs>,
    now: MonoMs,
    led_since: MonoMs,
}

impl<'a> FleetView<'a> {
    fn new(
        core: &'a Core,
        status: &Status,
        now: MonoMs,
        led_since: MonoMs,
        last_contact: &'a mut BTreeMap<VmName, MonoMs>,
    ) -> Self {
        let since = MonoMs(now.0.saturating_sub(RETAIN_MS));
        let recent_controllers = core.links.controllers(now, since);
        for (vm, (_, opened)) in &recent_controllers {
            if opened.is_some() && !core.links.is_leaving(vm) {
                last_contact.insert(vm.clone(), now);
            }
        }
        let leaving = recent_controllers
            .keys()
            .filter(|vm| core.links.is_leaving(vm));
        let leaving = leaving.cloned().collect();
        let deployment = core.deployment();
        let is_engine = |service: &ServiceName| {
            let services = deployment.as_ref().map(|deployment| &deployment.services);
            let service = services.and_then(|services| services.get(service));
            service.is_some_and(|service| service.engine.is_some())
        };
        let servers = core.servers();
        let engines = servers.servers().map(|record| &record.announcement);
        let engine_centres = engines
            .filter(|server| is_engine(&server.service))
            .map(|server| server.data_centre.clone())
            .collect();
        drop(servers);
        let members = status.voters.iter().chain(&status.learners);
        Self {
            own: &core.config.hello.vm,
            own_centre: &core.config.hello.data_centre,
            fleet: core.state().state().fleet().clone(),
            recent_controllers,
            leaving,
            voters: status.voters.iter().map(|id| id.vm.clone()).collect(),
            members: members.map(|id| id.vm.clone()).collect(),
            engine_centres,
            last_contact,
            now,
            led_since,
        }
    }

    fn next_command(&self) -> Option<FleetCommand> {
        self.controller_to_join()
            .or_else(|| self.controller_to_drop())
            .or_else(|| self.assignment())
    }

    fn controller_to_join(&self) -> Option<FleetCommand> {
        let own = (self.own, self.own_centre);
        let linked = self
            .recent_controllers
            .iter()
            .map(|(vm, (centre, _))| (vm, centre));
        let mut known = std::iter::once(own).chain(linked);
        let (vm, data_centre) = known.find(|(vm, _)| {
            self.voters.contains(*vm) && !self.fleet.controllers().contains_key(*vm)
        })?;
        Some(FleetCommand::JoinController {
            vm: vm.clone(),
            data_centre: data_centre.clone(),
        })
    }

    fn controller_to_drop(&self) -> Option<FleetCommand> {
        let mut controllers = self.fleet.controllers().keys();
        let gone = controllers.find(|vm| {
            !self.voters.contains(*vm)
                && *vm != self.own
                && !self.recent_controllers.contains_key(*vm)
        })?;
        Some(FleetCommand::DropController { vm: gone.clone() })
    }

    fn silence_ms(&self, vm: &VmName) -> u64 {
        if vm == self.own {
            return 0;
        }
        let last_contact = self.last_contact.get(vm).copied().unwrap_or(self.led_since);
        self.now.since(last_contact)
    }

    fn assignment(&self) -> Option<FleetCommand> {
        let due = self.engine_centres.iter().find_map(|centre| {
            let vm = self.replacement_holder(centre)?;
            Some((centre, vm))
        });
        let (data_centre, vm) = due?;
        Some(FleetCommand::AssignOrders {
            data_centre: data_centre.clone(),
            vm: vm.clone(),
        })
    }

    /// The VM to which the orders of `centre` should be assigned, if the assignment has to change.
    fn replacement_holder(&self, centre: &DataCentre) -> Option<&VmName> {
        let in_centre = |vm: &VmName| {
            let controller = self.fleet.controllers().get(vm);
            controller.is_some_and(|controller| controller.data_centre == *centre)
        };
        let alive =
            |vm: &&VmName| self.silence_ms(vm) < INTERVAL_MS * 2 && !self.leaving.contains(*vm);
        let local = self.voters.iter().filter(alive).find(|vm| in_centre(vm));
        let Some(holder) = self.fleet.holders().get(centre) else {
            return Some(local.unwrap_or(self.own));
        };
        let is_lost = is_holder_lost(
            self.members.contains(&holder.vm),
            self.leaving.contains(&holder.vm),
            self.silence_ms(&holder.vm),
        );
        // A live holder keeps its assignment even from another data centre, since a change interrupts
        // the orders.
        is_lost.then(|| local.unwrap_or(self.own))
    }
}
