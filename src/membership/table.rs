//! The membership table of one VM.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::directory::Change;
use super::directory::Directory;
use super::directory::encoded_len;
use super::entry::Announcement;
use super::entry::Liveness;
use super::entry::ServerPayload;
use super::entry::View;
use super::entry::VmPayload;
use super::entry::VmStatus;
use super::facts::Facts;
use super::marks::part_of;
use super::message::Delta;
use super::message::Digest;
use super::message::Entry;
use super::message::Fact;
use super::message::GOSSIP_FORMAT;
use super::message::Marks;
use super::message::News;
use super::pace::Budget;
use super::pace::Pace;
use super::pace::ROUND_MS;
use super::quarantine::Quarantine;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::UnixMs;
use crate::types::VmName;

/// Aim for the length of the entries, and of the heartbeats, in one message.
const MESSAGE_BYTES: usize = 1_200;

/// Aim for the length of one changed entry's share of a message while many have changed, as after a
/// start of the whole fleet, and largest aim for such a message.
const BACKLOG_ENTRY_BYTES: usize = 100;
const BACKLOG_BYTES: usize = 32_000;

/// Aim for the length of the reply to a VM that joins.
const JOIN_BYTES: usize = 1_000_000;

/// Facts in one message.
const MESSAGE_FACTS: usize = 8;

/// One round in this many also tries a VM that is silent, so that partitions heal.
const SILENT_ROUNDS: u32 = 4;

/// Peers of the own data centre that each round contacts.
const HOME_PEERS: usize = 2;

/// Budget for heartbeats of VMs. They carry coordinators and decide on failover, so they get more
/// per member than backend servers.
const VM_BUDGET: Budget = Budget {
    home_bytes_per_s: 2_000,
    abroad_bytes_per_s: 700,
};

/// Budget for load reports of backend servers.
const SERVER_BUDGET: Budget = Budget {
    home_bytes_per_s: 2_500,
    abroad_bytes_per_s: 800,
};

/// Settings of a [`Table`].
#[derive(Clone, Debug)]
pub struct TableConfig {
    /// This VM.
    pub me: VmName,
    /// Rises with each start of its process.
    pub incarnation: u64,
    /// Its own entry.
    pub payload: VmPayload,
    /// Seed for the choice of peers.
    pub seed: u64,
}

/// A VM to contact, from the settings or the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Name.
    pub vm: VmName,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Peer address, `host:port`.
    pub address: String,
}

/// What readers see of the table. Liveness is judged at use, by [`View::liveness`].
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// VMs, this one included.
    pub vms: BTreeMap<VmName, View<VmPayload>>,
    /// Backend servers.
    pub servers: BTreeMap<ServerName, View<ServerPayload>>,
    /// Crash reports and lifts.
    pub quarantine: Arc<Quarantine>,
    /// SHA-256 hashes of keys withdrawn outside the replicated log.
    pub withdrawn: Arc<BTreeSet<[u8; 32]>>,
}

/// The membership table of one VM.
#[derive(Debug)]
pub struct Table {
    config: TableConfig,
    home: DataCentre,
    status: VmStatus,
    beat: u64,
    beat_at: MonoMs,
    next_expiry: MonoMs,
    vms: Directory<VmName, VmPayload>,
    servers: Directory<ServerName, ServerPayload>,
    vm_pace: Pace,
    server_pace: Pace,
    facts: Facts,
    fact_views: (Arc<Quarantine>, Arc<BTreeSet<[u8; 32]>>),
    contacts: Vec<Contact>,
    next_part: u8,
    joined: bool,
    superseded_by: Option<u64>,
    rng: SmallRng,
}

impl Table {
    /// A table that holds only this VM.
    pub fn new(config: TableConfig, now: MonoMs) -> Self {
        let home = config.payload.data_centre.clone();
        let mut table = Self {
            rng: SmallRng::seed_from_u64(config.seed),
            vm_pace: Pace::new(home.clone(), 1, 0, VM_BUDGET),
            server_pace: Pace::new(home.clone(), 0, 0, SERVER_BUDGET),
            home,
            status: VmStatus::default(),
            beat: 0,
            beat_at: now,
            next_expiry: now,
            vms: Directory::new(),
            servers: Directory::new(),
            facts: Facts::default(),
            fact_views: Default::default(),
            contacts: Vec::new(),
            next_part: 0,
            joined: false,
            superseded_by: None,
            config,
        };
        table.renew_self(now, true);
        table
    }

