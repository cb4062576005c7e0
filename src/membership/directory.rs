//! The entries of one sort of members and what is still to be told about them.

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
use super::message::Beat;
use super::message::Entry;
use super::pace::Pace;
use crate::types::DataCentre;
use crate::types::MonoMs;

/// Times a VM repeats a changed entry to random peers. The few VMs that are missed find the change
/// by comparing hashes.
const ENTRY_SENDS: u32 = 8;

/// Time after an entry's death until it is dropped.
const DROP_AFTER_MS: u64 = 60_000;

/// Time for which a dropped entry's last heartbeat is remembered, so that it is not learnt again.
const TOMBSTONE_MS: u64 = 600_000;

/// One member.
#[derive(Debug)]
struct Slot<P: Member> {
    incarnation: u64,
    version: u64,
    beat: u64,
    payload: Arc<P>,
    status: P::Status,
    heard: MonoMs,
    name_hash: u32,
    hash: u32,
    changed_at: MonoMs,
    entry_sends: u32,
    beat_sends: u32,
    beat_renewed: MonoMs,
    crossed: MonoMs,
}

/// What merging has changed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Change {
    /// Nothing.
    None,
    /// A heartbeat.
    Beat,
    /// A payload, or a member that was not known.
    Payload,
}

/// The entries of VMs or of backend servers.
#[derive(Debug)]
pub struct Directory<N, P: Member> {
    slots: BTreeMap<N, Slot<P>>,
    names: HashMap<u32, Vec<N>>,
    /// Members whose changed entries are still to be sent.
    changed: BTreeSet<N>,
    tombstones: BTreeMap<N, (u64, u64, MonoMs)>,
}

impl<N: Clone + Debug + Ord + Serialize, P: Member> Directory<N, P> {
    /// No entries.
    pub fn new() -> Self {
        Self {
            slots: BTreeMap::new(),
            names: HashMap::new(),
            changed: BTreeSet::new(),
            tombstones: BTreeMap::new(),
        }
    }

    /// Merges an entry; the higher `(incarnation, version)` and `(incarnation, beat)` win. A change
    /// is passed on to other VMs if `relay` is set.
    pub fn merge(&mut self, now: MonoMs, pace: &Pace, entry: Entry<N, P>, relay: bool) -> Change {
        let seen = (entry.incarnation, entry.beat);
        if let Some((incarnation, beat, _)) = self.tombstones.get(&entry.name)
            && seen <= (*incarnation, *beat)
        {
            return Change::None;
        }
        let sends = if relay { ENTRY_SENDS } else { 0 };
        let Some(slot) = self.slots.get_mut(&entry.name) else {
            self.insert(now, entry, sends);
            return Change::Payload;
        };
        let newer_process = entry.incarnation > slot.incarnation;
        if entry.incarnation < slot.incarnation {
            return Change::None;
        }
        let newer_payload = newer_process || entry.version > slot.version;
        let newer_beat = newer_process || entry.beat > slot.beat;
        if newer_payload {
            slot.incarnation = entry.incarnation;
            slot.version = entry.version;
            slot.payload = Arc::new(entry.payload);
            slot.hash = stable_hash(&(&entry.name, entry.incarnation, entry.version));
            slot.changed_at = now;
            slot.entry_sends = sends;
            if relay {
                self.changed.insert(entry.name);
            }
        }
        if newer_beat {
            slot.beat = entry.beat;
            slot.status = entry.status;
            slot.note_beat(now, pace);
        }
        if newer_payload {
            slot.heard = now;
            Change::Payload
        } else if newer_beat {
            Change::Beat
        } else {
            Change::None
        }
    }

    /// Merges a heartbeat of a member whose entry is known.
    pub fn merge_beat(&mut self, now: MonoMs, pace: &Pace, beat: &Beat<P>) -> Change {
        let Some([name]) = self.names.get(&beat.name_hash).map(Vec::as_slice) else {
            return Change::None;
        };
        let Some(slot) = self.slots.get_mut(name) else {
            return Change::None;
        };
        let same_process = incarnation_hash(slot.incarnation) == beat.incarnation_hash;
        if !same_process || beat.beat <= slot.beat {
            return Change::None;
        }
        slot.beat = beat.beat;
        slot.status = beat.status;
        slot.note_beat(now, pace);
        Change::Beat
    }

    /// Version of the payload that a local update must carry: the present one if nothing but the
    /// heartbeat changed, otherwise `beat`.
    pub fn version_for(&self, name: &N, incarnation: u64, beat: u64, payload: &P) -> u64 {
        match self.slots.get(name) {
            Some(slot) if slot.incarnation == incarnation && *slot.payload == *payload => {
                slot.version
            }
            _ => beat,
        }
    }

