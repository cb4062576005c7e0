//! Questions of an entry VM to all controllers: where did a stream begin?

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::gateway::StreamLookup;
use crate::link::Frame;
use crate::link::Session;
use crate::scheduling::stream_origins::StreamOrigin;
use crate::types::StreamKey;

/// Time within which the controllers answer.
const LOOKUP_TIMEOUT_MS: u64 = 300;

/// Answers that are awaited. Clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamLookups {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    pending: HashMap<u64, mpsc::UnboundedSender<Option<StreamOrigin>>>,
}

impl StreamLookups {
    /// Asks the controllers of `sessions`. The fleet has `controllers` controllers.
    pub(super) async fn find(
        self,
        stream: StreamKey,
        sessions: Vec<Session>,
        controllers: usize,
    ) -> StreamLookup {
        let (sender, mut answers) = mpsc::unbounded_channel();
        let number = self.add(sender);
        let frame = Frame::FindStream(number, stream).encode();
        for session in &sessions {
            session.send_encoded(frame.clone());
        }
        let deadline = Instant::now() + Duration::from_millis(LOOKUP_TIMEOUT_MS);
        let mut unknown = 0;
        let mut lookup = StreamLookup::NotReached;
        while unknown < sessions.len() {
            match timeout_at(deadline, answers.recv()).await {
                Ok(Some(Some(origin))) => {
                    lookup = StreamLookup::Found(origin);
                    break;
                }
                Ok(Some(None)) => unknown += 1,
                Ok(None) | Err(_) => break,
            }
        }
        self.lock().pending.remove(&number);
        let is_majority = unknown > controllers / 2;
        match lookup {
            StreamLookup::NotReached if is_majority => StreamLookup::NotKnown,
            lookup => lookup,
        }
    }

    /// Passes an answer on to the question that it belongs to.
    pub(super) fn on_answer(&self, number: u64, origin: Option<StreamOrigin>) {
        if let Some(waiting) = self.lock().pending.get(&number) {
            // Sending fails if the question has been answered.
            let _ = waiting.send(origin);
        }
    }

    fn add(&self, sender: mpsc::UnboundedSender<Option<StreamOrigin>>) -> u64 {
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        state.pending.insert(number, sender);
        number
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
