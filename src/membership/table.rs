//! The membership table of one VM.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::broadcast::BroadcastRecords;
use super::bucket_hashes::bucket_of;
use super::directory::Change;
use super::directory::Directory;
use super::directory::encoded_len;
use super::entry::Announcement;
use super::entry::Liveness;
use super::entry::ServerPayload;
use super::entry::VmPayload;
use super::entry::VmStatus;
use super::heartbeat_schedule::HeartbeatSchedule;
use super::heartbeat_schedule::ROUND_MS;
use super::heartbeat_schedule::SERVER_BUDGET;
use super::heartbeat_schedule::VM_BUDGET;
use super::message::BroadcastRecord;
use super::message::BucketHashes;
use super::message::Delta;
use super::message::Digest;
use super::message::Entry;
use super::message::GOSSIP_FORMAT;
use super::message::Updates;
use super::snapshot::RecordViews;
use super::snapshot::Snapshot;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::UnixMs;
use crate::types::VmName;

/// Target length of the entries, and of the heartbeats, in one message.
const MESSAGE_BYTES: usize = 1_200;

/// Length that one changed entry adds to the target of a message while many entries have changed,
/// as after a start of the whole fleet.
const BACKLOG_ENTRY_BYTES: usize = 100;

/// Largest target length of such a message.
const BACKLOG_BYTES: usize = 32_000;

/// Target length of the reply to a joining VM.
const JOIN_BYTES: usize = 1_000_000;

/// Most broadcast records in one message.
const MESSAGE_RECORDS: usize = 8;

/// On average one round in this many also contacts an unreachable VM, so that partitions heal.
const UNREACHABLE_RETRY_ROUNDS: u32 = 4;

/// Number of peers of the local data centre that each round contacts.
const LOCAL_PEERS: usize = 2;

/// Settings of a [`Table`].
#[derive(Clone, Debug)]
pub struct TableConfig {
    /// Name of this VM.
    pub vm: VmName,
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// Payload of this VM's entry.
    pub payload: VmPayload,
    /// Seed of the random choice of peers.
    pub seed: u64,
}

/// A VM to contact, from the settings or the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Peer address, `host:port`.
    pub address: String,
}

/// The membership table of one VM.
#[derive(Debug)]
pub struct Table {
    config: TableConfig,
    data_centre: DataCentre,
    status: VmStatus,
    heartbeat: u64,
    last_heartbeat_at: MonoMs,
    next_expiry: MonoMs,
    vms: Directory<VmName, VmPayload>,
    servers: Directory<ServerName, ServerPayload>,
    vm_schedule: HeartbeatSchedule,
    server_schedule: HeartbeatSchedule,
    records: BroadcastRecords,
    record_views: RecordViews,
    contacts: Vec<Contact>,
    next_bucket: u8,
    joined: bool,
    superseded_by: Option<u64>,
    rng: SmallRng,
}

impl Table {
    /// A table that contains only this VM.
    pub fn new(config: TableConfig, now: MonoMs) -> Self {
        let data_centre = config.payload.data_centre.clone();
        let mut table = Self {
            rng: SmallRng::seed_from_u64(config.seed),
            vm_schedule: HeartbeatSchedule::new(data_centre.clone(), 1, 0, VM_BUDGET),
            server_schedule: HeartbeatSchedule::new(data_centre.clone(), 0, 0, SERVER_BUDGET),
            data_centre,
            status: VmStatus::default(),
            heartbeat: 0,
            last_heartbeat_at: now,
            next_expiry: now,
            vms: Directory::new(),
            servers: Directory::new(),
            records: BroadcastRecords::default(),
            record_views: RecordViews::default(),
            contacts: Vec::new(),
            next_bucket: 0,
            joined: false,
            superseded_by: None,
            config,
        };
        table.update_own_entry(now, true);
        table
    }

    /// Sets the VMs to contact in addition to those in the table.
    pub fn set_contacts(&mut self, contacts: Vec<Contact>) {
        self.contacts = contacts;
    }

