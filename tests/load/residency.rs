//! Tests of the residency lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;

use assert_matches::assert_matches;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use medlarlift::scheduling::residency::DispatchPermit;
use medlarlift::scheduling::residency::EngineSnapshot;
use medlarlift::scheduling::residency::PullError;
use medlarlift::scheduling::residency::Residency;
use medlarlift::scheduling::residency::ResidencyConfig;
use medlarlift::scheduling::residency::ResidencyTable;
use medlarlift::scheduling::residency::ResidencyView;
use medlarlift::scheduling::residency::Table;
use medlarlift::scheduling::residency::TablePull;
use medlarlift::scheduling::residency::TableVersion;
use medlarlift::types::AdapterRef;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::VmName;

use crate::adapter;

const CONFIG: ResidencyConfig = ResidencyConfig {
    valid_ms: 2_000,
    longest_request_ms: 5_000,
    clock_drift_ms: 100,
    announcement_lag_ms: 1_000,
    max_removed_engines: 2,
};
const SLOTS: u32 = 3;

struct FakeEngine {
    incarnation: u64,
    resident: BTreeSet<AdapterRef>,
}

struct FakeVm {
    name: VmName,
    incarnation: u64,
    /// Offset of the VM's clock from the coordinator's.
    offset_ms: u64,
    view: ResidencyView,
    silent_until: u64,
    uses: Vec<(u64, DispatchPermit)>,
}

impl FakeVm {
    fn new(index: u64, incarnation: u64, now: u64) -> Self {
        let name = VmName::from(format!("vm-{index}"));
        let offset_ms = index * 77_777;
        let started = MonoMs(now + offset_ms);
        Self {
            name: name.clone(),
            incarnation,
            offset_ms,
            view: ResidencyView::new(name, DataCentre::from("dc"), incarnation, started),
            silent_until: 0,
            uses: Vec::new(),
        }
    }
}

enum Message {
    Pull(usize, u64, MonoMs, TablePull),
    Reply(usize, u64, MonoMs, Table),
    Evict(ServerName, u64, AdapterRef),
    /// Adapters in use reported by an engine, with the term and time of the query.
    EngineUsage(u64, MonoMs, ServerName, u64, BTreeSet<AdapterRef>),
}