    /// Drops entries that are long dead.
    pub fn expire(&mut self, now: MonoMs, pace: &Pace) -> bool {
        let gone = |slot: &Slot<P>| {
            let silent_ms = now.since(slot.heard);
            silent_ms >= pace.dead_after_ms(slot.payload.data_centre()) + DROP_AFTER_MS
        };
        let dropped = self.slots.iter().filter(|(_, slot)| gone(slot));
        let dropped: Vec<N> = dropped.map(|(name, _)| name.clone()).collect();
        for name in &dropped {
            self.drop_entry(now, name);
        }
        self.tombstones
            .retain(|_, (_, _, at)| now.since(*at) < TOMBSTONE_MS);
        !dropped.is_empty()
    }

    /// Entries as readers see them.
    pub fn views(&self, pace: &Pace) -> BTreeMap<N, View<P>> {
        let slots = self.slots.iter();
        slots
            .map(|(name, slot)| (name.clone(), slot.view(pace)))
            .collect()
    }

    /// Data centres of all entries.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.slots.values().map(|slot| slot.payload.data_centre())
    }

    /// Number of changed entries that are still to be sent.
    pub fn news_count(&self) -> usize {
        self.changed.len()
    }

    /// True if some changed entry is still to be sent.
    pub fn has_news(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Hashes of the names and of the entries that are not dead.
    pub fn hashes(&self, now: MonoMs, pace: &Pace) -> impl Iterator<Item = (u32, u32)> {
        let live = self
            .slots
            .values()
            .filter(move |slot| slot.lives(now, pace));
        live.map(|slot| (slot.name_hash, slot.hash))
    }

    /// Changed entries that are still to be sent, the least sent first, up to about `bytes`.
    pub fn pick_changed(
        &mut self,
        now: MonoMs,
        pace: &Pace,
        to: &DataCentre,
        bytes: &mut usize,
    ) -> Vec<Entry<N, P>> {
        let sends = |name: &N| self.slots.get(name).map_or(0, |slot| slot.entry_sends);
        let mut names: Vec<N> = self.changed.iter().cloned().collect();
        names.sort_by_key(|name| Reverse(sends(name)));
        let mut picked = Vec::new();
        for name in names {
            if *bytes == 0 {
                break;
            }
            let slot = self.slots.get_mut(&name);
            let Some(slot) = slot.filter(|slot| slot.entry_sends > 0 && slot.lives(now, pace))
            else {
                self.changed.remove(&name);
                continue;
            };
            slot.entry_sends -= 1;
            if slot.entry_sends == 0 {
                self.changed.remove(&name);
            }
            let entry = slot.entry(&name, to);
            *bytes = bytes.saturating_sub(encoded_len(&entry));
            picked.push(entry);
        }
        picked
    }

    /// Live entries of which `wanted` accepts the hash of the name, up to about `bytes`. An even
    /// `salt` puts the latest changes first, since those are the likeliest to be missing; an odd
    /// one decides the order, so that no entry is left out each time.
    pub fn pick_entries(
        &self,
        now: MonoMs,
        pace: &Pace,
        to: &DataCentre,
        bytes: &mut usize,
        salt: u32,
        wanted: impl Fn(u32) -> bool,
    ) -> Vec<Entry<N, P>> {
        let slots = self.slots.iter();
        let mut candidates: Vec<(&N, &Slot<P>)> = slots
            .filter(|(_, slot)| wanted(slot.name_hash) && slot.lives(now, pace))
            .collect();
        if salt.is_multiple_of(2) {
            candidates.sort_by_key(|(_, slot)| Reverse(slot.changed_at));
        } else {
            candidates.sort_by_key(|(_, slot)| slot.name_hash ^ salt);
        }
        let mut picked = Vec::new();
        for (name, slot) in candidates {
            if *bytes == 0 {
                break;
            }
            let entry = slot.entry(name, to);
            *bytes = bytes.saturating_sub(encoded_len(&entry));
            picked.push(entry);
        }
        picked
    }

    /// Heartbeats that are due for a VM of data centre `to`, up to about `bytes`.
    pub fn pick_beats(
        &mut self,
        now: MonoMs,
        pace: &Pace,
        to: &DataCentre,
        bytes: &mut usize,
    ) -> Vec<Beat<P>> {
        let abroad = *to != pace.home;
        let names = &self.names;
        let is_due = |slot: &Slot<P>| {
            let unambiguous = names.get(&slot.name_hash).is_some_and(|n| n.len() == 1);
            let due = if abroad {
                slot.crosses(now, pace, to)
            } else {
                slot.beat_sends > 0
            };
            due && unambiguous && slot.lives(now, pace)
        };
        let slots = self.slots.values_mut();
        let mut due: Vec<&mut Slot<P>> = slots.filter(|slot| is_due(slot)).collect();
        if abroad {
            due.sort_by_key(|slot| slot.crossed);
        } else {
            due.sort_by_key(|slot| Reverse(slot.beat_sends));
        }
        let mut picked = Vec::new();
        for slot in due {
            if *bytes == 0 {
                break;
            }
            if abroad {
                slot.crossed = now;
            } else {
                slot.beat_sends -= 1;
            }
            let beat = slot.as_beat();
            *bytes = bytes.saturating_sub(encoded_len(&beat));
            picked.push(beat);
        }
        picked
    }

    fn insert(&mut self, now: MonoMs, entry: Entry<N, P>, entry_sends: u32) {
        let name_hash = stable_hash(&entry.name);
        let slot = Slot {
            incarnation: entry.incarnation,
            version: entry.version,
            beat: entry.beat,
            payload: Arc::new(entry.payload),
            status: entry.status,
            heard: now,
            name_hash,
            hash: stable_hash(&(&entry.name, entry.incarnation, entry.version)),
            changed_at: now,
            entry_sends,
            beat_sends: 0,
            beat_renewed: now,
            crossed: now,
        };
        self.names
            .entry(name_hash)
            .or_default()
            .push(entry.name.clone());
        self.tombstones.remove(&entry.name);
        if entry_sends > 0 {
            self.changed.insert(entry.name.clone());
        }
        self.slots.insert(entry.name, slot);
    }

    fn drop_entry(&mut self, now: MonoMs, name: &N) {
        let Some(slot) = self.slots.remove(name) else {
            return;
        };
        let tombstone = (slot.incarnation, slot.beat, now);
        self.tombstones.insert(name.clone(), tombstone);
        if let Some(names) = self.names.get_mut(&slot.name_hash) {
            names.retain(|other| other != name);
        }
    }
}

