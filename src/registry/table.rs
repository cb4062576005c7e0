//! The table of backend servers. Heartbeats may arrive late, twice and out of order.

use indexmap::IndexMap;

use super::announcement::Announcement;
use super::announcement::ServerState;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Time for which a server that has left is remembered, so that a delayed heartbeat does not bring
/// it back.
const TOMBSTONE_MS: u64 = 60_000;

/// One backend server.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// When it was last heard of.
    pub last_heard: MonoMs,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The server is new, restarted, or says something else than before.
    Changed,
    /// The server lives and says the same.
    Unchanged,
    /// The announcement is older than what is known.
    Stale,
}

/// Backend servers by name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    servers: IndexMap<ServerName, Record>,
    /// Start time of the process that left, and when that was heard.
    tombstones: IndexMap<ServerName, (u64, MonoMs)>,
}

impl Table {
    /// Takes an announcement.
    pub fn observe(&mut self, announcement: Announcement, now: MonoMs) -> Change {
        let name = &announcement.server;
        let has_left = self
            .tombstones
            .get(name)
            .is_some_and(|(started, _)| announcement.started_unix_ms <= *started);
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

    /// Notes that a server was heard of again.
    pub fn refresh(&mut self, server: &ServerName, now: MonoMs) {
        if let Some(record) = self.servers.get_mut(server) {
            record.last_heard = now;
        }
    }

    /// Removes a server whose process, started at `started_unix_ms`, has left. False if a later
    /// process of the same name is known or nothing changes.
    pub fn leave(&mut self, server: &ServerName, started_unix_ms: u64, now: MonoMs) -> bool {
        self.tombstones
            .retain(|_, (_, at)| now.since(*at) < TOMBSTONE_MS);
        let is_later_process_known = self
            .servers
            .get(server)
            .is_some_and(|record| record.announcement.started_unix_ms > started_unix_ms);
        if is_later_process_known {
            return false;
        }
        self.tombstones
            .insert(server.clone(), (started_unix_ms, now));
        self.servers.shift_remove(server).is_some()
    }

    /// Removes the servers that were not heard of since `oldest`; returns their names.
    pub fn expire(&mut self, oldest: MonoMs) -> Vec<ServerName> {
        let silent: Vec<ServerName> = self
            .servers
            .values()
            .filter(|record| record.last_heard < oldest)
            .map(|record| record.announcement.server.clone())
            .collect();
        for name in &silent {
            self.servers.shift_remove(name);
        }
        silent
    }

    /// One server.
    pub fn get(&self, server: &str) -> Option<&Record> {
        self.servers.get(server)
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Record> {
        self.servers.values()
    }

    /// Servers that have left, with the start time of their last process.
    pub fn tombstones(&self) -> impl Iterator<Item = (&ServerName, u64)> {
        self.tombstones
            .iter()
            .map(|(name, (started, _))| (name, *started))
    }

    /// Whether a later process of another server has the address.
    fn is_displaced(&self, announcement: &Announcement) -> bool {
        self.servers.values().any(|record| {
            let other = &record.announcement;
            other.address == announcement.address
                && other.server != announcement.server
                && other.started_unix_ms > announcement.started_unix_ms
        })
    }

    /// Drops earlier servers at the address of `announcement`.
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