/// Several VMs and engines and one coordinator at a time, with delayed, lost and reordered messages.
/// `running` is the reference: the requests that run on the engines.
struct Simulation {
    rng: StdRng,
    now: u64,
    term: u64,
    table: ResidencyTable,
    engines: BTreeMap<ServerName, FakeEngine>,
    vms: Vec<FakeVm>,
    messages: BTreeMap<(u64, u64), Message>,
    sequence: u64,
    /// End time, engine, engine incarnation and adapter of each request.
    running: Vec<(u64, ServerName, u64, AdapterRef)>,
    evictions: usize,
    dispatches: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let vms: Vec<_> = (0..3).map(|index| FakeVm::new(index, 1, 0)).collect();
        let roster: Vec<_> = vms.iter().map(|vm| vm.name.clone()).collect();
        let engines = (0..3).map(|index| {
            let engine = FakeEngine {
                incarnation: 1,
                resident: BTreeSet::new(),
            };
            (ServerName::from(format!("engine-{index}")), engine)
        });
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            term: 1,
            table: ResidencyTable::new(CONFIG, DataCentre::from("dc"), 1, &roster, MonoMs(0)),
            engines: engines.collect(),
            vms,
            messages: BTreeMap::new(),
            sequence: 0,
            running: Vec::new(),
            evictions: 0,
            dispatches: 0,
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1..40);
        self.running.retain(|(end, _, _, _)| *end > self.now);
        self.end_requests();
        self.deliver();
        match self.rng.random_range(0..100) {
            0..30 => self.pull(),
            30..60 => self.dispatch(),
            60..70 => self.load(),
            70..80 => self.drain(),
            80..92 => self.evict(),
            92..95 => self.announce(),
            95..97 => self.ask_engine(),
            97 => self.silence_vm(),
            _ => self.restart_component(),
        }
    }

    fn some_vm(&mut self) -> usize {
        self.rng.random_range(0..self.vms.len())
    }

    fn some_engine(&mut self) -> ServerName {
        let index = self.rng.random_range(0..self.engines.len());
        self.engines.keys().nth(index).expect("an engine").clone()
    }

    fn some_adapter(&mut self) -> AdapterRef {
        let version = self.rng.random_range(1..3);
        let name = format!("a{}", self.rng.random_range(0..5));
        AdapterRef::new("base", name, version)
    }

    fn end_requests(&mut self) {
        for vm in &mut self.vms {
            let ended = vm.uses.extract_if(.., |(end, _)| *end <= self.now);
            for (_, permit) in ended {
                vm.view.finish(permit);
            }
        }
    }

    fn send(&mut self, message: Message) {
        if self.rng.random_range(0..10) == 0 {
            return;
        }
        self.sequence += 1;
        let delay = self.rng.random_range(1..400);
        self.messages
            .insert((self.now + delay, self.sequence), message);
    }

    fn deliver(&mut self) {
        while let Some(first) = self.messages.first_entry() {
            if first.key().0 > self.now {
                return;
            }
            match first.remove() {
                Message::Pull(vm, incarnation, sent, pull) => {
                    if let Ok(table) = self.table.pull(&pull, MonoMs(self.now)) {
                        self.send(Message::Reply(vm, incarnation, sent, table));
                    }
                }
                Message::Evict(server, incarnation, adapter) => {
                    self.carry_out(&server, incarnation, &adapter);
                }
                Message::EngineUsage(term, asked, server, incarnation, adapters) => {
                    let known = self.table.incarnation(&server) == Some(incarnation);
                    if term == self.term && known {
                        let adapters = adapters.into_iter().collect();
                        self.table.record_engine_usage(&server, adapters, asked);
                    }
                }
                Message::Reply(vm, incarnation, sent, table) => {
                    if self.vms[vm].incarnation == incarnation {
                        self.vms[vm].view.apply(table, sent);
                    }
                }
            }
        }
    }

    fn pull(&mut self) {
        let index = self.some_vm();
        let vm = &self.vms[index];
        if self.now < vm.silent_until {
            return;
        }
        let sent = MonoMs(self.now + vm.offset_ms);
        let pull = vm
            .view
            .pull(&DataCentre::from("dc"), Vec::new(), None, sent);
        let message = Message::Pull(index, vm.incarnation, sent, pull);
        self.send(message);
    }

    fn dispatch(&mut self) {
        let (index, server, adapter) = (self.some_vm(), self.some_engine(), self.some_adapter());
        let length = self.rng.random_range(1..CONFIG.longest_request_ms);
        let vm = &mut self.vms[index];
        let now = MonoMs(self.now + vm.offset_ms);
        let Some(permit) = vm.view.begin(&server, &adapter, now) else {
            return;
        };
        assert_eq!((&permit.server, &permit.adapter), (&server, &adapter));
        let engine = &self.engines[&server];
        if engine.incarnation == permit.incarnation {
            assert!(
                engine.resident.contains(&adapter),
                "{adapter} is not on {server}"
            );
            let end = self.now + length;
            self.running
                .push((end, server, permit.incarnation, adapter));
            vm.uses.push((end, permit));
            self.dispatches += 1;
        } else {
            vm.view.finish(permit);
        }
    }

    fn load(&mut self) {
        let (server, adapter) = (self.some_engine(), self.some_adapter());
        let now = MonoMs(self.now);
        if self.table.begin_load(&server, &adapter, now) {
            let engine = self.engines.get_mut(&server).expect("an engine");
            if Some(engine.incarnation) != self.table.incarnation(&server) {
                self.table.load_failed(&server, &adapter);
                return;
            }
            engine.resident.insert(adapter.clone());
            assert!(
                engine.resident.len() <= SLOTS as usize,
                "a slot is used twice"
            );
            self.table
                .loaded(&server, engine.incarnation, &adapter, now);
        }
    }

    fn drain(&mut self) {
        let (server, adapter) = (self.some_engine(), self.some_adapter());
        let now = MonoMs(self.now);
        if self.rng.random_range(0..4) == 0 {
            self.table.cancel_drain(&server, &adapter, now);
        } else {
            self.table.drain(&server, &adapter, now);
        }
    }

    fn evict(&mut self) {
        let now = MonoMs(self.now);
        for (server, adapter) in self.table.evictable(now) {
            assert!(self.table.begin_eviction(&server, &adapter, now));
            let incarnation = self.table.incarnation(&server).expect("known");
            let delay = self.rng.random_range(1..300);
            self.sequence += 1;
            let order = Message::Evict(server, incarnation, adapter);
            self.messages
                .insert((self.now + delay, self.sequence), order);
        }
    }

    fn carry_out(&mut self, server: &ServerName, incarnation: u64, adapter: &AdapterRef) {
        let engine = self.engines.get_mut(server).expect("an engine");
        if engine.incarnation == incarnation {
            let user = self
                .running
                .iter()
                .find(|(_, engine, engine_incarnation, used)| {
                    (engine, *engine_incarnation, used) == (server, incarnation, adapter)
                });
            assert_eq!(user, None, "evicted in use at {}", self.now);
            engine.resident.remove(adapter);
            self.evictions += 1;
        }
        let now = MonoMs(self.now);
        if self.rng.random_range(0..10) == 0 {
            self.table.eviction_failed(server, adapter, false, now);
        } else {
            self.table.evicted(server, adapter, now);
        }
    }

    fn announce(&mut self) {
        for (server, engine) in &self.engines {
            let snapshot = EngineSnapshot {
                server: server.clone(),
                incarnation: engine.incarnation,
                slots: SLOTS,
                positions: 8,
                resident: engine.resident.iter().cloned().collect(),
            };
            self.table.observe(&snapshot, MonoMs(self.now));
        }
    }

    /// Queries an engine for the adapters in use. The answer may be delayed.
    fn ask_engine(&mut self) {
        let server = self.some_engine();
        let incarnation = self.engines[&server].incarnation;
        let on_engine = self
            .running
            .iter()
            .filter(|(_, engine, engine_incarnation, _)| {
                (engine, *engine_incarnation) == (&server, incarnation)
            });
        let adapters = on_engine.map(|(_, _, _, adapter)| adapter.clone());
        let adapters = adapters.collect();
        let asked = MonoMs(self.now);
        self.send(Message::EngineUsage(
            self.term,
            asked,
            server,
            incarnation,
            adapters,
        ));
    }

    fn silence_vm(&mut self) {
        let index = self.some_vm();
        self.vms[index].silent_until = self.now + self.rng.random_range(1..9_000);
    }

    fn restart_component(&mut self) {
        match self.rng.random_range(0..8) {
            0 => {
                // The coordinator changes. The new one knows the roster and the announcements, and
                // starts after the orders of the previous one have ended.
                let orders: Vec<_> = self
                    .messages
                    .extract_if(.., |_, message| matches!(message, Message::Evict(..)))
                    .collect();
                for (_, order) in orders {
                    if let Message::Evict(server, incarnation, adapter) = order {
                        self.carry_out(&server, incarnation, &adapter);
                    }
                }
                self.term += 1;
                let roster: Vec<_> = self.vms.iter().map(|vm| vm.name.clone()).collect();
                let (centre, now) = (DataCentre::from("dc"), MonoMs(self.now));
                self.table = ResidencyTable::new(CONFIG, centre, self.term, &roster, now);
                self.announce();
            }
            1 => {
                // The VM restarts. Its requests continue to run on the engines.
                let index = self.some_vm();
                let incarnation = self.vms[index].incarnation + 1;
                self.vms[index] = FakeVm::new(index as u64, incarnation, self.now);
            }
            2 => {
                let server = self.some_engine();
                let engine = self.engines.get_mut(&server).expect("an engine");
                engine.incarnation += 1;
                engine.resident.clear();
            }
            3 => {
                let server = self.some_engine();
                self.table.remove_engine(&server, MonoMs(self.now));
            }
            _ => {}
        }
    }
}

