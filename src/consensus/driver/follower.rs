//! Diskless follower: pulls applied entries from voters or other followers.

use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use bytes::BytesMut;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::applier::Job;
use super::config::FollowerConfig;
use super::shared::Shared;
use super::traits::FollowSource;
use crate::consensus::message::FORMAT_VERSION;
use crate::consensus::message::FollowContent;
use crate::consensus::message::FollowReply;
use crate::consensus::message::FollowRequest;
use crate::consensus::message::SnapshotPosition;
use crate::consensus::types::Entry;
use crate::consensus::types::Snapshot;
use crate::types::VmName;

/// Maximum time a request waits at the source for new entries.
const LONG_POLL_MS: u64 = 1_000;

/// Timeout of a request: the wait at the source, and 400 ms for the network.
const REPLY_TIMEOUT: Duration = Duration::from_millis(LONG_POLL_MS + 400);

/// Timeout of the first request to a source, which does not wait for entries.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay after a request without a usable reply. Doubles each time all sources have failed.
const RETRY_MS: u64 = 50;

/// Maximum number of times the delay doubles.
const MAX_DOUBLINGS: usize = 4;

/// Age of a source's last quorum contact above which another source is tried. Breaks cycles of two
/// relays that follow each other, where the age grows without bound. A chain of two relays that
/// both poll once a second stays below it.
const MAX_QUORUM_CONTACT_AGE_MS: u64 = 2_500;

/// Time after a switch at which the preferred source is tried again.
const PREFERRED_RETRY_MS: u64 = 5_000;

/// Task that pulls entries and passes them to the applier.
pub(super) struct Follower {
    config: FollowerConfig,
    shared: Arc<Shared>,
    source: Arc<dyn FollowSource>,
    jobs: Sender<Job>,
    source_index: usize,
    failures: usize,
    has_warned: bool,
    switched_ms: u64,
    current: Option<VmName>,
    incoming: Option<(u64, BytesMut)>,
}

/// Whether a source can be kept or another one has to be tried.
#[derive(Debug, Eq, PartialEq)]
enum SourceStatus {
    Usable,
    Unusable,
}

impl Follower {
    pub(super) fn new(
        config: FollowerConfig,
        shared: Arc<Shared>,
        source: Arc<dyn FollowSource>,
        jobs: Sender<Job>,
    ) -> Self {
        Self {
            config,
            shared,
            source,
            jobs,
            source_index: 0,
            failures: 0,
            has_warned: false,
            switched_ms: 0,
            current: None,
            incoming: None,
        }
    }

