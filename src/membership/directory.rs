//! The entries of one kind of member, and which of them still have to be sent.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt::Debug;
use std::sync::Arc;

use serde::Serialize;

use super::entry::Member;
use super::entry::View;
use super::hash::stable_hash;
use super::heartbeat_schedule::HeartbeatSchedule;
use super::message::Entry;
use super::message::Heartbeat;
use crate::types::DataCentre;
use crate::types::MonoMs;

/// Number of times a VM sends a changed entry to random peers. The few VMs that this misses detect
/// the change by comparing bucket hashes.
const ENTRY_SENDS: u32 = 8;

/// Time from the death of an entry to its removal.
const DROP_AFTER_MS: u64 = 60_000;

/// Time for which the last heartbeat of a removed entry is kept, so that the entry is not added
/// again from another VM.
const TOMBSTONE_MS: u64 = 600_000;

/// State of one member.
#[derive(Debug)]
struct MemberState<P: Member> {
    incarnation: u64,
    version: u64,
    heartbeat: u64,
    payload: Arc<P>,
    status: P::Status,
    last_update: MonoMs,
    name_hash: u32,
    hash: u32,
    changed_at: MonoMs,
    entry_sends: u32,
    heartbeat_sends: u32,
    last_relay_start: MonoMs,
    last_remote_send: MonoMs,
}

/// What a merge changed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Change {
    /// Nothing.
    None,
    /// A heartbeat.
    Heartbeat,
    /// A payload, or a member that was unknown.
    Payload,
}

/// The entries of VMs or of backend servers.
#[derive(Debug)]
pub struct Directory<N, P: Member> {
    members: BTreeMap<N, MemberState<P>>,
    names_by_hash: HashMap<u32, Vec<N>>,
    /// Members whose changed entries still have to be sent.
    changed: BTreeSet<N>,
    tombstones: BTreeMap<N, (u64, u64, MonoMs)>,
}

impl<N: Clone + Debug + Ord + Serialize, P: Member> Directory<N, P> {
    /// An empty directory.
    pub fn new() -> Self {
        Self {
            members: BTreeMap::new(),
            names_by_hash: HashMap::new(),
            changed: BTreeSet::new(),
            tombstones: BTreeMap::new(),
        }
    }

    /// Merges an entry. The higher `(incarnation, version)` and `(incarnation, heartbeat)` win. A
    /// change is relayed to other VMs if `relay` is set.
    pub fn merge(
        &mut self,
        now: MonoMs,
        schedule: &HeartbeatSchedule,
        entry: Entry<N, P>,
        relay: bool,
    ) -> Change {
        let received = (entry.incarnation, entry.heartbeat);
        if let Some((incarnation, heartbeat, _)) = self.tombstones.get(&entry.name)
            && received <= (*incarnation, *heartbeat)
        {
            return Change::None;
        }
        let sends = if relay { ENTRY_SENDS } else { 0 };
        let Some(member) = self.members.get_mut(&entry.name) else {
            self.insert(now, entry, sends);
            return Change::Payload;
        };
        let newer_process = entry.incarnation > member.incarnation;
        if entry.incarnation < member.incarnation {
            return Change::None;
        }
        let newer_payload = newer_process || entry.version > member.version;
        let newer_heartbeat = newer_process || entry.heartbeat > member.heartbeat;
        if newer_payload {
            member.incarnation = entry.incarnation;
            member.version = entry.version;
            member.payload = Arc::new(entry.payload);
            member.hash = stable_hash(&(&entry.name, entry.incarnation, entry.version));
            member.changed_at = now;
            member.entry_sends = sends;
            if relay {
                self.changed.insert(entry.name);
            }
        }
        if newer_heartbeat {
            member.heartbeat = entry.heartbeat;
            member.status = entry.status;
            member.record_heartbeat(now, schedule);
        }
        if newer_payload {
            member.last_update = now;
            Change::Payload
        } else if newer_heartbeat {
            Change::Heartbeat
        } else {
            Change::None
        }
    }

    /// Merges a heartbeat of a member whose entry is known.
    pub fn merge_heartbeat(
        &mut self,
        now: MonoMs,
        schedule: &HeartbeatSchedule,
        heartbeat: &Heartbeat<P>,
    ) -> Change {
        let Some([name]) = self
            .names_by_hash
            .get(&heartbeat.name_hash)
            .map(Vec::as_slice)
        else {
            return Change::None;
        };
        let Some(member) = self.members.get_mut(name) else {
            return Change::None;
        };
        let same_process = incarnation_hash(member.incarnation) == heartbeat.incarnation_hash;
        if !same_process || heartbeat.heartbeat <= member.heartbeat {
            return Change::None;
        }
        member.heartbeat = heartbeat.heartbeat;
        member.status = heartbeat.status;
        member.record_heartbeat(now, schedule);
        Change::Heartbeat
    }