/// Guards against the eviction of an adapter in use and a dispatch to an engine without the adapter
/// version, under silent VMs, lost and reordered messages and restarts of VMs, engines and the
/// coordinator.
#[test]
fn an_adapter_in_use_is_never_evicted() {
    let (mut evictions, mut dispatches) = (0, 0);
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..5_000 {
            simulation.step();
        }
        evictions += simulation.evictions;
        dispatches += simulation.dispatches;
    }
    assert!(evictions > 1_000, "only {evictions} evictions were tried");
    assert!(
        dispatches > 5_000,
        "only {dispatches} dispatches were tried"
    );
}

fn engine_with(resident: &[&str]) -> EngineSnapshot {
    EngineSnapshot {
        server: ServerName::from("e"),
        incarnation: 1,
        slots: SLOTS,
        positions: 8,
        resident: resident.iter().map(|name| adapter(name)).collect(),
    }
}

fn table_with(resident: &[&str]) -> (ResidencyTable, ResidencyView, DataCentre) {
    let (centre, vm) = (DataCentre::from("dc"), VmName::from("vm"));
    let mut table = ResidencyTable::new(CONFIG, centre.clone(), 1, &[], MonoMs(0));
    table.observe(&engine_with(resident), MonoMs(0));
    let view = ResidencyView::new(vm, centre.clone(), 1, MonoMs(0));
    (table, view, centre)
}

