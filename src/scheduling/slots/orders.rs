//! Orders to engines and the handling of their responses.

use super::engine::Engine;
use super::engine::Phase;
use super::engine::Slot;
use super::planner::Planner;
use super::types::OrderOutcome;
use super::types::SlotAction;
use super::types::SlotOrder;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Consecutive conflicts after which the engine's sequence is read from its next report.
const MAX_CONSECUTIVE_CONFLICTS: u32 = 4;

impl Planner {
    pub(super) fn is_candidate(&self, server: &ServerName, model: &ModelName) -> bool {
        let engine = &self.engines[server];
        engine.holds_base_of(model)
            && engine.sequence.is_some()
            && engine.info.adapter_slots > 0
            && !engine.slots.contains_key(model)
    }

    pub(super) fn order_load(
        &mut self,
        server: &ServerName,
        model: &ModelName,
        now: MonoMs,
    ) -> Option<SlotAction> {
        let version = self.versions.get(model).map_or(0, |(version, _)| *version);
        let ready = now.plus(self.load_time_ms(server, model));
        let engine = self.engines.get_mut(server)?;
        let expected_sequence = engine.sequence?;
        let phase = Phase::Loading { ready };
        let is_from_store = !engine.recent.contains(model);
        let slot = engine
            .slots
            .entry(model.clone())
            .or_insert_with(|| Slot::new(phase, version, now));
        slot.is_replaced = slot.phase == Phase::Retiring;
        slot.phase = phase;
        slot.version = version;
        slot.is_confirmed = false;
        slot.is_accepted = false;
        slot.is_from_store = is_from_store;
        slot.ordered = now;
        slot.is_suspect = false;
        engine.has_open_order = true;
        engine.last_order = now;
        Some(SlotAction::Order(SlotOrder {
            server: server.clone(),
            started_unix_ms: engine.info.started_unix_ms,
            model: model.clone(),
            load: true,
            version,
            expected_sequence,
        }))
    }

    pub(super) fn load_time_ms(&self, server: &ServerName, model: &ModelName) -> u64 {
        let engine = self.engines.get(server);
        let is_reload = engine.is_some_and(|engine| engine.recent.contains(model));
        match is_reload {
            true => self.config.reload_ms,
            false => self.load_limiter.load_ms(),
        }
    }

    pub(super) fn order_unload(
        &mut self,
        server: &ServerName,
        model: &ModelName,
        now: MonoMs,
    ) -> Option<SlotAction> {
        let engine = self.engines.get_mut(server)?;
        let expected_sequence = engine.sequence?;
        let slot = engine.slots.get_mut(model)?;
        slot.phase = Phase::Unloading;
        engine.has_open_order = true;
        engine.last_order = now;
        self.updates
            .push((server.clone(), model.clone(), slot.version, None));
        Some(SlotAction::Order(SlotOrder {
            server: server.clone(),
            started_unix_ms: engine.info.started_unix_ms,
            model: model.clone(),
            load: false,
            version: 0,
            expected_sequence,
        }))
    }

