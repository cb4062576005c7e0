//! Thread that writes and syncs, so that neither the core nor async code waits for the disk.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;

use super::voter::Event;
use crate::consensus::core::Write;
use crate::consensus::storage::Storage;

/// Writes until all senders are dropped. Writes that arrive during a sync share the next one.
pub(super) fn run(mut storage: impl Storage, writes: Receiver<Write>, events: Sender<Event>) {
    while let Ok(first) = writes.recv() {
        let mut batch = vec![first];
        batch.extend(writes.try_iter());
        let seq = batch.last().map_or(0, |write| write.seq);
        if let Err(error) = storage.write(batch) {
            // After a failed sync it is unknown which data is durable, so the voter must stop.
            log::error!("consensus: voter stops: {error}");
            let _ = events.send(Event::Failed);
            return;
        }
        if events.send(Event::Written(seq)).is_err() {
            return;
        }
    }
}
