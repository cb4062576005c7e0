//! State shared between the threads of a voter or follower and its handles.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::watch;

use super::applied_log::AppliedLog;
use super::config::Status;
use crate::consensus::types::Configuration;
use crate::types::Clock;
use crate::types::VmName;

/// Last published state of the core or of the followed log.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub(super) leader: Option<VmName>,
    pub(super) term: u64,
    pub(super) cluster_id: u64,
    pub(super) commit_index: u64,
    pub(super) configuration: Configuration,
    pub(super) is_leader: bool,
    /// Time of the last contact with a quorum on this process's clock. Negative if a source reports a
    /// time before this process started.
    pub(super) quorum_contact_ms: Option<i64>,
    /// Time at which the applied state held everything that was committed.
    pub(super) confirmed_ms: Option<i64>,
}

/// State shared between threads and tasks.
#[derive(Debug)]
pub(super) struct Shared {
    clock: Clock,
    view: Mutex<View>,
    pub(super) applied: watch::Sender<u64>,
    pub(super) log: Mutex<AppliedLog>,
}

impl Shared {
    pub(super) fn new() -> Self {
        Self {
            clock: Clock::start(),
            view: Mutex::default(),
            applied: watch::Sender::new(0),
            log: Mutex::default(),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.mono().0
    }

    pub(super) fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    pub(super) fn log(&self) -> MutexGuard<'_, AppliedLog> {
        lock(&self.log)
    }

    /// Time since `since_ms`; `u64::MAX` if there is none.
    pub(super) fn age_ms(&self, since_ms: Option<i64>) -> u64 {
        let now_ms = self.now_ms().cast_signed();
        since_ms.map_or(u64::MAX, |at| {
            now_ms.saturating_sub(at).max(0).unsigned_abs()
        })
    }

    pub(super) fn status(&self) -> Status {
        let view = self.view().clone();
        Status {
            leader: view.leader,
            term: view.term,
            commit_index: view.commit_index,
            applied_index: *self.applied.borrow(),
            voters: view.configuration.voters.into_iter().collect(),
            learners: view.configuration.learners.into_iter().collect(),
            is_leader: view.is_leader,
            quorum_contact_age_ms: self.age_ms(view.quorum_contact_ms),
            confirmed_age_ms: self.age_ms(view.confirmed_ms),
        }
    }
}

/// Locks `mutex` and ignores poisoning, because no holder leaves the value partially updated.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