    /// Payload version of a local update: the current one if only the heartbeat changed, otherwise
    /// `heartbeat`.
    pub fn version_for(&self, name: &N, incarnation: u64, heartbeat: u64, payload: &P) -> u64 {
        match self.members.get(name) {
            Some(member) if member.incarnation == incarnation && *member.payload == *payload => {
                member.version
            }
            _ => heartbeat,
        }
    }

    /// Removes entries that have been dead for [`DROP_AFTER_MS`]. Returns true if there were any.
    pub fn expire(&mut self, now: MonoMs, schedule: &HeartbeatSchedule) -> bool {
        let is_expired = |member: &MemberState<P>| {
            let elapsed_ms = now.since(member.last_update);
            elapsed_ms >= schedule.dead_after_ms(member.payload.data_centre()) + DROP_AFTER_MS
        };
        let dropped = self.members.iter().filter(|(_, member)| is_expired(member));
        let dropped: Vec<N> = dropped.map(|(name, _)| name.clone()).collect();
        for name in &dropped {
            self.drop_entry(now, name);
        }
        self.tombstones
            .retain(|_, (_, _, at)| now.since(*at) < TOMBSTONE_MS);
        !dropped.is_empty()
    }

    /// Views of all entries for readers.
    pub fn views(&self, schedule: &HeartbeatSchedule) -> BTreeMap<N, View<P>> {
        let members = self.members.iter();
        members
            .map(|(name, member)| (name.clone(), member.view(schedule)))
            .collect()
    }

    /// Numbers of members in data centre `local` and in all other data centres.
    pub fn count_local_and_remote(&self, local: &DataCentre) -> (usize, usize) {
        let members = self.members.values();
        let is_local = |member: &&MemberState<P>| member.payload.data_centre() == local;
        let local_members = members.filter(is_local).count();
        (local_members, self.members.len() - local_members)
    }

    /// Number of changed entries that still have to be sent.
    pub fn unsent_count(&self) -> usize {
        self.changed.len()
    }

    /// True if a changed entry still has to be sent.
    pub fn has_unsent(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Hashes of the name and of the entry of each member that is not dead.
    pub fn hashes(
        &self,
        now: MonoMs,
        schedule: &HeartbeatSchedule,
    ) -> impl Iterator<Item = (u32, u32)> {
        let live = self
            .members
            .values()
            .filter(move |member| member.is_live(now, schedule));
        live.map(|member| (member.name_hash, member.hash))
    }

    /// Takes changed entries that still have to be sent, the least sent first, up to about `bytes`.
    pub fn take_changed(
        &mut self,
        now: MonoMs,
        schedule: &HeartbeatSchedule,
        to: &DataCentre,
        bytes: &mut usize,
    ) -> Vec<Entry<N, P>> {
        let sends = |name: &N| {
            self.members
                .get(name)
                .map_or(0, |member| member.entry_sends)
        };
        let mut names: Vec<N> = self.changed.iter().cloned().collect();
        names.sort_by_key(|name| Reverse(sends(name)));
        let mut taken = Vec::new();
        for name in names {
            if *bytes == 0 {
                break;
            }
            let member = self.members.get_mut(&name);
            let Some(member) =
                member.filter(|member| member.entry_sends > 0 && member.is_live(now, schedule))
            else {
                self.changed.remove(&name);
                continue;
            };
            member.entry_sends -= 1;
            if member.entry_sends == 0 {
                self.changed.remove(&name);
            }
            let entry = member.entry(&name, to);
            *bytes = bytes.saturating_sub(encoded_len(&entry));
            taken.push(entry);
        }
        taken
    }

    /// Selects live entries whose name hash `wanted` accepts, up to about `bytes`. An even `salt`
    /// puts the latest changes first, since they are the most likely to be missing. An odd one
    /// determines a pseudo-random order, so that no entry is left out every time.
    pub fn select_entries(
        &self,
        now: MonoMs,
        schedule: &HeartbeatSchedule,
        to: &DataCentre,
        bytes: &mut usize,
        salt: u32,
        wanted: impl Fn(u32) -> bool,
    ) -> Vec<Entry<N, P>> {
        let members = self.members.iter();
        let mut candidates: Vec<(&N, &MemberState<P>)> = members
            .filter(|(_, member)| wanted(member.name_hash) && member.is_live(now, schedule))
            .collect();
        if salt.is_multiple_of(2) {
            candidates.sort_by_key(|(_, member)| Reverse(member.changed_at));
        } else {
            candidates.sort_by_key(|(_, member)| member.name_hash ^ salt);
        }
        let mut taken = Vec::new();
        for (name, member) in candidates {
            if *bytes == 0 {
                break;
            }
            let entry = member.entry(name, to);
            *bytes = bytes.saturating_sub(encoded_len(&entry));
            taken.push(entry);
        }
        taken
    }

    /// Takes the heartbeats that are due for a VM of data centre `to`, up to about `bytes`.
    pub fn take_heartbeats(
        &mut self,
        now: MonoMs,
        schedule: &HeartbeatSchedule,
        to: &DataCentre,
        bytes: &mut usize,
    ) -> Vec<Heartbeat<P>> {
        let to_remote = *to != schedule.data_centre;
        let names = &self.names_by_hash;
        let is_due = |member: &MemberState<P>| {
            let unambiguous = names.get(&member.name_hash).is_some_and(|n| n.len() == 1);
            let due = if to_remote {
                member.is_due_remote(now, schedule, to)
            } else {
                member.heartbeat_sends > 0
            };
            due && unambiguous && member.is_live(now, schedule)
        };
        let members = self.members.values_mut();
        let mut due: Vec<&mut MemberState<P>> = members.filter(|member| is_due(member)).collect();
        if to_remote {
            due.sort_by_key(|member| member.last_remote_send);
        } else {
            due.sort_by_key(|member| Reverse(member.heartbeat_sends));
        }
        let mut taken = Vec::new();
        for member in due {
            if *bytes == 0 {
                break;
            }
            if to_remote {
                member.last_remote_send = now;
            } else {
                member.heartbeat_sends -= 1;
            }
            let heartbeat = member.as_heartbeat();
            *bytes = bytes.saturating_sub(encoded_len(&heartbeat));
            taken.push(heartbeat);
        }
        taken
    }

    fn insert(&mut self, now: MonoMs, entry: Entry<N, P>, entry_sends: u32) {
        let name_hash = stable_hash(&entry.name);
        let member = MemberState {
            incarnation: entry.incarnation,
            version: entry.version,
            heartbeat: entry.heartbeat,
            payload: Arc::new(entry.payload),
            status: entry.status,
            last_update: now,
            name_hash,
            hash: stable_hash(&(&entry.name, entry.incarnation, entry.version)),
            changed_at: now,
            entry_sends,
            heartbeat_sends: 0,
            last_relay_start: now,
            last_remote_send: now,
        };
        self.names_by_hash
            .entry(name_hash)
            .or_default()
            .push(entry.name.clone());
        self.tombstones.remove(&entry.name);
        if entry_sends > 0 {
            self.changed.insert(entry.name.clone());
        }
        self.members.insert(entry.name, member);
    }

    fn drop_entry(&mut self, now: MonoMs, name: &N) {
        let Some(member) = self.members.remove(name) else {
            return;
        };
        let tombstone = (member.incarnation, member.heartbeat, now);
        self.tombstones.insert(name.clone(), tombstone);
        if let Some(names) = self.names_by_hash.get_mut(&member.name_hash) {
            names.retain(|other| other != name);
        }
    }
}

impl<P: Member> MemberState<P> {
    fn record_heartbeat(&mut self, now: MonoMs, schedule: &HeartbeatSchedule) {
        self.last_update = now;
        let interval_ms = schedule.heartbeat_interval_ms(self.payload.data_centre());
        if now.since(self.last_relay_start) * 5 >= interval_ms * 4 {
            self.last_relay_start = now;
            self.heartbeat_sends = schedule.heartbeat_sends();
        }
    }