    /// Sets the VMs to contact apart from those in the table.
    pub fn set_contacts(&mut self, contacts: Vec<Contact>) {
        self.contacts = contacts;
    }

    /// Changes this VM's own entry. A change of the payload or of the coordinator's term spreads at
    /// once, other changes with the next heartbeat.
    pub fn set_self(&mut self, now: MonoMs, payload: VmPayload, status: VmStatus) {
        let changed = payload != self.config.payload
            || status.coordinator_term != self.status.coordinator_term;
        self.config.payload = payload;
        self.status = status;
        if changed {
            self.renew_self(now, true);
        }
    }

    /// Incarnation of another process of this VM's name that shadows this one, if there is one.
    pub fn superseded_by(&self) -> Option<u64> {
        self.superseded_by
    }

    /// Records a backend server's announcement.
    pub fn announce(&mut self, now: MonoMs, announcement: Announcement) -> Change {
        let Announcement {
            name,
            incarnation,
            sequence,
            payload,
            load,
        } = announcement;
        let version = self
            .servers
            .version_for(&name, incarnation, sequence, &payload);
        let entry = Entry {
            name,
            incarnation,
            version,
            beat: sequence,
            payload,
            status: load,
        };
        let change = self.servers.merge(now, &self.server_pace, entry, true);
        self.set_pace(change);
        change
    }

    /// Adds a fact. Returns true if it is new.
    pub fn add_fact(&mut self, now: UnixMs, fact: Fact) -> bool {
        self.merge_fact(now, fact, true)
    }

    /// Sends the own heartbeat if it is due and drops what has expired. Returns true if something
    /// changed.
    pub fn tick(&mut self, now: MonoMs, unix: UnixMs) -> bool {
        if now < self.next_expiry {
            return self.beat_if_due(now);
        }
        self.next_expiry = now.plus(ROUND_MS);
        let expired_facts = self.facts.expire(unix);
        if expired_facts {
            self.renew_fact_views();
        }
        let dropped_vms = self.vms.expire(now, &self.vm_pace);
        let dropped_servers = self.servers.expire(now, &self.server_pace);
        if dropped_vms || dropped_servers {
            self.set_pace(Change::Payload);
        }
        let beat = self.beat_if_due(now);
        beat || expired_facts || dropped_vms || dropped_servers
    }

    fn beat_if_due(&mut self, now: MonoMs) -> bool {
        let due = now.since(self.beat_at) >= self.vm_pace.beat_ms(&self.home);
        if due {
            self.renew_self(now, false);
        }
        due
    }

    /// True if there is news that should not wait for the next round.
    pub fn has_urgent_news(&self) -> bool {
        self.vms.has_news() || self.servers.has_news() || self.facts.has_news()
    }

    /// VMs to contact in this round: two of the own data centre and one of another.
    pub fn choose_peers(&mut self, now: MonoMs) -> Vec<Contact> {
        let (live, silent) = self.known_contacts(now);
        let at_home = |contact: &&Contact| contact.data_centre == self.home;
        let home: Vec<&Contact> = live.iter().filter(at_home).collect();
        let abroad: Vec<&Contact> = live.iter().filter(|c| !at_home(c)).collect();
        let rng = &mut self.rng;
        let near = home.sample(rng, HOME_PEERS).copied().cloned();
        let mut chosen: Vec<Contact> = near.collect();
        chosen.extend(abroad.choose(rng).map(|contact| (*contact).clone()));
        if chosen.is_empty() || rng.random_ratio(1, SILENT_ROUNDS) {
            chosen.extend(silent.choose(rng).cloned());
        }
        chosen
    }

    /// The message to a VM of data centre `to`.
    pub fn digest(&mut self, now: MonoMs, to: &DataCentre) -> Digest {
        let first = self.next_part;
        self.next_part = Marks::next_first(first);
        Digest {
            format: GOSSIP_FORMAT,
            from: self.config.me.clone(),
            data_centre: self.home.clone(),
            joining: !self.joined,
            marks: self.marks(now, first),
            news: self.pick_news(now, to),
        }
    }

