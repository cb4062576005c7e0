//! Requests that wait for an adapter.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;

use crate::link::AdapterDemand;
use crate::types::ModelName;

#[derive(Debug)]
struct Waiting {
    count: u32,
    priority: u8,
    /// Number of calls of `pending` that listed the adapter.
    listed: u32,
    changed: Arc<Notify>,
}

/// Waiting requests by adapter.
#[derive(Clone, Debug, Default)]
pub struct AdapterWaits {
    waiting: Arc<Mutex<HashMap<ModelName, Waiting>>>,
    /// Adapters whose last waiting request has ended.
    abandoned: Arc<Mutex<Vec<ModelName>>>,
    /// Notified when an adapter is added to `abandoned`.
    abandoned_notify: Arc<Notify>,
}

/// Registration of one waiting request, removed on drop.
#[derive(Debug)]
pub struct WaitGuard {
    waits: AdapterWaits,
    model: ModelName,
    changed: Arc<Notify>,
}

impl AdapterWaits {
    /// Registers a request that waits for `model`. The second value is true for the first one.
    pub fn join(&self, model: &ModelName, priority: u8) -> (WaitGuard, bool) {
        let mut waiting = self.lock();
        let entry = waiting.entry(model.clone()).or_insert_with(|| Waiting {
            count: 0,
            priority,
            listed: 0,
            changed: Arc::new(Notify::new()),
        });
        entry.count += 1;
        entry.priority = entry.priority.min(priority);
        let guard = WaitGuard {
            waits: self.clone(),
            model: model.clone(),
            changed: Arc::clone(&entry.changed),
        };
        (guard, entry.count == 1)
    }

    /// Notified when the last request that waits for an adapter has ended, so that the load request
    /// can be withdrawn.
    pub fn abandoned(&self) -> Arc<Notify> {
        Arc::clone(&self.abandoned_notify)
    }

    /// Adapters whose last waiting request has ended since the previous call and that no request
    /// waits for now.
    pub fn take_abandoned(&self) -> Vec<ModelName> {
        let mut abandoned = std::mem::take(&mut *self.lock_abandoned());
        let waiting = self.lock();
        abandoned.retain(|model| !waiting.contains_key(model));
        abandoned
    }

    fn lock_abandoned(&self) -> MutexGuard<'_, Vec<ModelName>> {
        self.abandoned
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a request waits for `model`.
    pub fn has(&self, model: &ModelName) -> bool {
        self.lock().contains_key(model)
    }

    /// Wakes the requests that wait for `model`.
    pub fn wake(&self, model: &ModelName) {
        if let Some(waiting) = self.lock().get(model) {
            waiting.changed.notify_waiters();
        }
    }

    /// Wakes all waiting requests.
    pub fn wake_all(&self) {
        for waiting in self.lock().values() {
            waiting.changed.notify_waiters();
        }
    }

    /// All adapters that requests wait for, each with the number of earlier calls that listed it.
    pub fn pending(&self) -> Vec<(AdapterDemand, u32)> {
        let mut waiting = self.lock();
        let demands = waiting.iter_mut().map(|(model, waiting)| {
            waiting.listed += 1;
            let demand = AdapterDemand {
                model: model.clone(),
                waiting: waiting.count,
                priority: waiting.priority,
                copy: false,
                software: None,
            };
            (demand, waiting.listed - 1)
        });
        demands.collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ModelName, Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WaitGuard {
    /// Completes when the adapter's presence changes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut waiting = self.waits.lock();
        if let Some(entry) = waiting.get_mut(&self.model) {
            entry.count -= 1;
            if entry.count == 0 {
                waiting.remove(&self.model);
                drop(waiting);
                self.waits.lock_abandoned().push(self.model.clone());
                self.waits.abandoned_notify.notify_one();
            }
        }
    }
}
