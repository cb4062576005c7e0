//! Which software version of which service began a stream. A stream may go on only there, as what
//! two versions write does not fit together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::types::MonoMs;
use crate::types::ServiceName;
use crate::types::SoftwareVersion;
use crate::types::StreamKey;

/// Time for which a stream may be resumed after its first event. Longer than callers wait.
pub const STREAM_MEMORY_MS: u64 = 60_000;

/// Most versions of a service that are listed. With two or more, a stream whose origin is not known
/// cannot be resumed.
const MAX_VERSIONS: usize = 16;
/// Most origins that share their names in memory.
const MAX_SHARED_ORIGINS: usize = 64;

/// Service and software version that began a stream.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// Version of the software of its server.
    pub software: SoftwareVersion,
}

/// Report of a stream that has begun.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamBegin {
    /// The stream.
    pub stream: StreamKey,
    /// Who began it.
    pub origin: StreamOrigin,
    /// Time since its first event, in milliseconds.
    pub age_ms: u32,
}

/// Origins of the streams that began lately, bounded by number and age.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    max_streams: usize,
    by_stream: HashMap<StreamKey, (StreamOrigin, MonoMs)>,
    /// Streams in the order in which they were recorded.
    order: VecDeque<StreamKey>,
    /// Origins whose names the entries share.
    shared: Vec<StreamOrigin>,
}

impl StreamOrigins {
    /// Remembers at most `max_streams` streams.
    pub fn new(max_streams: usize) -> Self {
        Self {
            max_streams,
            by_stream: HashMap::new(),
            order: VecDeque::new(),
            shared: Vec::new(),
        }
    }

    /// Records the origin of a stream. Its first origin counts. Returns whether the stream is new.
    pub fn record(&mut self, begin: &StreamBegin, now: MonoMs) -> bool {
        self.expire(now);
        if u64::from(begin.age_ms) >= STREAM_MEMORY_MS || self.by_stream.contains_key(&begin.stream)
        {
            return false;
        }
        let begun = MonoMs(now.0.saturating_sub(u64::from(begin.age_ms)));
        let entry = (self.shared(&begin.origin), begun);
        self.by_stream.insert(begin.stream, entry);
        self.order.push_back(begin.stream);
        true
    }

    /// Origin of a stream, if it is known.
    pub fn get(&self, stream: StreamKey) -> Option<&StreamOrigin> {
        self.by_stream.get(&stream).map(|(origin, _)| origin)
    }

    /// All known origins, to report them to a VM that may have forgotten them.
    pub fn reports(&self, now: MonoMs) -> Vec<StreamBegin> {
        let known = self.by_stream.iter();
        let reports = known.map(|(stream, (origin, begun))| StreamBegin {
            stream: *stream,
            origin: origin.clone(),
            age_ms: u32::try_from(now.since(*begun)).unwrap_or(u32::MAX),
        });
        reports.collect()
    }

    /// Number of known streams.
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }

    /// The origin with names that are already in memory, if they are.
    fn shared(&mut self, origin: &StreamOrigin) -> StreamOrigin {
        if let Some(known) = self.shared.iter().find(|known| *known == origin) {
            return known.clone();
        }
        if self.shared.len() >= MAX_SHARED_ORIGINS {
            self.shared.clear();
        }
        self.shared.push(origin.clone());
        origin.clone()
    }

    fn expire(&mut self, now: MonoMs) {
        while let Some(oldest) = self.order.front() {
            let begun = self.by_stream.get(oldest).map(|(_, begun)| *begun);
            let is_old = begun.is_none_or(|begun| now.since(begun) >= STREAM_MEMORY_MS);
            if !is_old && self.order.len() < self.max_streams {
                return;
            }
            self.by_stream.remove(oldest);
            self.order.pop_front();
        }
    }
}

/// Software versions of each service whose streams may be resumed. `revision` rises with each change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoftwareVersions {
    /// Log index of the last change.
    pub revision: u64,
    /// Versions by service.
    pub by_service: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
}

impl SoftwareVersions {
    /// All listed versions with their services.
    pub fn origins(&self) -> impl Iterator<Item = StreamOrigin> {
        self.by_service.iter().flat_map(|(service, versions)| {
            versions.iter().map(|software| StreamOrigin {
                service: service.clone(),
                software: software.clone(),
            })
        })
    }

    /// Adds a version with the log entry at `index`.
    pub fn add(&mut self, index: u64, origin: &StreamOrigin) {
        let versions = self.by_service.entry(origin.service.clone()).or_default();
        if versions.len() < MAX_VERSIONS && versions.insert(origin.software.clone()) {
            self.revision = index;
        }
    }

    /// Removes a version with the log entry at `index`.
    pub fn remove(&mut self, index: u64, origin: &StreamOrigin) {
        let Some(versions) = self.by_service.get_mut(&origin.service) else {
            return;
        };
        if versions.remove(&origin.software) {
            self.revision = index;
        }
        if versions.is_empty() {
            self.by_service.remove(&origin.service);
        }
    }

    /// Whether a version of a service is listed.
    pub fn contains(&self, origin: &StreamOrigin) -> bool {
        let versions = self.by_service.get(&origin.service);
        versions.is_some_and(|versions| versions.contains(&origin.software))
    }
}

/// Origin of a stream that nobody remembers: the only one that is possible. `listed` are the versions
/// that were in service lately, `announced` those of the servers now. `None` if there are several
/// or none.
pub fn only_origin<'a>(
    services: impl Iterator<Item = &'a ServiceName>,
    listed: &SoftwareVersions,
    announced: impl Iterator<Item = StreamOrigin>,
) -> Option<StreamOrigin> {
    let mut possible: BTreeSet<StreamOrigin> = announced.collect();
    for service in services {
        let versions = listed.by_service.get(service).into_iter().flatten();
        possible.extend(versions.map(|software| StreamOrigin {
            service: service.clone(),
            software: software.clone(),
        }));
    }
    match possible.len() {
        1 => possible.pop_first(),
        _ => None,
    }
}
