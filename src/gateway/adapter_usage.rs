//! Adapter usage on this VM, reported to the VM in charge of the engines.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::Notify;

use crate::link::AdapterUse;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    in_flight: u32,
    prompt_tokens: u64,
    sent: u32,
    is_missing: bool,
    not_loaded_at: Option<MonoMs>,
    is_answered: bool,
    is_unreported: bool,
}

/// Request counts by engine and adapter.
#[derive(Debug, Default)]
pub struct AdapterUsage {
    counts: HashMap<(ServerName, ModelName), Count>,
    /// Notified when this VM starts to use an adapter, or when none of its requests uses the
    /// adapter any more and it can be evicted.
    changed: Arc<Notify>,
}

impl AdapterUsage {
    /// Notified of changes that should be reported without delay.
    pub fn changed(&self) -> Arc<Notify> {
        Arc::clone(&self.changed)
    }

    /// Counts a request that is sent.
    pub fn record_dispatch(&mut self, server: &ServerName, model: &ModelName, prompt_tokens: u64) {
        let count = self.count(server, model);
        count.in_flight += 1;
        count.prompt_tokens += prompt_tokens;
        count.sent += 1;
        if count.in_flight == 1 {
            self.changed.notify_one();
        }
    }

    /// Removes the prompt of a request from the backlog: it was processed or never will be.
    pub fn record_prompt_done(
        &mut self,
        server: &ServerName,
        model: &ModelName,
        prompt_tokens: u64,
    ) {
        let count = self.count(server, model);
        count.prompt_tokens = count.prompt_tokens.saturating_sub(prompt_tokens);
    }

    /// Counts the end of a request.
    pub fn record_completion(&mut self, server: &ServerName, model: &ModelName) {
        let count = self.count(server, model);
        count.in_flight = count.in_flight.saturating_sub(1);
        if count.in_flight == 0 {
            self.changed.notify_one();
        }
    }

    /// Records that the engine does not have the adapter.
    pub fn set_missing(&mut self, server: &ServerName, model: &ModelName) {
        self.count(server, model).is_missing = true;
    }

    /// Records that the engine does not have the adapter yet.
    pub fn set_not_loaded_yet(&mut self, server: &ServerName, model: &ModelName, now: MonoMs) {
        self.count(server, model).not_loaded_at = Some(now);
    }

    /// Records that the engine answered a request for the adapter.
    pub fn record_answered(&mut self, server: &ServerName, model: &ModelName) {
        self.count(server, model).is_answered = true;
    }

    /// Returns the changes since the last call.
    pub fn take(&mut self, now: MonoMs) -> Vec<AdapterUse> {
        let mut changes = Vec::new();
        for ((server, model), count) in &mut self.counts {
            if !count.is_unreported {
                continue;
            }
            changes.push(AdapterUse {
                server: server.clone(),
                model: model.clone(),
                in_flight: count.in_flight,
                prompt_tokens: count.prompt_tokens,
                token_us: 0,
                sent: count.sent,
                is_missing: count.is_missing,
                early_age_ms: count
                    .not_loaded_at
                    .map(|not_loaded_at| age_ms(not_loaded_at, now)),
                is_answered: count.is_answered,
            });
            *count = Count {
                in_flight: count.in_flight,
                prompt_tokens: count.prompt_tokens,
                ..Count::default()
            };
        }
        self.counts.retain(|_, count| count.in_flight > 0);
        changes
    }

    fn count(&mut self, server: &ServerName, model: &ModelName) -> &mut Count {
        let key = (server.clone(), model.clone());
        let count = self.counts.entry(key).or_default();
        count.is_unreported = true;
        count
    }
}

fn age_ms(at: MonoMs, now: MonoMs) -> u32 {
    u32::try_from(now.since(at)).unwrap_or(u32::MAX)
}