    fn is_live(&self, now: MonoMs, schedule: &HeartbeatSchedule) -> bool {
        now.since(self.last_update) < schedule.dead_after_ms(self.payload.data_centre())
    }

    /// True if a heartbeat is due to be sent to another data centre.
    fn is_due_remote(&self, now: MonoMs, schedule: &HeartbeatSchedule, to: &DataCentre) -> bool {
        self.payload.data_centre() != to
            && self.last_update > self.last_remote_send
            && now.since(self.last_remote_send) >= schedule.remote_interval_ms()
    }

    fn entry<N: Clone>(&self, name: &N, to: &DataCentre) -> Entry<N, P> {
        let is_local = self.payload.data_centre() == to;
        Entry {
            name: name.clone(),
            incarnation: self.incarnation,
            version: self.version,
            heartbeat: self.heartbeat,
            payload: if is_local {
                (*self.payload).clone()
            } else {
                self.payload.for_remote()
            },
            status: self.status,
        }
    }

    fn as_heartbeat(&self) -> Heartbeat<P> {
        Heartbeat {
            name_hash: self.name_hash,
            incarnation_hash: incarnation_hash(self.incarnation),
            heartbeat: self.heartbeat,
            status: self.status,
        }
    }

    fn view(&self, schedule: &HeartbeatSchedule) -> View<P> {
        let data_centre = self.payload.data_centre();
        View {
            incarnation: self.incarnation,
            version: self.version,
            heartbeat: self.heartbeat,
            payload: Arc::clone(&self.payload),
            status: self.status,
            last_update: self.last_update,
            suspect_after_ms: schedule.suspect_after_ms(data_centre),
            dead_after_ms: schedule.dead_after_ms(data_centre),
        }
    }
}

fn incarnation_hash(incarnation: u64) -> u8 {
    stable_hash(&incarnation).to_le_bytes()[0]
}

/// Length of the value in the encoding of the peer service, which uses variable-length integers.
pub fn encoded_len<T: Serialize>(value: &T) -> usize {
    use bincode::Options;
    let length = bincode::DefaultOptions::new().serialized_size(value);
    length.map_or(0, |length| usize::try_from(length).unwrap_or(usize::MAX))
}
