//! Simulation of a cluster of cores and stores in virtual time, with fault injection and an oracle.

#![allow(dead_code)]

mod oracle;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use bytes::Bytes;
use medlarlift::consensus::ClockStamps;
use medlarlift::consensus::Entry;
use medlarlift::consensus::Envelope;
use medlarlift::consensus::Message;
use medlarlift::consensus::SnapshotSchedule;
use medlarlift::consensus::Timeouts;
use medlarlift::consensus::VoterId;
use medlarlift::consensus::core::Core;
use medlarlift::consensus::core::CoreConfig;
use medlarlift::consensus::core::CoreStatus;
use medlarlift::consensus::core::Input;
use medlarlift::consensus::core::Output;
use medlarlift::consensus::core::Report;
use medlarlift::consensus::core::Write;
use medlarlift::consensus::storage::MemoryDisk;
use medlarlift::consensus::storage::Storage;
use medlarlift::consensus::storage::Store;
use medlarlift::types::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub use self::oracle::Oracle;
pub use self::oracle::Replica;

const TICK_MS: u64 = 20;

/// One VM: a disk, and a process while it runs.
#[derive(Default)]
pub struct Node {
    pub disk: MemoryDisk,
    pub process: Option<Process>,
    pub clock_skew_ms: i64,
    pub frozen_until_ms: u64,
    /// Contacts of a VM that joins a running cluster, in place of the founders.
    contacts: Option<Vec<VmName>>,
    inbox: Vec<Envelope>,
    /// Set when a bit of the disk was flipped, so that the next start may detect corruption.
    pub is_damaged: bool,
}

pub struct Process {
    pub core: Core,
    store: Store<MemoryDisk>,
    writes: VecDeque<Write>,
    write_due_ms: u64,
    tick_due_ms: u64,
    pub replica: Replica,
    schedule: SnapshotSchedule,
}

/// Network faults, delays and sizes that vary between runs.
pub struct Options {
    pub loss: f64,
    pub duplication: f64,
    /// Probability that an additional copy of a message arrives many seconds late.
    pub late_copies: f64,
    pub delay_ms: (u64, u64),
    pub sync_ms: (u64, u64),
    pub snapshot_every: u64,
    pub padding_bytes: usize,
    /// Throughput of each direction of a link.
    pub link_bytes_per_ms: u64,
}

impl Options {
    /// A network that loses nothing, with members near each other.
    pub fn reliable() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            late_copies: 0.0,
            delay_ms: (1, 5),
            sync_ms: (0, 5),
            snapshot_every: 5_000,
            padding_bytes: 0,
            link_bytes_per_ms: 10_000,
        }
    }

    /// The same, with distances and snapshots that vary with the seed.
    pub fn reliable_of(seed: u64) -> Self {
        Self {
            delay_ms: [(1, 5), (30, 30), (10, 40)][seed as usize % 3],
            snapshot_every: [40, 5_000][seed as usize % 2],
            ..Self::reliable()
        }
    }
}

pub struct Sim {
    pub now_ms: u64,
    pub rng: StdRng,
    pub nodes: BTreeMap<VmName, Node>,
    pub blocked: BTreeSet<(VmName, VmName)>,
    /// Further delay of all messages from one VM to another.
    pub late_ms: BTreeMap<(VmName, VmName), u64>,
    /// VMs whose build neither sends nor reads stamps.
    pub unstamped: BTreeSet<VmName>,
    pub options: Options,
    /// Candidacies and leaderships that ended.
    pub reports: Vec<(VmName, Report)>,
    pub oracle: Oracle,
    /// Number of disks lost or corrupted.
    pub lost_disks: usize,
    /// Number of snapshots installed from a leader.
    pub installs: usize,
    founders: Vec<VmName>,
    /// Number of disks that may be lost at once, as the members know it.
    disk_losses: usize,
    in_transit: BTreeMap<(u64, u64), Envelope>,
    /// Bytes that each link has taken, as the time in microseconds until which it is busy with them.
    busy_until_us: BTreeMap<(VmName, VmName), u64>,
    next_number: u64,
}

impl Sim {
    /// As many disks may be lost at once as the founders can bear.
    pub fn new(seed: u64, founders: &[&str], options: Options) -> Self {
        let disk_losses = founders.len().saturating_sub(1) / 2;
        Self::with_disk_losses(seed, founders, disk_losses, options)
    }

