//! Simulation of gossiping VMs in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use bincode::Options;
use medlarlift::membership::Announcement;
use medlarlift::membership::Contact;
use medlarlift::membership::Delta;
use medlarlift::membership::Digest;
use medlarlift::membership::ROUND_MS;
use medlarlift::membership::ServerKind;
use medlarlift::membership::ServerLoad;
use medlarlift::membership::ServerPayload;
use medlarlift::membership::Table;
use medlarlift::membership::TableConfig;
use medlarlift::membership::VmPayload;
use medlarlift::membership::VmStatus;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::UnixMs;
use medlarlift::types::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

const TICK_MS: u64 = 50;

enum Message {
    Digest(usize, Digest),
    Delta(Delta),
}

pub struct Node {
    pub table: Table,
    pub alive: bool,
    pub isolated: bool,
    next_round: u64,
    incarnation: u64,
}

pub struct Server {
    pub announcement: Announcement,
    pub alive: bool,
    vm: usize,
}

pub struct Gossip {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    pub lost_percent: u32,
    centres: usize,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    messages: BTreeMap<u64, Message>,
    next_id: u64,
}

pub fn vm_name(index: usize) -> VmName {
    VmName::new(format!("vm-{index:03}"))
}

pub fn centre(index: usize) -> DataCentre {
    DataCentre::new(format!("dc-{index}"))
}

pub fn payload(index: usize, centres: usize) -> VmPayload {
    VmPayload {
        data_centre: centre(index % centres),
        peer_address: format!("10.0.{index}.1:7400"),
        caller_address: format!("10.0.{index}.1:7401"),
        admin_address: format!("10.0.{index}.1:7402"),
        ready: true,
        draining: false,
    }
}

fn contacts(count: usize, centres: usize) -> Vec<Contact> {
    let contact = |index| Contact {
        vm: vm_name(index),
        data_centre: centre(index % centres),
        address: format!("10.0.{index}.1:7400"),
    };
    (0..count).map(contact).collect()
}

fn table(index: usize, count: usize, centres: usize, incarnation: u64, now: u64) -> Table {
    let config = TableConfig {
        vm: vm_name(index),
        incarnation,
        payload: payload(index, centres),
        seed: index as u64 ^ incarnation << 20,
    };
    let mut table = Table::new(config, MonoMs(now));
    table.set_contacts(contacts(count.min(9), centres));
    table
}

fn server(index: usize, centres: usize, vms: usize) -> Server {
    let payload = ServerPayload {
        address: format!("10.1.{index}.1:8000"),
        data_centre: centre(index % centres),
        kind: ServerKind::Engine,
        services: Vec::new(),
        base_model: Some("frames-8b".into()),
        adapter_slots: 16,
        batch_positions: 32,
        resident_adapters: (0..16)
            .map(|i| medlarlift::types::AdapterRef::new("frames-8b", format!("a-{index}-{i}"), 1))
            .collect(),
        checks_fence: true,
        leaving: false,
    };
    let announcement = Announcement {
        name: ServerName::new(format!("engine-{index:03}")),
        incarnation: 1,
        sequence: 0,
        payload,
        load: ServerLoad::default(),
    };
    let rows = (vms / centres).max(1);
    Server {
        announcement,
        alive: true,
        vm: index % centres + (index / centres % rows) * centres,
    }
}

impl Gossip {
    pub fn new(seed: u64, vms: usize, servers: usize, centres: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = (0..vms).map(|index| Node {
            table: table(index, vms, centres, 1, 0),
            alive: true,
            isolated: false,
            next_round: rng.random_range(0..ROUND_MS),
            incarnation: 1,
        });
        Self {
            now: 0,
            nodes: nodes.collect(),
            servers: (0..servers).map(|i| server(i, centres, vms)).collect(),
            sent_bytes: 0,
            sent_messages: 0,
            lost_percent: 0,
            centres,
            rng,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            next_id: 0,
        }
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` returns true. Returns the elapsed time in milliseconds.
    pub fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(self.now - start < limit_ms, "not done after {limit_ms} ms");
            self.step();
        }
        self.now - start
    }

    pub fn unix(&self) -> UnixMs {
        UnixMs(1_800_000_000_000 + self.now)
    }

    pub fn restart(&mut self, index: usize) {
        let vms = self.nodes.len();
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.alive = true;
        node.table = table(index, vms, self.centres, node.incarnation, self.now);
    }

    fn step(&mut self) {
        self.now += 1;
        while let Some(Reverse((at, id, to))) = self.queue.peek().copied()
            && at <= self.now
        {
            self.queue.pop();
            let message = self.messages.remove(&id).expect("posted once");
            if self.nodes[to].alive && !self.nodes[to].isolated {
                self.deliver(to, message);
            }
        }
        if self.now.is_multiple_of(TICK_MS) {
            (0..self.nodes.len()).for_each(|index| self.tick(index));
        }
        if self.now.is_multiple_of(ROUND_MS) {
            self.announce();
        }
    }

    fn announce(&mut self) {
        let now = MonoMs(self.now);
        for server in self.servers.iter_mut().filter(|server| server.alive) {
            server.announcement.sequence += 1;
            server.announcement.load = ServerLoad {
                running: self.rng.random_range(0..32),
                queued: self.rng.random_range(0..100),
                free_kv_tokens: self.rng.random_range(0..500_000),
                highest_fence: 1_800_000_000_000,
            };
            let node = &mut self.nodes[server.vm];
            if node.alive {
                node.table.announce(now, server.announcement.clone());
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let (now, unix) = (MonoMs(self.now), self.unix());
        let centres = self.centres;
        let node = &mut self.nodes[index];
        if !node.alive {
            return;
        }
        let status = VmStatus {
            applied_index: 100_000 + self.now / 100,
            ..VmStatus::default()
        };
        node.table.tick(now, unix);
        if self.now < TICK_MS * 2 {
            node.table.set_self(now, payload(index, centres), status);
        }
        if !node.table.has_urgent_updates() && self.now < node.next_round {
            return;
        }
        node.next_round = self.now + ROUND_MS;
        for contact in node.table.choose_peers(now) {
            let digest = self.nodes[index].table.digest(now, &contact.data_centre);
            let number = contact.vm.as_str().trim_start_matches("vm-");
            let to = number.parse().expect("a VM of this fleet");
            self.post(index, to, Message::Digest(index, digest));
        }
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let (now, unix) = (MonoMs(self.now), self.unix());
        match message {
            Message::Digest(from, digest) => {
                let delta = self.nodes[to].table.answer(now, unix, &digest);
                let delta = delta.expect("same format");
                self.post(to, from, Message::Delta(delta));
            }
            Message::Delta(delta) => self.nodes[to].table.merge_delta(now, unix, &delta),
        }
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        self.sent_messages += 1;
        self.sent_bytes += match &message {
            Message::Digest(_, digest) => encoded_len(digest),
            Message::Delta(delta) => encoded_len(delta),
        };
        let lost = self.rng.random_range(0..100) < self.lost_percent;
        if self.nodes[from].isolated || lost {
            return;
        }
        let same_data_centre = from % self.centres == to % self.centres;
        let delay = self
            .rng
            .random_range(if same_data_centre { 1..3 } else { 15..18 });
        self.next_id += 1;
        self.messages.insert(self.next_id, message);
        self.queue
            .push(Reverse((self.now + delay, self.next_id, to)));
    }
}

fn encoded_len<T: Serialize>(value: &T) -> u64 {
    let options = bincode::DefaultOptions::new();
    options.serialized_size(value).expect("encodable")
}