fn exchange(table: &mut ResidencyTable, view: &mut ResidencyView, now: MonoMs) -> Table {
    let pull = view.pull(&DataCentre::from("dc"), Vec::new(), None, now);
    let reply = table.pull(&pull, now).expect("a reply");
    assert!(view.apply(reply.clone(), now));
    reply
}

/// Guards against dispatches with an expired table, which the coordinator no longer waits for.
#[test]
fn an_expired_table_allows_no_dispatch() {
    let (mut table, mut view, _) = table_with(&["x"]);
    let (server, x) = (ServerName::from("e"), adapter("x"));
    exchange(&mut table, &mut view, MonoMs(0));
    assert!(view.may_dispatch(&server, &x, MonoMs(1_999)));
    assert!(!view.may_dispatch(&server, &x, MonoMs(2_000)));
    assert!(!view.may_dispatch(&server, &adapter("y"), MonoMs(1_999)));
}

/// Guards against a silent VM that blocks an eviction forever, or not long enough.
#[test]
fn a_silent_vm_blocks_an_eviction_until_its_time_out() {
    let (mut table, mut view, _) = table_with(&["x"]);
    let (server, x) = (ServerName::from("e"), adapter("x"));
    exchange(&mut table, &mut view, MonoMs(6_000));
    assert!(table.drain(&server, &x, MonoMs(6_100)));
    let expired = 6_000 + CONFIG.valid_ms + CONFIG.longest_request_ms + CONFIG.clock_drift_ms;
    assert_eq!(table.evictable(MonoMs(expired - 1)), Vec::new());
    assert_eq!(table.evictable(MonoMs(expired)), vec![(server, x)]);
}

/// Guards against a wait for the longest request although the engine reports the adapter as idle, and
/// against the use of a report from before the silent VM stopped dispatching.
#[test]
fn a_usage_report_of_the_engine_ends_the_wait_for_a_silent_vm() {
    let (mut table, mut view, _) = table_with(&["x"]);
    let (server, x) = (ServerName::from("e"), adapter("x"));
    exchange(&mut table, &mut view, MonoMs(6_000));
    assert!(table.drain(&server, &x, MonoMs(6_100)));
    let expired = MonoMs(6_000 + CONFIG.valid_ms + CONFIG.clock_drift_ms);
    let now = expired.plus(10);
    table.record_engine_usage(&server, HashSet::new(), MonoMs(expired.0 - 1));
    assert_eq!(table.evictable(now), Vec::new());
    table.record_engine_usage(&server, HashSet::from([x.clone()]), expired);
    assert_eq!(table.evictable(now), Vec::new());
    table.record_engine_usage(&server, HashSet::new(), expired);
    assert_eq!(table.evictable(now), vec![(server, x)]);
}

