//! Snapshots: taken from the state machine, sent in chunks and installed.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;

use super::Core;
use crate::consensus::message::Message;
use crate::consensus::types::Configuration;
use crate::consensus::types::Snapshot;
use crate::consensus::types::VoterId;

/// Size of a snapshot chunk.
const CHUNK_BYTES: usize = 256 * 1_024;

/// A snapshot that is being sent to a member.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    snapshot: Arc<Snapshot>,
    offset: u64,
}

impl OutgoingSnapshot {
    pub(super) fn index(&self) -> u64 {
        self.snapshot.index
    }
}

/// The received part of a snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    /// State machines may encode the same state differently, so chunks of two senders must not be
    /// combined.
    from: VoterId,
    index: u64,
    term: u64,
    configuration: Configuration,
    total_bytes: u64,
    data: BytesMut,
}

impl Core {
    /// Compacts the log with a snapshot of the local state machine.
    pub(super) fn snapshot_taken(&mut self, index: u64, data: Bytes) {
        if index <= self.log.snapshot().index || index > self.applied_index {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            configuration: self.log.configuration_at(index).clone(),
            data,
        };
        self.log.compact(snapshot);
        let saved = Arc::clone(self.log.snapshot());
        self.write().snapshot = Some(saved);
    }

    /// Sends the next chunk, unless one is already in flight.
    pub(super) fn send_chunk(&mut self, to: &VoterId) {
        let latest = Arc::clone(self.log.snapshot());
        let sent_ms = self.now_ms;
        let Some(progress) = self.progress(to) else {
            return;
        };
        if progress.paused {
            return;
        }
        progress.paused = true;
        progress.probing = true;
        let outgoing = progress.snapshot.get_or_insert(OutgoingSnapshot {
            snapshot: latest,
            offset: 0,
        });
        progress.next_index = outgoing.snapshot.index + 1;
        let snapshot = &outgoing.snapshot;
        let start = (outgoing.offset as usize).min(snapshot.data.len());
        let end = (start + CHUNK_BYTES).min(snapshot.data.len());
        let message = Message::Snapshot {
            index: snapshot.index,
            term: snapshot.term,
            configuration: snapshot.configuration.clone(),
            offset: start as u64,
            total_bytes: snapshot.data.len() as u64,
            data: snapshot.data.slice(start..end),
            sent_ms,
        };
        self.send(to, message);
    }

    pub(super) fn snapshot_reply(
        &mut self,
        from: &VoterId,
        index: u64,
        next_offset: u64,
        sent_ms: u64,
    ) {
        let Some(progress) = self.progress(from) else {
            return;
        };
        progress.contact_ms = progress.contact_ms.max(Some(sent_ms));
        match &mut progress.snapshot {
            // A duplicated reply must not start a second stream of chunks.
            Some(outgoing) if outgoing.index() == index && outgoing.offset != next_offset => {
                outgoing.offset = next_offset;
            }
            _ => return,
        }
        progress.paused = false;
        self.send_chunk(from);
    }

    pub(super) fn snapshot_chunk(&mut self, from: &VoterId, message: Message) {
        let Message::Snapshot {
            index,
            term,
            configuration,
            offset,
            total_bytes,
            data,
            sent_ms,
        } = message
        else {
            return;
        };
        if index <= self.commit_index {
            return self.reply_with_synced(from, self.commit_index, sent_ms);
        }
        let is_same = |known: &IncomingSnapshot| known.from == *from && known.index == index;
        let mut incoming = match self.incoming.take() {
            Some(known) if is_same(&known) => known,
            _ => IncomingSnapshot {
                from: from.clone(),
                index,
                term,
                configuration,
                total_bytes,
                data: BytesMut::new(),
            },
        };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&data);
        }
        let next_offset = incoming.data.len() as u64;
        if next_offset < incoming.total_bytes {
            self.incoming = Some(incoming);
            let reply = Message::SnapshotReply {
                index,
                next_offset,
                sent_ms,
            };
            return self.send(from, reply);
        }
        self.install(incoming);
        self.acknowledge_once_synced(from, index, sent_ms);
    }

    fn install(&mut self, incoming: IncomingSnapshot) {
        let index = incoming.index;
        let snapshot = Snapshot {
            index,
            term: incoming.term,
            configuration: incoming.configuration,
            data: incoming.data.freeze(),
        };
        let is_reset = self.log.install(snapshot);
        if is_reset {
            // Entries after the committed ones may differ from those that the snapshot covers.
            self.limit_durable_index(self.commit_index);
        }
        self.commit_index = index;
        let saved = Arc::clone(self.log.snapshot());
        let write = self.write();
        write.snapshot = Some(saved);
        write.reset_log = is_reset;
    }
}