    /// Messages that bring `fact` to every live VM at once. Gossip takes several rounds, in which a
    /// caller may resend a request that crashes engines to a VM that does not know of it yet.
    pub fn alerts(&self, now: MonoMs, fact: &Fact) -> Vec<(Contact, Digest)> {
        let (live, _) = self.known_contacts(now);
        let digest = Digest::alert(self.config.me.clone(), self.home.clone(), fact.clone());
        let addressed = |contact| (contact, digest.clone());
        live.into_iter().map(addressed).collect()
    }

    /// Takes the news of a digest and answers it.
    pub fn answer(&mut self, now: MonoMs, unix: UnixMs, digest: &Digest) -> Option<Delta> {
        if digest.format != GOSSIP_FORMAT {
            return None;
        }
        self.absorb(now, unix, &digest.data_centre, &digest.news, true);
        let marks = self.marks(now, digest.marks.first);
        let to = &digest.data_centre;
        let news = self.pick_news(now, to);
        let differing = digest.marks.differing(&marks);
        let wanted = |hash: u32| digest.joining || differing.contains(&part_of(hash));
        let mut bytes = if digest.joining {
            JOIN_BYTES
        } else {
            MESSAGE_BYTES.saturating_sub(encoded_len(&news.vms) + encoded_len(&news.servers))
        };
        Some(Delta {
            format: GOSSIP_FORMAT,
            data_centre: self.home.clone(),
            marks,
            missing: self.pick_missing(now, to, &mut bytes, wanted),
            news,
        })
    }

    /// Takes the news of a reply.
    pub fn merge_delta(&mut self, now: MonoMs, unix: UnixMs, delta: &Delta) {
        if delta.format == GOSSIP_FORMAT {
            self.joined = true;
            self.absorb(now, unix, &delta.data_centre, &delta.news, true);
            self.absorb(now, unix, &delta.data_centre, &delta.missing, false);
        }
    }

    /// What readers see.
    pub fn snapshot(&self) -> Snapshot {
        let (quarantine, withdrawn) = &self.fact_views;
        Snapshot {
            vms: self.vms.views(&self.vm_pace),
            servers: self.servers.views(&self.server_pace),
            quarantine: Arc::clone(quarantine),
            withdrawn: Arc::clone(withdrawn),
        }
    }

    fn renew_self(&mut self, now: MonoMs, changed: bool) {
        self.beat += 1;
        self.beat_at = now;
        let me = &self.config.me;
        let incarnation = self.config.incarnation;
        let payload = &self.config.payload;
        let kept = self.vms.version_for(me, incarnation, self.beat, payload);
        let entry = Entry {
            name: me.clone(),
            incarnation,
            version: if changed { self.beat } else { kept },
            beat: self.beat,
            payload: payload.clone(),
            status: self.status,
        };
        self.vms.merge(now, &self.vm_pace, entry, true);
    }

    /// Recomputes the heartbeat intervals after members came or went.
    fn set_pace(&mut self, change: Change) {
        if change != Change::Payload {
            return;
        }
        let home = &self.home;
        let count = |dcs: &mut dyn Iterator<Item = &DataCentre>| {
            dcs.fold((0, 0), |(near, far), dc| {
                if dc == home {
                    (near + 1, far)
                } else {
                    (near, far + 1)
                }
            })
        };
        let (near, far) = count(&mut self.vms.data_centres());
        self.vm_pace = Pace::new(home.clone(), near, far, VM_BUDGET);
        let (near, far) = count(&mut self.servers.data_centres());
        self.server_pace = Pace::new(home.clone(), near, far, SERVER_BUDGET);
    }

    fn merge_fact(&mut self, now: UnixMs, fact: Fact, relay: bool) -> bool {
        let new = self.facts.add(now, fact, relay);
        if new {
            self.renew_fact_views();
        }
        new
    }

    fn renew_fact_views(&mut self) {
        let quarantine = Arc::new(self.facts.quarantine());
        let withdrawn = Arc::new(self.facts.withdrawn());
        self.fact_views = (quarantine, withdrawn);
    }