    pub fn with_disk_losses(
        seed: u64,
        founders: &[&str],
        disk_losses: usize,
        options: Options,
    ) -> Self {
        let founders: Vec<VmName> = founders.iter().map(|name| VmName::from(*name)).collect();
        let mut sim = Self {
            now_ms: 1_000,
            rng: StdRng::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            blocked: BTreeSet::new(),
            late_ms: BTreeMap::new(),
            unstamped: BTreeSet::new(),
            options,
            reports: Vec::new(),
            oracle: Oracle::default(),
            lost_disks: 0,
            installs: 0,
            founders: founders.clone(),
            disk_losses,
            in_transit: BTreeMap::new(),
            busy_until_us: BTreeMap::new(),
            next_number: 1,
        };
        for vm in founders {
            sim.nodes.insert(vm.clone(), Node::default());
            sim.start(&vm);
        }
        sim
    }

    pub fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub fn names(&self) -> Vec<VmName> {
        self.nodes.keys().cloned().collect()
    }

    /// Starts a process from its disk. With a corrupt disk it gets a new identity.
    pub fn start(&mut self, vm: &VmName) {
        let disk_id = self.number();
        let seed = self.rng.random();
        let node = self.nodes.get_mut(vm).expect("known VM");
        if node.process.is_some() {
            return;
        }
        let opened = match Store::open(node.disk.clone(), disk_id) {
            Err(error) if error.is_corrupt() => {
                assert!(
                    node.is_damaged,
                    "{vm}: a crash left a corrupt disk: {error}"
                );
                self.lost_disks += 1;
                Store::reset(node.disk.clone(), disk_id)
            }
            opened => opened,
        };
        let Ok((store, recovered)) = opened else {
            return self.crash(vm);
        };
        node.is_damaged = false;
        let config = CoreConfig {
            id: VoterId::new(vm.clone(), recovered.meta.disk_id),
            may_bootstrap: node.contacts.is_none(),
            founders: node
                .contacts
                .clone()
                .unwrap_or_else(|| self.founders.clone()),
            disk_losses: self.disk_losses,
            timeouts: Timeouts::default(),
            seed,
        };
        let local_ms = self.now_ms.saturating_add_signed(node.clock_skew_ms);
        node.process = Some(Process {
            core: Core::new(config, recovered, local_ms),
            store,
            writes: VecDeque::new(),
            write_due_ms: 0,
            tick_due_ms: self.now_ms,
            replica: Replica::default(),
            schedule: SnapshotSchedule::new(self.options.snapshot_every, 0),
        });
        self.step(vm, Input::Tick);
    }

    /// Stops a process. A random part of its unsynced bytes survives.
    pub fn crash(&mut self, vm: &VmName) {
        let keep_bytes = match self.rng.random_range(0..3) {
            0 => 0,
            1 => self.rng.random_range(0..2_000),
            _ => usize::MAX / 2,
        };
        let is_extended = self.rng.random();
        let node = self.nodes.get_mut(vm).expect("known VM");
        node.process = None;
        node.inbox.clear();
        node.frozen_until_ms = 0;
        node.disk.crash(keep_bytes, is_extended);
    }

    pub fn lose_disk(&mut self, vm: &VmName) {
        self.lost_disks += 1;
        self.crash(vm);
        self.nodes[vm].disk.wipe();
    }

    /// Adds a VM with an empty disk, whose contacts are the VMs that are there now.
    pub fn add(&mut self, vm: &VmName) {
        let node = Node {
            contacts: Some(self.names()),
            ..Node::default()
        };
        let former = self.nodes.insert(vm.clone(), node);
        assert!(former.is_none(), "{vm} is there already");
        self.start(vm);
    }

    /// Removes a VM for good.
    pub fn remove(&mut self, vm: &VmName) {
        self.nodes.remove(vm);
        self.blocked.retain(|(from, to)| from != vm && to != vm);
    }

    pub fn isolate(&mut self, vm: &VmName) {
        for other in self.names() {
            self.blocked.insert((vm.clone(), other.clone()));
            self.blocked.insert((other, vm.clone()));
        }
    }

    pub fn status(&self, vm: &VmName) -> Option<CoreStatus> {
        let process = self.nodes[vm].process.as_ref();
        process.map(|process| process.core.status())
    }

    /// The leader of the highest term.
    pub fn leader(&self) -> Option<VmName> {
        let leaders = self.nodes.keys().filter_map(|vm| {
            let status = self.status(vm)?;
            status.is_leader.then_some((status.term, vm.clone()))
        });
        leaders.max().map(|(_, vm)| vm)
    }

