//! Which streams began at which software version, as known to a controller, and the list of versions
//! in the replicated log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use super::control_core::Core;
use crate::control::FleetCommand;
use crate::link::Frame;
use crate::link::Session;
use crate::scheduling::stream_origins::STREAM_MEMORY_MS;
use crate::scheduling::stream_origins::SoftwareVersions;
use crate::scheduling::stream_origins::StreamBegin;
use crate::scheduling::stream_origins::StreamOrigin;
use crate::scheduling::stream_origins::StreamOrigins;
use crate::types::MonoMs;
use crate::types::StreamKey;

/// Most streams that a controller remembers.
const MAX_STREAMS: usize = 200_000;

/// Streams that entry VMs reported.
#[derive(Debug)]
pub(super) struct StreamReports {
    origins: Mutex<StreamOrigins>,
}

impl Default for StreamReports {
    fn default() -> Self {
        Self {
            origins: Mutex::new(StreamOrigins::new(MAX_STREAMS)),
        }
    }
}

impl StreamReports {
    fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Core {
    /// Remembers streams that began.
    pub(super) fn on_streams_begun(&self, begun: &[StreamBegin]) {
        let now = self.now();
        let mut origins = self.streams.origins();
        for begin in begun {
            origins.record(begin, now);
        }
    }

    /// Answers the question who began a stream.
    pub(super) fn on_find_stream(&self, session: &Session, number: u64, stream: StreamKey) {
        let origin = self.streams.origins().get(stream).cloned();
        session.send(&Frame::StreamFound(number, origin));
    }

    /// Software versions whose streams may be resumed, as of the replicated log.
    pub(super) fn software_versions(&self) -> SoftwareVersions {
        self.state().state().fleet().software().clone()
    }

    /// Service and software version of each known server.
    pub(super) fn announced_software(&self) -> BTreeSet<StreamOrigin> {
        let servers = self.servers();
        let announced = servers.servers().map(|record| StreamOrigin {
            service: record.announcement.service.clone(),
            software: record.announcement.software.clone(),
        });
        announced.collect()
    }
}

/// What the log leader saw of the software versions since it leads.
#[derive(Debug, Default)]
pub(super) struct SoftwareWatch {
    last_seen: BTreeMap<StreamOrigin, MonoMs>,
}

impl SoftwareWatch {
    /// Change of the list that is due: a version that is new, or one whose last server left so long ago
    /// that none of its streams is resumed any more.
    pub(super) fn next_command(
        &mut self,
        listed: &SoftwareVersions,
        announced: BTreeSet<StreamOrigin>,
        led_since: MonoMs,
        now: MonoMs,
    ) -> Option<FleetCommand> {
        let new = announced.iter().find(|origin| !listed.contains(origin));
        let new = new.cloned();
        for origin in announced {
            self.last_seen.insert(origin, now);
        }
        if let Some(new) = new {
            return Some(FleetCommand::AddSoftware(new));
        }
        let is_over = |origin: &StreamOrigin| {
            let last_seen = self.last_seen.get(origin).copied();
            now.since(last_seen.unwrap_or(led_since)) > STREAM_MEMORY_MS
        };
        let over = listed.origins().find(is_over)?;
        self.last_seen.remove(&over);
        Some(FleetCommand::RemoveSoftware(over))
    }
}