impl<P: Member> Slot<P> {
    fn note_beat(&mut self, now: MonoMs, pace: &Pace) {
        self.heard = now;
        let interval_ms = pace.beat_ms(self.payload.data_centre());
        if now.since(self.beat_renewed) * 5 >= interval_ms * 4 {
            self.beat_renewed = now;
            self.beat_sends = pace.beat_sends();
        }
    }

    fn lives(&self, now: MonoMs, pace: &Pace) -> bool {
        now.since(self.heard) < pace.dead_after_ms(self.payload.data_centre())
    }

    /// True if a heartbeat is due to be sent to another data centre.
    fn crosses(&self, now: MonoMs, pace: &Pace, to: &DataCentre) -> bool {
        let home = self.payload.data_centre();
        home != to && self.heard > self.crossed && now.since(self.crossed) >= pace.crossing_ms()
    }

    fn entry<N: Clone>(&self, name: &N, to: &DataCentre) -> Entry<N, P> {
        let at_home = self.payload.data_centre() == to;
        Entry {
            name: name.clone(),
            incarnation: self.incarnation,
            version: self.version,
            beat: self.beat,
            payload: if at_home {
                (*self.payload).clone()
            } else {
                self.payload.for_remote()
            },
            status: self.status,
        }
    }

    fn as_beat(&self) -> Beat<P> {
        Beat {
            name_hash: self.name_hash,
            incarnation_hash: incarnation_hash(self.incarnation),
            beat: self.beat,
            status: self.status,
        }
    }

    fn view(&self, pace: &Pace) -> View<P> {
        let data_centre = self.payload.data_centre();
        View {
            incarnation: self.incarnation,
            version: self.version,
            beat: self.beat,
            payload: Arc::clone(&self.payload),
            status: self.status,
            heard: self.heard,
            suspect_after_ms: pace.suspect_after_ms(data_centre),
            dead_after_ms: pace.dead_after_ms(data_centre),
        }
    }
}

fn incarnation_hash(incarnation: u64) -> u8 {
    stable_hash(&incarnation).to_le_bytes()[0]
}

/// Length in the encoding with variable-length integers that the peer service uses.
pub fn encoded_len<T: Serialize>(value: &T) -> usize {
    use bincode::Options;
    let length = bincode::DefaultOptions::new().serialized_size(value);
    length.map_or(0, |length| usize::try_from(length).unwrap_or(usize::MAX))
}