    /// Contacts that are alive, and those that are silent or not in the table.
    fn known_contacts(&self, now: MonoMs) -> (Vec<Contact>, Vec<Contact>) {
        let mut live = Vec::new();
        let mut silent = Vec::new();
        let views = self.vms.views(&self.vm_pace);
        for (vm, view) in &views {
            if *vm == self.config.me {
                continue;
            }
            let contact = Contact {
                vm: vm.clone(),
                data_centre: view.payload.data_centre.clone(),
                address: view.payload.peer_address.clone(),
            };
            if view.liveness(now) == Liveness::Dead {
                silent.push(contact);
            } else {
                live.push(contact);
            }
        }
        let unknown = self
            .contacts
            .iter()
            .filter(|contact| contact.vm != self.config.me && !views.contains_key(&contact.vm));
        silent.extend(unknown.cloned());
        (live, silent)
    }

    fn pick_news(&mut self, now: MonoMs, to: &DataCentre) -> News {
        let (vm_pace, server_pace) = (&self.vm_pace, &self.server_pace);
        let backlog = self.vms.news_count() + self.servers.news_count();
        let mut bytes = (backlog * BACKLOG_ENTRY_BYTES).clamp(MESSAGE_BYTES, BACKLOG_BYTES);
        let vms = self.vms.pick_changed(now, vm_pace, to, &mut bytes);
        let servers = self.servers.pick_changed(now, server_pace, to, &mut bytes);
        let mut bytes = MESSAGE_BYTES;
        News {
            vms,
            servers,
            vm_beats: self.vms.pick_beats(now, vm_pace, to, &mut bytes),
            server_beats: self.servers.pick_beats(now, server_pace, to, &mut bytes),
            facts: self.facts.pick_news(MESSAGE_FACTS),
        }
    }

    fn pick_missing(
        &mut self,
        now: MonoMs,
        to: &DataCentre,
        bytes: &mut usize,
        wanted: impl Fn(u32) -> bool,
    ) -> News {
        let salt = self.rng.random();
        let (vm_pace, server_pace) = (&self.vm_pace, &self.server_pace);
        let mut missing = News {
            vms: self
                .vms
                .pick_entries(now, vm_pace, to, bytes, salt, &wanted),
            servers: self
                .servers
                .pick_entries(now, server_pace, to, bytes, salt, &wanted),
            ..News::default()
        };
        for (hash, fact) in self.facts.hashed() {
            if *bytes > 0 && wanted(hash) {
                *bytes = bytes.saturating_sub(encoded_len(fact));
                missing.facts.push(fact.clone());
            }
        }
        missing
    }

    fn marks(&self, now: MonoMs, first: u8) -> Marks {
        let vms = self.vms.hashes(now, &self.vm_pace);
        let servers = self.servers.hashes(now, &self.server_pace);
        let facts = self.facts.hashed().map(|(hash, _)| (hash, hash));
        Marks::new(first, vms.chain(servers).chain(facts))
    }

    fn absorb(&mut self, now: MonoMs, unix: UnixMs, from: &DataCentre, news: &News, relay: bool) {
        let mut change = Change::None;
        for entry in &news.vms {
            if entry.name == self.config.me {
                self.note_shadow(entry.incarnation);
            } else {
                let merged = self.vms.merge(now, &self.vm_pace, entry.clone(), relay);
                change = change.max(merged);
            }
        }
        for entry in &news.servers {
            // Entries that went through another data centre lack the resident adapters.
            let complete = entry.payload.data_centre != self.home || *from == self.home;
            if complete {
                let merged = self
                    .servers
                    .merge(now, &self.server_pace, entry.clone(), relay);
                change = change.max(merged);
            }
        }
        for beat in &news.vm_beats {
            self.vms.merge_beat(now, &self.vm_pace, beat);
        }
        for beat in &news.server_beats {
            self.servers.merge_beat(now, &self.server_pace, beat);
        }
        for fact in &news.facts {
            self.merge_fact(unix, fact.clone(), relay);
        }
        self.set_pace(change);
    }

    fn note_shadow(&mut self, incarnation: u64) {
        if incarnation > self.config.incarnation {
            self.superseded_by = self.superseded_by.max(Some(incarnation));
        }
    }
}