    /// Changes this VM's own entry. A change of the payload or of the coordinator term is sent at
    /// once, other changes with the next heartbeat.
    pub fn set_self(&mut self, now: MonoMs, payload: VmPayload, status: VmStatus) {
        let changed = payload != self.config.payload
            || status.coordinator_term != self.status.coordinator_term;
        self.config.payload = payload;
        self.status = status;
        if changed {
            self.update_own_entry(now, true);
        }
    }

    /// Incarnation of a later process with this VM's name, if one was seen.
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
            heartbeat: sequence,
            payload,
            status: load,
        };
        let change = self.servers.merge(now, &self.server_schedule, entry, true);
        self.update_schedules(change);
        change
    }

    /// Adds a record. Returns true if it is new.
    pub fn add_record(&mut self, now: UnixMs, record: BroadcastRecord) -> bool {
        self.merge_record(now, record, true)
    }

    /// Renews this VM's heartbeat if it is due and removes expired entries and records. Returns
    /// true if something changed.
    pub fn tick(&mut self, now: MonoMs, unix: UnixMs) -> bool {
        if now < self.next_expiry {
            return self.heartbeat_if_due(now);
        }
        self.next_expiry = now.plus(ROUND_MS);
        let expired_records = self.records.expire(unix);
        if expired_records {
            self.update_record_views();
        }
        let dropped_vms = self.vms.expire(now, &self.vm_schedule);
        let dropped_servers = self.servers.expire(now, &self.server_schedule);
        if dropped_vms || dropped_servers {
            self.update_schedules(Change::Payload);
        }
        let heartbeat = self.heartbeat_if_due(now);
        heartbeat || expired_records || dropped_vms || dropped_servers
    }

    fn heartbeat_if_due(&mut self, now: MonoMs) -> bool {
        let due = now.since(self.last_heartbeat_at)
            >= self.vm_schedule.heartbeat_interval_ms(&self.data_centre);
        if due {
            self.update_own_entry(now, false);
        }
        due
    }

    /// True if there are updates that should not wait for the next round.
    pub fn has_urgent_updates(&self) -> bool {
        self.vms.has_unsent() || self.servers.has_unsent() || self.records.has_unsent()
    }

    /// Chooses the VMs to contact in this round: two of the local data centre and one of another.
    pub fn choose_peers(&mut self, now: MonoMs) -> Vec<Contact> {
        let (live, unreachable) = self.known_contacts(now);
        let is_local = |contact: &&Contact| contact.data_centre == self.data_centre;
        let local: Vec<&Contact> = live.iter().filter(is_local).collect();
        let remote: Vec<&Contact> = live.iter().filter(|c| !is_local(c)).collect();
        let rng = &mut self.rng;
        let local_peers = local.sample(rng, LOCAL_PEERS).copied().cloned();
        let mut chosen: Vec<Contact> = local_peers.collect();
        chosen.extend(remote.choose(rng).map(|contact| (*contact).clone()));
        if chosen.is_empty() || rng.random_ratio(1, UNREACHABLE_RETRY_ROUNDS) {
            chosen.extend(unreachable.choose(rng).cloned());
        }
        chosen
    }

    /// Builds the gossip request to a VM of data centre `to`.
    pub fn digest(&mut self, now: MonoMs, to: &DataCentre) -> Digest {
        let first = self.next_bucket;
        self.next_bucket = BucketHashes::next_first_bucket(first);
        Digest {
            format: GOSSIP_FORMAT,
            from: self.config.vm.clone(),
            data_centre: self.data_centre.clone(),
            joining: !self.joined,
            bucket_hashes: self.bucket_hashes(now, first),
            updates: self.take_updates(now, to),
        }
    }

    /// Builds messages that send `record` to every live VM directly. Gossip takes several rounds,
    /// during which a caller may resend a request that crashes engines to a VM that does not know
    /// the record yet.
    pub fn alerts(&self, now: MonoMs, record: &BroadcastRecord) -> Vec<(Contact, Digest)> {
        let (live, _) = self.known_contacts(now);
        let digest = Digest::alert(
            self.config.vm.clone(),
            self.data_centre.clone(),
            record.clone(),
        );
        let addressed = |contact| (contact, digest.clone());
        live.into_iter().map(addressed).collect()
    }

    /// Merges the updates of a digest and builds the reply. `None` if its format is unknown.
    pub fn answer(&mut self, now: MonoMs, unix: UnixMs, digest: &Digest) -> Option<Delta> {
        if digest.format != GOSSIP_FORMAT {
            return None;
        }
        self.merge_updates(now, unix, &digest.data_centre, &digest.updates, true);
        let bucket_hashes = self.bucket_hashes(now, digest.bucket_hashes.first);
        let to = &digest.data_centre;
        let updates = self.take_updates(now, to);
        let differing = digest.bucket_hashes.differing(&bucket_hashes);
        let wanted = |hash: u32| digest.joining || differing.contains(&bucket_of(hash));
        let mut bytes = if digest.joining {
            JOIN_BYTES
        } else {
            MESSAGE_BYTES.saturating_sub(encoded_len(&updates.vms) + encoded_len(&updates.servers))
        };
        Some(Delta {
            format: GOSSIP_FORMAT,
            data_centre: self.data_centre.clone(),
            bucket_hashes,
            missing: self.select_missing(now, to, &mut bytes, wanted),
            updates,
        })
    }

    /// Merges the updates of a reply.
    pub fn merge_delta(&mut self, now: MonoMs, unix: UnixMs, delta: &Delta) {
        if delta.format == GOSSIP_FORMAT {
            self.joined = true;
            self.merge_updates(now, unix, &delta.data_centre, &delta.updates, true);
            self.merge_updates(now, unix, &delta.data_centre, &delta.missing, false);
        }
    }

    /// A copy of the table for readers.
    pub fn snapshot(&self) -> Snapshot {
        let vms = self.vms.views(&self.vm_schedule);
        let servers = self.servers.views(&self.server_schedule);
        Snapshot::new(vms, servers, &self.record_views)
    }

    fn update_own_entry(&mut self, now: MonoMs, changed: bool) {
        self.heartbeat += 1;
        self.last_heartbeat_at = now;
        let vm = &self.config.vm;
        let incarnation = self.config.incarnation;
        let payload = &self.config.payload;
        let sequence = self.heartbeat;
        let kept = self.vms.version_for(vm, incarnation, sequence, payload);
        let entry = Entry {
            name: vm.clone(),
            incarnation,
            version: if changed { sequence } else { kept },
            heartbeat: self.heartbeat,
            payload: payload.clone(),
            status: self.status,
        };
        self.vms.merge(now, &self.vm_schedule, entry, true);
    }

    /// Recomputes the heartbeat intervals after members were added or removed.
    fn update_schedules(&mut self, change: Change) {
        if change != Change::Payload {
            return;
        }
        let data_centre = &self.data_centre;
        let (local, remote) = self.vms.count_local_and_remote(data_centre);
        self.vm_schedule = HeartbeatSchedule::new(data_centre.clone(), local, remote, VM_BUDGET);
        let (local, remote) = self.servers.count_local_and_remote(data_centre);
        self.server_schedule =
            HeartbeatSchedule::new(data_centre.clone(), local, remote, SERVER_BUDGET);
    }

    fn merge_record(&mut self, now: UnixMs, record: BroadcastRecord, relay: bool) -> bool {
        let new = self.records.add(now, record, relay);
        if new {
            self.update_record_views();
        }
        new
    }

    fn update_record_views(&mut self) {
        self.record_views = RecordViews::of(&self.records);
    }

    /// Live contacts, and contacts that are unreachable or not in the table.
    fn known_contacts(&self, now: MonoMs) -> (Vec<Contact>, Vec<Contact>) {
        let mut live = Vec::new();
        let mut unreachable = Vec::new();
        let views = self.vms.views(&self.vm_schedule);
        for (vm, view) in &views {
            if *vm == self.config.vm {
                continue;
            }
            let contact = Contact {
                vm: vm.clone(),
                data_centre: view.payload.data_centre.clone(),
                address: view.payload.peer_address.clone(),
            };
            if view.liveness(now) == Liveness::Dead {
                unreachable.push(contact);
            } else {
                live.push(contact);
            }
        }
        let unknown = self
            .contacts
            .iter()
            .filter(|contact| contact.vm != self.config.vm && !views.contains_key(&contact.vm));
        unreachable.extend(unknown.cloned());
        (live, unreachable)
    }

    fn take_updates(&mut self, now: MonoMs, to: &DataCentre) -> Updates {
        let (vm_schedule, server_schedule) = (&self.vm_schedule, &self.server_schedule);
        let backlog = self.vms.unsent_count() + self.servers.unsent_count();
        let mut bytes = (backlog * BACKLOG_ENTRY_BYTES).clamp(MESSAGE_BYTES, BACKLOG_BYTES);
        let vms = self.vms.take_changed(now, vm_schedule, to, &mut bytes);
        let servers = self
            .servers
            .take_changed(now, server_schedule, to, &mut bytes);
        let mut bytes = MESSAGE_BYTES;
        Updates {
            vms,
            servers,
            vm_heartbeats: self.vms.take_heartbeats(now, vm_schedule, to, &mut bytes),
            server_heartbeats: self
                .servers
                .take_heartbeats(now, server_schedule, to, &mut bytes),
            records: self.records.take_unsent(MESSAGE_RECORDS),
        }
    }

    fn select_missing(
        &mut self,
        now: MonoMs,
        to: &DataCentre,
        bytes: &mut usize,
        wanted: impl Fn(u32) -> bool,
    ) -> Updates {
        let salt = self.rng.random();
        let (vm_schedule, server_schedule) = (&self.vm_schedule, &self.server_schedule);
        let mut missing = Updates {
            vms: self
                .vms
                .select_entries(now, vm_schedule, to, bytes, salt, &wanted),
            servers: self
                .servers
                .select_entries(now, server_schedule, to, bytes, salt, &wanted),
            ..Updates::default()
        };
        for (hash, record) in self.records.hashed() {
            if *bytes > 0 && wanted(hash) {
                *bytes = bytes.saturating_sub(encoded_len(record));
                missing.records.push(record.clone());
            }
        }
        missing
    }

    fn bucket_hashes(&self, now: MonoMs, first: u8) -> BucketHashes {
        let vms = self.vms.hashes(now, &self.vm_schedule);
        let servers = self.servers.hashes(now, &self.server_schedule);
        let records = self.records.hashed().map(|(hash, _)| (hash, hash));
        BucketHashes::new(first, vms.chain(servers).chain(records))
    }

    fn merge_updates(
        &mut self,
        now: MonoMs,
        unix: UnixMs,
        from: &DataCentre,
        updates: &Updates,
        relay: bool,
    ) {
        let mut change = Change::None;
        for entry in &updates.vms {
            if entry.name == self.config.vm {
                self.record_superseding_process(entry.incarnation);
            } else {
                let merged = self.vms.merge(now, &self.vm_schedule, entry.clone(), relay);
                change = change.max(merged);
            }
        }
        for entry in &updates.servers {
            // Entries relayed by another data centre lack the resident adapters.
            let complete =
                entry.payload.data_centre != self.data_centre || *from == self.data_centre;
            if complete {
                let merged = self
                    .servers
                    .merge(now, &self.server_schedule, entry.clone(), relay);
                change = change.max(merged);
            }
        }
        for heartbeat in &updates.vm_heartbeats {
            self.vms.merge_heartbeat(now, &self.vm_schedule, heartbeat);
        }
        for heartbeat in &updates.server_heartbeats {
            self.servers
                .merge_heartbeat(now, &self.server_schedule, heartbeat);
        }
        for record in &updates.records {
            self.merge_record(unix, record.clone(), relay);
        }
        self.update_schedules(change);
    }

    fn record_superseding_process(&mut self, incarnation: u64) {
        if incarnation > self.config.incarnation {
            self.superseded_by = self.superseded_by.max(Some(incarnation));
        }
    }
}
