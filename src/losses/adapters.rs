//! Whether the adapter of a request was resident, loading or absent while the request waited.

use std::collections::HashMap;

use super::log_lines::OrderLine;
use crate::gateway::server_table::is_adapter;
use crate::types::ModelName;
use crate::types::ServerName;

/// State of the adapter of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AdapterState {
    /// The request is for a base model or a plain service.
    None,
    /// No engine held it, and no load started before the request ended.
    NeverLoaded,
    /// No engine held it, and a load started while the request waited.
    LoadStarted,
    /// An engine held it when the request arrived.
    Held,
}

impl AdapterState {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "no adapter",
            Self::NeverLoaded => "never loaded",
            Self::LoadStarted => "load begun",
            Self::Held => "held",
        }
    }
}

/// Loads and unloads of one adapter, the oldest first.
type History<'a> = Vec<&'a OrderLine>;

/// Loads and unloads of all adapters.
#[derive(Debug, Default)]
pub struct AdapterHistories<'a> {
    by_model: HashMap<&'a ModelName, History<'a>>,
}

impl<'a> AdapterHistories<'a> {
    /// Groups the orders that engines accepted, or that were in effect already, by adapter, and
    /// sorts them by time.
    pub fn new(orders: &'a [OrderLine]) -> Self {
        let mut by_model: HashMap<&ModelName, History<'_>> = HashMap::new();
        let done = |order: &&OrderLine| matches!(order.outcome.as_str(), "accepted" | "holds");
        for order in orders.iter().filter(done) {
            by_model.entry(&order.model).or_default().push(order);
        }
        for history in by_model.values_mut() {
            history.sort_by_key(|order| order.at_unix_ms);
        }
        Self { by_model }
    }

    /// The orders for `model`, the oldest first.
    pub fn history(&self, model: &ModelName) -> &[&'a OrderLine] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// State of the adapter `model` for a request that arrived and ended at these times.
    pub fn state(
        &self,
        model: Option<&ModelName>,
        arrived_unix_ms: u64,
        ended_unix_ms: u64,
    ) -> AdapterState {
        let Some(model) = model.filter(|model| is_adapter(model)) else {
            return AdapterState::None;
        };
        let history = self.history(model);
        let mut held: Vec<&ServerName> = Vec::new();
        for order in history
            .iter()
            .filter(|order| order.at_unix_ms <= arrived_unix_ms)
        {
            held.retain(|server| **server != order.server);
            if order.load {
                held.push(&order.server);
            }
        }
        let load_started = history.iter().any(|order| {
            let is_while_waiting = (arrived_unix_ms..=ended_unix_ms).contains(&order.at_unix_ms);
            order.load && is_while_waiting
        });
        match (held.is_empty(), load_started) {
            (false, _) => AdapterState::Held,
            (true, true) => AdapterState::LoadStarted,
            (true, false) => AdapterState::NeverLoaded,
        }
    }
}