    pub fn propose(&mut self, vm: &VmName, command: Vec<u8>) -> bool {
        let is_running = self.nodes[vm].process.is_some();
        let is_frozen = self.nodes[vm].frozen_until_ms > self.now_ms;
        is_running && !is_frozen && self.step(vm, Input::Propose(vec![Bytes::from(command)]))
    }

    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.now_ms += 1;
            self.deliver();
            for vm in self.names() {
                self.run_node(&vm);
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.in_transit.split_off(&(self.now_ms + 1, 0));
        for (_, envelope) in std::mem::replace(&mut self.in_transit, later) {
            let link = (envelope.from.vm.clone(), envelope.to.vm.clone());
            if self.blocked.contains(&link) {
                continue;
            }
            if let Some(node) = self.nodes.get_mut(&link.1)
                && node.process.is_some()
            {
                node.inbox.push(envelope);
            }
        }
    }

    fn run_node(&mut self, vm: &VmName) {
        let now_ms = self.now_ms;
        let node = self.nodes.get_mut(vm).expect("known VM");
        if node.frozen_until_ms > now_ms {
            return;
        }
        for envelope in std::mem::take(&mut node.inbox) {
            self.step(vm, Input::Receive(Box::new(envelope)));
        }
        let Some(process) = self
            .nodes
            .get_mut(vm)
            .and_then(|node| node.process.as_mut())
        else {
            return;
        };
        if process.tick_due_ms <= now_ms {
            process.tick_due_ms = now_ms + TICK_MS;
            self.step(vm, Input::Tick);
        }
        self.run_writes(vm);
    }

    fn run_writes(&mut self, vm: &VmName) {
        let now_ms = self.now_ms;
        let node = self.nodes.get_mut(vm).expect("known VM");
        let Some(process) = node.process.as_mut() else {
            return;
        };
        if process.writes.is_empty() || process.write_due_ms > now_ms {
            return;
        }
        let batch: Vec<Write> = process.writes.drain(..).collect();
        let seq = batch.last().map_or(0, |write| write.seq);
        match process.store.write(batch) {
            Ok(()) => {
                self.step(vm, Input::Written(seq));
            }
            Err(_) => self.crash(vm),
        }
    }

    /// Steps a core and performs its outputs. Returns whether proposals were accepted.
    pub fn step(&mut self, vm: &VmName, input: Input) -> bool {
        let node = self.nodes.get_mut(vm).expect("known VM");
        let local_ms = self.now_ms.saturating_add_signed(node.clock_skew_ms);
        let Some(process) = node.process.as_mut() else {
            return false;
        };
        let outputs = process.core.step(local_ms, input);
        let id = process.core.id().clone();
        self.oracle.check_leader(&id, &process.core.status());
        let mut is_accepted = false;
        for output in outputs {
            is_accepted |= matches!(output, Output::Accepted { .. });
            self.perform(vm, output);
        }
        is_accepted
    }

    fn perform(&mut self, vm: &VmName, output: Output) {
        if let Output::Report(report) = output {
            // Draws nothing, so that reports leave the runs of all seeds as they are.
            return self.reports.push((vm.clone(), report));
        }
        let sync_ms = self
            .rng
            .random_range(self.options.sync_ms.0..=self.options.sync_ms.1);
        let node = self.nodes.get_mut(vm).expect("known VM");
        let Some(process) = node.process.as_mut() else {
            return;
        };
        match output {
            Output::Send(envelope) => self.send(envelope),
            Output::Write(write) => {
                if process.writes.is_empty() {
                    process.write_due_ms = self.now_ms + sync_ms;
                }
                process.writes.push_back(write);
            }
            Output::Apply(entries) => self.apply(vm, entries),
            Output::Restore(snapshot) => {
                self.installs += usize::from(process.replica.index > 0);
                process.replica = self.oracle.restore(&snapshot);
                process.schedule.record_snapshot(snapshot.data.len());
            }
            Output::Accepted { .. }
            | Output::Rejected { .. }
            | Output::Retired
            | Output::Report(_) => {}
        }
    }