    /// Handles an engine's response to an order.
    pub fn on_order(&mut self, order: &SlotOrder, outcome: OrderOutcome, now: MonoMs) {
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return;
        };
        if engine.info.started_unix_ms != order.started_unix_ms {
            return;
        }
        engine.has_open_order = false;
        let was_unresolved = engine.unresolved.take().is_some();
        if engine.sequence.is_none() {
            // The engine was removed and added again after the order was sent, so only a report
            // shows what it holds.
            engine.needs_report = true;
            return;
        }
        if !order.model.as_str().contains('/') {
            let pause_ms = self.config.empty_interval_ms;
            return on_base_order(engine, order, outcome, now.plus(pause_ms));
        }
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Holds => {
                engine.conflicts = 0;
                self.apply_accepted(order, outcome, now);
            }
            OrderOutcome::Conflict if was_unresolved => {
                // The engine executed an earlier copy or is busy with another order.
                engine.unresolved = Some(order.clone());
                engine.pause_until = now.plus(self.config.report_lag_ms * 2);
                engine.needs_report = true;
                self.announce_load(order, now);
            }
            OrderOutcome::Conflict => {
                engine.conflicts += 1;
                let is_out_of_sync = engine.conflicts >= MAX_CONSECUTIVE_CONFLICTS;
                let pause_ms = match is_out_of_sync {
                    true => self.config.report_lag_ms * 2,
                    false => self.config.conflict_pause_ms,
                };
                engine.pause_until = now.plus(pause_ms);
                engine.needs_report |= is_out_of_sync;
                self.revert(order);
            }
            OrderOutcome::Refused | OrderOutcome::Outranked => {
                engine.sequence = None;
                engine.needs_report = true;
                self.revert(order);
            }
            OrderOutcome::Unknown => {
                engine.unresolved = Some(order.clone());
                engine.pause_until = now.plus(self.config.conflict_pause_ms);
            }
        }
    }

    /// Announces a load that may be in progress to the VMs. A request that arrives too early is
    /// only refused.
    pub(super) fn announce_load(&mut self, order: &SlotOrder, now: MonoMs) {
        if order.load {
            let ready = now.plus(self.load_time_ms(&order.server, &order.model));
            self.updates.push((
                order.server.clone(),
                order.model.clone(),
                order.version,
                Some(ready),
            ));
        }
    }

    pub(super) fn apply_accepted(&mut self, order: &SlotOrder, outcome: OrderOutcome, now: MonoMs) {
        let load_ms = self.load_time_ms(&order.server, &order.model);
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return;
        };
        let is_counted = outcome == OrderOutcome::Accepted || !order.load;
        if is_counted {
            engine.sequence = Some(order.expected_sequence + 1);
        }
        if !order.load {
            if outcome == OrderOutcome::Holds {
                engine.slots.remove(&order.model);
            } else {
                engine.needs_report = true;
            }
            return;
        }
        let ready = match outcome {
            OrderOutcome::Accepted => now.plus(load_ms),
            _ => now,
        };
        engine.remember(&order.model);
        let phase = Phase::Loading { ready };
        let slot = engine
            .slots
            .entry(order.model.clone())
            .or_insert_with(|| Slot::new(phase, order.version, now));
        slot.phase = phase;
        // The load time of a repeated order is measured from its acceptance.
        slot.ordered = now;
        slot.is_accepted = outcome == OrderOutcome::Accepted;
        let version = slot.version;
        self.updates.push((
            order.server.clone(),
            order.model.clone(),
            version,
            Some(ready),
        ));
    }

    /// Reverts the state after an order that was not and will not be executed. The next report
    /// shows what the engine holds.
    pub(super) fn revert(&mut self, order: &SlotOrder) {
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return;
        };
        let Some(slot) = engine.slots.get_mut(&order.model) else {
            return;
        };
        if order.load && slot.is_replaced {
            slot.phase = Phase::Retiring;
            slot.version = 0;
        } else if order.load {
            engine.slots.remove(&order.model);
            self.updates
                .push((order.server.clone(), order.model.clone(), 0, None));
        } else {
            slot.phase = Phase::Ready;
            let version = slot.version;
            let now_ready = Some(MonoMs(0));
            self.updates.push((
                order.server.clone(),
                order.model.clone(),
                version,
                now_ready,
            ));
        }
    }
}

/// Handles the response to an order for a base model. The engine takes no orders for adapters until
/// a report lists the model.
fn on_base_order(
    engine: &mut Engine,
    order: &SlotOrder,
    outcome: OrderOutcome,
    pause_until: MonoMs,
) {
    engine.pause_until = pause_until;
    engine.needs_report = true;
    match outcome {
        OrderOutcome::Accepted => engine.sequence = Some(order.expected_sequence + 1),
        OrderOutcome::Holds => engine.reported_bases.push(order.model.clone()),
        OrderOutcome::Conflict => {}
        OrderOutcome::Refused | OrderOutcome::Outranked => engine.sequence = None,
        OrderOutcome::Unknown => engine.unresolved = Some(order.clone()),
    }
}