    /// Pulls until `stop` becomes true.
    pub(super) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => return,
                () = self.pull() => {}
            }
        }
    }

    async fn pull(&mut self) {
        let status = match self.choose_source() {
            Some(from) => self.pull_from(&from).await,
            None => SourceStatus::Unusable,
        };
        if status == SourceStatus::Usable {
            self.failures = 0;
            return;
        }
        let sources = self.config.sources.borrow().len().max(1);
        let doublings = (self.failures / sources).min(MAX_DOUBLINGS);
        self.failures += 1;
        self.source_index += 1;
        self.current = None;
        self.switched_ms = self.shared.now_ms();
        tokio::time::sleep(Duration::from_millis(RETRY_MS << doublings)).await;
    }

    fn choose_source(&mut self) -> Option<VmName> {
        if self.config.sources.has_changed().unwrap_or(false) {
            self.source_index = 0;
        }
        if self.shared.now_ms() >= self.switched_ms + PREFERRED_RETRY_MS {
            self.source_index = 0;
        }
        let mut sources = self.config.sources.borrow_and_update().clone();
        sources.retain(|vm| *vm != self.config.vm);
        let count = sources.len().max(1);
        sources.into_iter().nth(self.source_index % count)
    }

    async fn pull_from(&mut self, from: &VmName) -> SourceStatus {
        let sent_ms = self.shared.now_ms();
        // The first request to a source returns immediately, so that an unreachable source is
        // detected quickly and does not delay entries.
        let is_first_request = self.current.as_ref() != Some(from);
        self.current = Some(from.clone());
        let (wait_ms, timeout) = match is_first_request {
            true => (0, FIRST_REPLY_TIMEOUT),
            false => (LONG_POLL_MS, REPLY_TIMEOUT),
        };
        let reply = self.source.follow(from, self.request(wait_ms));
        match tokio::time::timeout(timeout, reply).await {
            Ok(Ok(reply)) => self.handle_reply(from, reply, sent_ms).await,
            Ok(Err(error)) => {
                log::debug!("consensus: {error}");
                SourceStatus::Unusable
            }
            Err(_) => {
                log::debug!("consensus: follow request to {from} timed out");
                SourceStatus::Unusable
            }
        }
    }

    fn request(&self, wait_ms: u64) -> FollowRequest {
        FollowRequest {
            version: FORMAT_VERSION,
            cluster_id: self.shared.view().cluster_id,
            next_index: *self.shared.applied.borrow() + 1,
            snapshot: self
                .incoming
                .as_ref()
                .map(|(index, data)| SnapshotPosition {
                    index: *index,
                    offset: data.len() as u64,
                }),
            wait_ms,
        }
    }

    async fn handle_reply(
        &mut self,
        from: &VmName,
        reply: FollowReply,
        sent_ms: u64,
    ) -> SourceStatus {
        let cluster_id = self.shared.view().cluster_id;
        let is_foreign = cluster_id != 0 && reply.cluster_id != cluster_id;
        if reply.version != FORMAT_VERSION || reply.cluster_id == 0 || is_foreign {
            if !self.has_warned && reply.cluster_id != 0 {
                log::warn!(
                    "consensus: ignoring replies of {from}: cluster {:x}, format version {}",
                    reply.cluster_id,
                    reply.version
                );
                self.has_warned = true;
            }
            return SourceStatus::Unusable;
        }
        let applied_index = *self.shared.applied.borrow();
        let is_behind = reply.commit_index < applied_index;
        let is_stale = reply.confirmed_age_ms > MAX_QUORUM_CONTACT_AGE_MS;
        self.has_warned = false;
        let confirmed_ms = self.update_view(&reply, sent_ms);
        let is_applied = self.apply_content(reply.content, applied_index).await;
        if *self.shared.applied.borrow() >= reply.commit_index {
            let mut view = self.shared.view();
            view.confirmed_ms = view.confirmed_ms.max(confirmed_ms);
        }
        match is_applied && !is_behind && !is_stale {
            true => SourceStatus::Usable,
            false => SourceStatus::Unusable,
        }
    }

    /// Updates the view and returns the time at which the source was confirmed. The network delay of the
    /// reply is unknown, so its age is counted from the earliest time at which it can have been sent.
    fn update_view(&self, reply: &FollowReply, sent_ms: u64) -> Option<i64> {
        let age_ms = i64::try_from(reply.confirmed_age_ms).ok();
        let earliest_ms = (sent_ms + reply.waited_ms).cast_signed();
        let confirmed_ms = age_ms.map(|age_ms| earliest_ms - age_ms);
        let mut view = self.shared.view();
        view.cluster_id = reply.cluster_id;
        if reply.term >= view.term {
            view.term = reply.term;
            view.leader = reply.leader.clone().or(view.leader.take());
            view.configuration.voters = reply.voters.iter().cloned().collect();
        }
        view.commit_index = view.commit_index.max(reply.commit_index);
        view.quorum_contact_ms = view.quorum_contact_ms.max(confirmed_ms);
        confirmed_ms
    }

    async fn apply_content(&mut self, content: FollowContent, applied_index: u64) -> bool {
        match content {
            FollowContent::Entries(entries) => self.apply(entries, applied_index).await,
            FollowContent::Snapshot {
                index,
                term,
                configuration,
                offset,
                total_bytes,
                data,
            } => {
                let mut incoming = match self.incoming.take() {
                    Some((known, data)) if known == index => data,
                    _ => BytesMut::new(),
                };
                if offset != incoming.len() as u64 {
                    return false;
                }
                incoming.extend_from_slice(&data);
                if (incoming.len() as u64) < total_bytes {
                    self.incoming = Some((index, incoming));
                    return true;
                }
                self.restore(Snapshot {
                    index,
                    term,
                    configuration,
                    data: incoming.freeze(),
                })
                .await
            }
        }
    }

    async fn apply(&mut self, entries: Vec<Entry>, applied_index: u64) -> bool {
        let Some(last) = entries.last().map(|entry| entry.index) else {
            return true;
        };
        let is_next = entries[0].index == applied_index + 1;
        if !is_next || self.jobs.send(Job::Apply(entries)).is_err() {
            return false;
        }
        let mut applied = self.shared.applied.subscribe();
        applied.wait_for(|index| *index >= last).await.is_ok()
    }

    async fn restore(&mut self, snapshot: Snapshot) -> bool {
        let (done, restored) = oneshot::channel();
        let on_restored = Box::new(move |outcome| {
            let _ = done.send(outcome);
        });
        let job = Job::Restore(Arc::new(snapshot), on_restored);
        if self.jobs.send(job).is_err() {
            return false;
        }
        match restored.await {
            Ok(Ok(())) => true,
            Ok(Err(error)) => {
                log::error!("consensus: {error}");
                false
            }
            Err(_) => false,
        }
    }
}
