//! The table of backend servers. Heartbeats may be delayed, duplicated and reordered.

use indexmap::IndexMap;

use super::announcement::Announcement;
use super::announcement::ServerState;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Time for which the tombstone of a server is kept, so that a delayed heartbeat does not register the
/// server again.
const TOMBSTONE_MS: u64 = 60_000;

/// A registered backend server.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// Time of the last heartbeat.
    pub last_heard: MonoMs,
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The server is new or restarted, or its announcement differs from the previous one.
    Changed,
    /// The server is alive and its announcement is equivalent to the previous one.
    Unchanged,
    /// The announcement is older than the known state and was ignored.
    Stale,
}

/// What is kept of a server that left, or that was about to leave and fell silent.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    /// Start time of its process.
    started_unix_ms: u64,
    /// Last heartbeat that is ignored from this process; `None` if its process has left, so that all are.
    last_sequence: Option<u64>,
    /// When it was removed.
    at: MonoMs,
}

impl Tombstone {
    fn covers(&self, announcement: &Announcement) -> bool {
        match self.last_sequence {
            Some(last) => {
                let order = (announcement.started_unix_ms, announcement.sequence);
                order <= (self.started_unix_ms, last)
            }
            None => announcement.started_unix_ms <= self.started_unix_ms,
        }
    }
}

/// Backend servers by name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    servers: IndexMap<ServerName, Record>,
    tombstones: IndexMap<ServerName, Tombstone>,
}

impl Table {
    /// Applies an announcement.
    pub fn observe(&mut self, announcement: Announcement, now: MonoMs) -> Change {
        let name = &announcement.server;
        let has_left = self
            .tombstones
            .get(name)
            .is_some_and(|tombstone| tombstone.covers(&announcement));
        if has_left || self.is_displaced(&announcement) {
            return Change::Stale;
        }
        let known = self.servers.get(name);
        let change = known.map_or(Change::Changed, |record| {
            compare(&record.announcement, &announcement)
        });
        if change == Change::Stale {
            return change;
        }
        if change == Change::Changed {
            self.displace(&announcement);
        }
        let record = Record {
            announcement,
            last_heard: now,
        };
        self.servers
            .insert(record.announcement.server.clone(), record);
        change
    }

    /// Updates the time of the last heartbeat of a server.
    pub fn refresh(&mut self, server: &ServerName, now: MonoMs) {
        if let Some(record) = self.servers.get_mut(server) {
            record.last_heard = now;
        }
    }

    /// Removes a server whose process, started at `started_unix_ms`, has left. False if a later
    /// process of the same name is known or nothing changes.
    pub fn leave(&mut self, server: &ServerName, started_unix_ms: u64, now: MonoMs) -> bool {
        self.prune_tombstones(now);
        let is_later_process_known = self
            .servers
            .get(server)
            .is_some_and(|record| record.announcement.started_unix_ms > started_unix_ms);
        if is_later_process_known {
            return false;
        }
        let tombstone = Tombstone {
            started_unix_ms,
            last_sequence: None,
            at: now,
        };
        self.tombstones.insert(server.clone(), tombstone);
        self.servers.shift_remove(server).is_some()
    }

    /// Removes the servers without a heartbeat since `oldest`; returns their names. Late heartbeats of
    /// those that were about to leave do not register them again.
    pub fn expire(&mut self, oldest: MonoMs) -> Vec<ServerName> {
        self.prune_tombstones(oldest);
        let is_silent = |record: &Record| record.last_heard < oldest;
        let silent = self
            .servers
            .extract_if(.., |_, record| is_silent(record))
            .collect::<Vec<_>>();
        for (server, record) in &silent {
            if record.announcement.state == ServerState::Leaving {
                let tombstone = Tombstone {
                    started_unix_ms: record.announcement.started_unix_ms,
                    last_sequence: Some(record.announcement.sequence),
                    at: record.last_heard,
                };
                self.tombstones.insert(server.clone(), tombstone);
            }
        }
        silent.into_iter().map(|(server, _)| server).collect()
    }

    /// The record of `server`.
    pub fn get(&self, server: &str) -> Option<&Record> {
        self.servers.get(server)
    }

    /// All registered servers.
    pub fn servers(&self) -> impl Iterator<Item = &Record> {
        self.servers.values()
    }

    /// Servers that have left, with the start time of their last process.
    pub fn tombstones(&self) -> impl Iterator<Item = (&ServerName, u64)> {
        let tombstones = self.tombstones.iter();
        let left = tombstones.filter(|(_, tombstone)| tombstone.last_sequence.is_none());
        left.map(|(name, tombstone)| (name, tombstone.started_unix_ms))
    }

    fn prune_tombstones(&mut self, now: MonoMs) {
        self.tombstones
            .retain(|_, tombstone| now.since(tombstone.at) < TOMBSTONE_MS);
    }

    /// Whether a later process of another server uses the address of `announcement`.
    fn is_displaced(&self, announcement: &Announcement) -> bool {
        self.servers.values().any(|record| {
            let other = &record.announcement;
            other.address == announcement.address
                && other.server != announcement.server
                && other.started_unix_ms > announcement.started_unix_ms
        })
    }

    /// Removes other servers at the address of `announcement`.
    fn displace(&mut self, announcement: &Announcement) {
        self.servers.retain(|_, record| {
            let other = &record.announcement;
            other.address != announcement.address || other.server == announcement.server
        });
    }
}

fn compare(known: &Announcement, new: &Announcement) -> Change {
    let order = |a: &Announcement| (a.started_unix_ms, a.sequence);
    let leaves_for_good = known.state == ServerState::Leaving
        && new.state == ServerState::Ready
        && known.started_unix_ms == new.started_unix_ms;
    if order(new) < order(known) || leaves_for_good && new.sequence <= known.sequence {
        Change::Stale
    } else if known.is_equivalent(new) {
        Change::Unchanged
    } else {
        Change::Changed
    }
}