    fn apply(&mut self, vm: &VmName, entries: Vec<Entry>) {
        let node = self.nodes.get_mut(vm).expect("known VM");
        let process = node.process.as_mut().expect("is running");
        for entry in entries {
            process.schedule.record_entry(entry.size_bytes());
            self.oracle.apply(vm, &mut process.replica, entry);
        }
        if process.schedule.is_due() {
            let index = process.replica.index;
            let data = process.replica.encode(self.options.padding_bytes);
            process.schedule.record_snapshot(data.len());
            self.step(vm, Input::SnapshotTaken { index, data });
        }
    }

    fn send(&mut self, mut envelope: Envelope) {
        let is_unstamped = |id: &VoterId| self.unstamped.contains(&id.vm);
        if is_unstamped(&envelope.from) || is_unstamped(&envelope.to) {
            envelope.stamps = ClockStamps::default();
        }
        if self.rng.random_bool(self.options.loss) {
            return;
        }
        if self.rng.random_bool(self.options.late_copies) {
            let key = (
                self.now_ms + self.rng.random_range(500..20_000),
                self.number(),
            );
            self.in_transit.insert(key, envelope.clone());
        }
        let link = (envelope.from.vm.clone(), envelope.to.vm.clone());
        let late_ms = self.late_ms.get(&link).copied().unwrap_or(0);
        let link_ms = late_ms + self.transmit(&envelope);
        let copies = 1 + usize::from(self.rng.random_bool(self.options.duplication));
        for _ in 0..copies {
            let delay_ms = self
                .rng
                .random_range(self.options.delay_ms.0..=self.options.delay_ms.1);
            let key = (self.now_ms + link_ms + delay_ms, self.number());
            self.in_transit.insert(key, envelope.clone());
        }
    }

    /// Time until the link has taken a message.
    fn transmit(&mut self, envelope: &Envelope) -> u64 {
        let bytes = match &envelope.message {
            Message::Append { entries, .. } => entries.iter().map(Entry::size_bytes).sum(),
            Message::Snapshot { data, .. } => data.len(),
            _ => 0,
        };
        let link = (envelope.from.vm.clone(), envelope.to.vm.clone());
        let now_us = self.now_ms * 1_000;
        let busy_until_us = self.busy_until_us.entry(link).or_default();
        let taken_us = bytes as u64 * 1_000 / self.options.link_bytes_per_ms;
        *busy_until_us = (*busy_until_us).max(now_us) + taken_us;
        (*busy_until_us - now_us) / 1_000
    }

    /// Ends all faults and starts all processes.
    pub fn heal(&mut self) {
        self.blocked.clear();
        self.options.loss = 0.0;
        self.options.duplication = 0.0;
        self.options.late_copies = 0.0;
        for vm in self.names() {
            let node = self.nodes.get_mut(&vm).expect("known VM");
            node.frozen_until_ms = 0;
            node.disk.fail_after(u64::MAX);
            self.start(&vm);
        }
    }

    /// State of each VM, one per line.
    pub fn describe(&self) -> String {
        let lines = self.nodes.iter().map(|(vm, node)| {
            let Some(process) = &node.process else {
                return format!("{vm}: down\n");
            };
            let status = process.core.status();
            let members = &status.configuration;
            let voters: Vec<String> = members.voters.iter().map(VoterId::to_string).collect();
            let learners: Vec<String> = members.learners.iter().map(VoterId::to_string).collect();
            format!(
                "{}: term {} leader {} last {} commit {} applied {} voters {} learners {}\n",
                process.core.id(),
                status.term,
                status.leader.map_or("-".to_owned(), |id| id.to_string()),
                status.last_index,
                status.commit_index,
                process.replica.index,
                voters.join(" "),
                learners.join(" "),
            )
        });
        lines.collect()
    }

    /// Whether the committed membership consists of all VMs with their current disks, so that the
    /// cluster survives the loss of any minority of them.
    pub fn is_repaired(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let live: BTreeSet<VoterId> = self
            .nodes
            .values()
            .filter_map(|node| node.process.as_ref())
            .map(|process| process.core.id().clone())
            .collect();
        let process = self.nodes[&leader].process.as_ref().expect("leads");
        let committed = &process.replica.configuration;
        let latest = process.core.status().configuration;
        *committed == latest
            && committed.learners.is_empty()
            && committed.voters == live
            && live.len() == self.nodes.len()
    }

    /// Whether all VMs have applied every entry that any of them has applied.
    pub fn has_converged(&self) -> bool {
        let replicas = self.nodes.values().map(|node| {
            let process = node.process.as_ref();
            process.map_or(0, |process| process.replica.index)
        });
        replicas.min() == Some(self.oracle.last_index())
    }
}
