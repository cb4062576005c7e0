//! Engine reports, and refusals that contradict the planner's view.

use super::engine::EngineReport;
use super::engine::Phase;
use super::engine::Slot;
use super::planner::Planner;
use super::types::SlotAction;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Expected remaining time of a reported load that should have ended or that another holder
/// started, in milliseconds.
const REMAINING_LOAD_MS: u64 = 80;

impl Planner {
    /// Records that an engine refused a request because the adapter is not present.
    pub fn note_missing(&mut self, server: &ServerName, model: &ModelName) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let slot = engine.slots.get_mut(model);
        if let Some(slot) = slot.filter(|slot| slot.phase == Phase::Ready) {
            slot.is_suspect = true;
            engine.needs_report = true;
        }
    }

    pub(super) fn ask_reports(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
        for (server, engine) in &mut self.engines {
            let age_ms = engine.report_asked.map(|asked| now.since(asked));
            let wait_ms = if engine.sequence.is_none() {
                self.config.report_lag_ms / 4
            } else if engine.is_empty() {
                self.config.empty_interval_ms
            } else if engine.needs_report {
                self.config.report_lag_ms
            } else if engine.has_unconfirmed() {
                self.config.confirm_interval_ms
            } else {
                self.config.report_interval_ms
            };
            if age_ms.is_none_or(|age_ms| age_ms >= wait_ms) {
                engine.report_asked = Some(now);
                actions.push(SlotAction::Report(server.clone()));
            }
        }
    }

    /// Handles an engine's report that was requested at `asked`.
    pub fn on_report(
        &mut self,
        server: &ServerName,
        report: &EngineReport,
        asked: MonoMs,
        now: MonoMs,
    ) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.confirm(report, asked, &mut self.load_limiter);
        engine.reported_bases.clone_from(&report.bases);
        // A report is a consistent snapshot: with the expected sequence it reflects all orders.
        let is_current = engine
            .sequence
            .is_none_or(|sequence| sequence == report.sequence);
        let is_quiet = asked.since(engine.last_order) >= self.config.report_lag_ms;
        if engine.has_open_order || !is_current && !is_quiet {
            return;
        }
        engine.needs_report = false;
        engine.conflicts = 0;
        let unresolved = engine.unresolved.as_ref();
        if unresolved.is_some_and(|order| report.sequence > order.expected_sequence) {
            engine.unresolved = None;
        }
        engine.sequence = Some(report.sequence);
        self.apply_report(server, report, now);
    }

    /// Replaces the planner's view of an engine by its report.
    pub(super) fn apply_report(&mut self, server: &ServerName, report: &EngineReport, now: MonoMs) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let reported = |model: &ModelName| {
            let mut all = report.adapters.iter().chain(&report.loading);
            all.any(|(other, _)| other == model)
        };
        let is_awaited = |model: &ModelName| {
            let unresolved = engine.unresolved.as_ref();
            unresolved.is_some_and(|order| order.load && order.model == *model)
        };
        let missing: Vec<ModelName> = engine
            .slots
            .keys()
            .filter(|model| !reported(model) && !is_awaited(model))
            .cloned()
            .collect();
        for model in missing {
            engine.slots.remove(&model);
            self.updates.push((server.clone(), model, 0, None));
        }
        let loading_ready = now.plus(REMAINING_LOAD_MS);
        let held = report.adapters.iter().map(|item| (item, MonoMs(0)));
        let loading = report.loading.iter().map(|item| (item, loading_ready));
        for ((model, version), ready) in held.chain(loading) {
            engine.remember(model);
            let phase = if ready == MonoMs(0) {
                Phase::Ready
            } else {
                Phase::Loading { ready }
            };
            match engine.slots.get_mut(model) {
                Some(slot) if slot.phase == phase && slot.version == *version => {}
                Some(slot) if slot.phase == Phase::Retiring && slot.version == *version => {}
                Some(slot) if phase != Phase::Ready && slot.is_loading(now) => {}
                Some(slot) if phase != Phase::Ready && slot.phase == Phase::Unloading => {}
                Some(slot) => {
                    slot.phase = phase;
                    slot.version = *version;
                    self.updates
                        .push((server.clone(), model.clone(), *version, Some(ready)));
                }
                None => {
                    let mut slot = Slot::new(phase, *version, now);
                    slot.is_confirmed = phase == Phase::Ready;
                    engine.slots.insert(model.clone(), slot);
                    self.updates
                        .push((server.clone(), model.clone(), *version, Some(ready)));
                }
            }
        }
    }
}