/// Guards against an eviction based on the acknowledgement of an earlier drain of the same adapter.
#[test]
fn a_second_drain_needs_a_second_acknowledgement() {
    let (mut table, mut view, _) = table_with(&["x"]);
    let (server, x) = (ServerName::from("e"), adapter("x"));
    let now = MonoMs(6_000);
    exchange(&mut table, &mut view, now);
    table.drain(&server, &x, now);
    exchange(&mut table, &mut view, now);
    exchange(&mut table, &mut view, now);
    assert_eq!(table.evictable(now).len(), 1);
    assert!(table.cancel_drain(&server, &x, now));
    exchange(&mut table, &mut view, now);
    let permit = view.begin(&server, &x, now).expect("resident again");
    table.drain(&server, &x, now);
    assert_eq!(table.evictable(now), Vec::new());
    exchange(&mut table, &mut view, now);
    exchange(&mut table, &mut view, now);
    assert_eq!(table.evictable(now), Vec::new());
    view.finish(permit);
    exchange(&mut table, &mut view, now);
    assert_eq!(table.evictable(now).len(), 1);
}

/// Guards against idle pulls that transfer the whole table, and deltas that omit a change.
#[test]
fn an_idle_pull_is_small_and_deltas_are_complete() {
    let names: Vec<String> = (0..3).map(|index| format!("a{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (mut table, mut view, centre) = table_with(&names);
    exchange(&mut table, &mut view, MonoMs(0));
    let idle = exchange(&mut table, &mut view, MonoMs(250));
    assert_eq!((idle.rows.len(), idle.removed.len()), (0, 0));
    let pull = view.pull(&centre, Vec::new(), None, MonoMs(250));
    let bytes = bincode::serialize(&pull).expect("serialises").len()
        + bincode::serialize(&idle).expect("serialises").len();
    assert!(bytes < 256, "an idle exchange takes {bytes} bytes");
    let (server, x) = (ServerName::from("e"), adapter("a1"));
    table.drain(&server, &x, MonoMs(300));
    exchange(&mut table, &mut view, MonoMs(500));
    assert_matches!(view.state(&server, &x), Some(Residency::Draining));
    table.remove_engine(&server, MonoMs(700));
    exchange(&mut table, &mut view, MonoMs(750));
    assert_eq!(view.state(&server, &x), None);
}

/// Guards against a replaced coordinator that continues to serve tables, and unknown formats.
#[test]
fn pulls_of_a_later_term_or_another_format_are_rejected() {
    let (mut table, view, centre) = table_with(&[]);
    let mut pull = view.pull(&centre, Vec::new(), None, MonoMs(0));
    pull.known = Some(TableVersion { term: 2, change: 0 });
    let error = table.pull(&pull, MonoMs(0)).expect_err("a later term");
    assert_matches!(error, PullError::Deposed { known: 2, term: 1 });
    pull.format = 9;
    let error = table.pull(&pull, MonoMs(0)).expect_err("another format");
    assert!(error.to_string().contains("format: 9"), "{error}");
}

/// Guards against a delayed announcement that makes an evicted adapter resident again.
#[test]
fn a_delayed_announcement_does_not_restore_an_evicted_adapter() {
    let (mut table, _, _) = table_with(&["x"]);
    let (server, x, now) = (ServerName::from("e"), adapter("x"), MonoMs(6_000));
    table.drain(&server, &x, now);
    assert!(table.begin_eviction(&server, &x, now));
    table.evicted(&server, &x, now);
    table.observe(&engine_with(&["x"]), now.plus(500));
    assert_eq!(table.state(&server, &x), None);
}

/// Guards against a delayed pull that overwrites a use reported by a newer pull.
#[test]
fn a_delayed_pull_does_not_overwrite_a_newer_report() {
    let (mut table, mut view, centre) = table_with(&["x"]);
    let (server, x, now) = (ServerName::from("e"), adapter("x"), MonoMs(6_000));
    exchange(&mut table, &mut view, now);
    let delayed = view.pull(&centre, Vec::new(), None, now);
    let permit = view.begin(&server, &x, now).expect("resident");
    table.drain(&server, &x, now);
    exchange(&mut table, &mut view, now);
    exchange(&mut table, &mut view, now);
    table.pull(&delayed, now).expect("a reply");
    assert_eq!(table.evictable(now), Vec::new());
    view.finish(permit);
}

/// Guards against a drain mark that is removed while an unanswered eviction may still be carried out,
/// or that is lost when the engine is removed and returns.
#[test]
fn an_unanswered_eviction_keeps_its_drain_mark() {
    let (mut table, _, _) = table_with(&["x"]);
    let (server, x, now) = (ServerName::from("e"), adapter("x"), MonoMs(6_000));
    table.drain(&server, &x, now);
    assert!(table.begin_eviction(&server, &x, now));
    table.eviction_failed(&server, &x, false, now);
    assert!(!table.cancel_drain(&server, &x, now));
    table.remove_engine(&server, now);
    table.observe(&engine_with(&["x"]), now);
    assert_matches!(table.state(&server, &x), Some(Residency::Draining));
    assert_eq!(table.evictable(now), vec![(server, x)]);
}

/// Guards against a VM restart that blocks all evictions for the longest request. An adapter that
/// became resident after the last table served to the old incarnation cannot be in use by it.
#[test]
fn a_crashed_vm_blocks_only_adapters_that_it_could_use() {
    let (mut table, mut view, _) = table_with(&["old"]);
    let (server, old, new) = (ServerName::from("e"), adapter("old"), adapter("new"));
    let now = MonoMs(60_000);
    exchange(&mut table, &mut view, now);
    exchange(&mut table, &mut view, now);
    let crashed = now.plus(100);
    let mut view = ResidencyView::new(VmName::from("vm"), DataCentre::from("dc"), 2, crashed);
    assert!(table.begin_load(&server, &new, crashed));
    table.loaded(&server, 1, &new, crashed);
    exchange(&mut table, &mut view, crashed);
    table.drain(&server, &old, crashed);
    table.drain(&server, &new, crashed);
    exchange(&mut table, &mut view, crashed);
    exchange(&mut table, &mut view, crashed);
    assert_eq!(
        table.evictable(crashed),
        vec![(server.clone(), new.clone())]
    );
    let ended = crashed.plus(CONFIG.longest_request_ms + CONFIG.clock_drift_ms);
    exchange(&mut table, &mut view, ended);
    assert_eq!(
        table.evictable(ended),
        vec![(server.clone(), new), (server, old)]
    );
}

/// Creates the table of a new coordinator that has not yet received the announcement of `x` on `e`, and
/// a VM that has the table of the previous coordinator.
fn successor_without_x() -> (ResidencyTable, ResidencyView, MonoMs) {
    let (mut old, mut view, centre) = table_with(&["x"]);
    let now = MonoMs(60_000);
    exchange(&mut old, &mut view, now);
    let mut table = ResidencyTable::new(CONFIG, centre, 2, &[VmName::from("vm")], now);
    let mut other = engine_with(&[]);
    other.server = ServerName::from("other");
    table.observe(&other, now);
    (table, view, now)
}

/// Guards against a new coordinator that receives the announcement of an adapter late and assumes that
/// no VM uses it, although a VM dispatches with the table of the previous coordinator.
#[test]
fn an_adapter_announced_late_may_be_dispatched_to() {
    let (mut table, mut view, now) = successor_without_x();
    let (server, x) = (ServerName::from("e"), adapter("x"));
    let pull = view.pull(&DataCentre::from("dc"), Vec::new(), None, now);
    table.pull(&pull, now).expect("a reply, which is lost");
    let permit = view
        .begin(&server, &x, now)
        .expect("listed by the previous coordinator");
    table.observe(&engine_with(&["x"]), now);
    table.drain(&server, &x, now);
    assert_eq!(table.evictable(now), Vec::new());
    view.finish(permit);
}

/// Guards against the same assumption when the VM has applied the new table and still has a request in
/// flight that it dispatched before.
#[test]
fn an_adapter_announced_late_may_be_in_use() {
    let (mut table, mut view, now) = successor_without_x();
    let (server, x) = (ServerName::from("e"), adapter("x"));
    let permit = view
        .begin(&server, &x, now)
        .expect("listed by the previous coordinator");
    exchange(&mut table, &mut view, now);
    exchange(&mut table, &mut view, now);
    table.observe(&engine_with(&["x"]), now);
    table.drain(&server, &x, now);
    assert_eq!(table.evictable(now), Vec::new());
    view.finish(permit);
}
