//! Use of adapters by this VM, for the VM that orders the engines.

use std::collections::HashMap;

use crate::link::AdapterUse;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    in_flight: u32,
    sent: u32,
    is_missing: bool,
    early: Option<MonoMs>,
    is_answered: bool,
    is_changed: bool,
}

/// Requests by engine and adapter.
#[derive(Debug, Default)]
pub struct Uses {
    counts: HashMap<(ServerName, ModelName), Count>,
}

impl Uses {
    /// Counts a request that is sent.
    pub fn sent(&mut self, server: &ServerName, model: &ModelName) {
        let count = self.count(server, model);
        count.in_flight += 1;
        count.sent += 1;
    }

    /// Counts a request that ended.
    pub fn ended(&mut self, server: &ServerName, model: &ModelName) {
        let count = self.count(server, model);
        count.in_flight = count.in_flight.saturating_sub(1);
    }

    /// Notes that the engine lacks the adapter.
    pub fn missing(&mut self, server: &ServerName, model: &ModelName) {
        self.count(server, model).is_missing = true;
    }

    /// Notes that the engine lacks the adapter so far.
    pub fn early(&mut self, server: &ServerName, model: &ModelName, now: MonoMs) {
        self.count(server, model).early = Some(now);
    }

    /// Notes that the engine answered a request for the adapter.
    pub fn answered(&mut self, server: &ServerName, model: &ModelName) {
        self.count(server, model).is_answered = true;
    }

    /// Changes since the last call.
    pub fn take(&mut self, now: MonoMs) -> Vec<AdapterUse> {
        let mut changes = Vec::new();
        for ((server, model), count) in &mut self.counts {
            if !count.is_changed {
                continue;
            }
            changes.push(AdapterUse {
                server: server.clone(),
                model: model.clone(),
                in_flight: count.in_flight,
                sent: count.sent,
                is_missing: count.is_missing,
                early_age_ms: count.early.map(|early| age_ms(early, now)),
                is_answered: count.is_answered,
            });
            *count = Count {
                in_flight: count.in_flight,
                ..Count::default()
            };
        }
        self.counts.retain(|_, count| count.in_flight > 0);
        changes
    }

    fn count(&mut self, server: &ServerName, model: &ModelName) -> &mut Count {
        let key = (server.clone(), model.clone());
        let count = self.counts.entry(key).or_default();
        count.is_changed = true;
        count
    }
}

fn age_ms(at: MonoMs, now: MonoMs) -> u32 {
    u32::try_from(now.since(at)).unwrap_or(u32::MAX)
}
