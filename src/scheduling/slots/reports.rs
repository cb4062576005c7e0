//! Reports of engines, and refusals that show that a view is wrong.

use super::engine::EngineReport;
use super::engine::Phase;
use super::engine::Place;
use super::planner::Planner;
use super::types::SlotAction;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Time that a load is expected to last that should have ended or was begun by another holder.
const LOAD_LEFT_MS: u64 = 80;
impl Planner {
    /// An engine refused a request because the adapter is not there.
    pub fn note_missing(&mut self, server: &ServerName, model: &ModelName) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let place = engine.places.get_mut(model);
        if let Some(place) = place.filter(|place| place.phase == Phase::Ready) {
            place.is_doubted = true;
            engine.needs_report = true;
        }
    }

    pub(super) fn ask_reports(&mut self, now: MonoMs, actions: &mut Vec<SlotAction>) {
        for (server, engine) in &mut self.engines {
            let age_ms = engine.report_asked.map(|asked| now.since(asked));
            let wait_ms = if engine.sequence.is_none() {
                self.config.report_lag_ms / 4
            } else if engine.is_empty() {
                self.config.empty_every_ms
            } else if engine.needs_report {
                self.config.report_lag_ms
            } else if engine.has_unconfirmed() {
                self.config.confirm_every_ms
            } else {
                self.config.report_every_ms
            };
            if age_ms.is_none_or(|age_ms| age_ms >= wait_ms) {
                engine.report_asked = Some(now);
                actions.push(SlotAction::Report(server.clone()));
            }
        }
    }

    /// Takes an engine's report that was asked for at `asked`.
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
        engine.confirm(report, asked, &mut self.pace);
        engine.reported_bases.clone_from(&report.bases);
        // The report shows one moment: a list that comes with the expected sequence lacks no order.
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
        self.adopt(server, report, now);
    }

    /// Replaces the view of an engine by its report.
    pub(super) fn adopt(&mut self, server: &ServerName, report: &EngineReport, now: MonoMs) {
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
            .places
            .keys()
            .filter(|model| !reported(model) && !is_awaited(model))
            .cloned()
            .collect();
        for model in missing {
            engine.places.remove(&model);
            self.news.push((server.clone(), model, 0, None));
        }
        let loading_ready = now.plus(LOAD_LEFT_MS);
        let held = report.adapters.iter().map(|item| (item, MonoMs(0)));
        let loading = report.loading.iter().map(|item| (item, loading_ready));
        for ((model, version), ready) in held.chain(loading) {
            engine.remember(model);
            let phase = if ready == MonoMs(0) {
                Phase::Ready
            } else {
                Phase::Loading { ready }
            };
            match engine.places.get_mut(model) {
                Some(place) if place.phase == phase && place.version == *version => {}
                Some(place) if place.phase == Phase::Retiring && place.version == *version => {}
                Some(place) if phase != Phase::Ready && place.is_loading(now) => {}
                Some(place) if phase != Phase::Ready && place.phase == Phase::Unloading => {}
                Some(place) => {
                    place.phase = phase;
                    place.version = *version;
                    self.news
                        .push((server.clone(), model.clone(), *version, Some(ready)));
                }
                None => {
                    let mut place = Place::new(phase, *version, now);
                    place.is_confirmed = phase == Phase::Ready;
                    engine.places.insert(model.clone(), place);
                    self.news
                        .push((server.clone(), model.clone(), *version, Some(ready)));
                }
            }
        }
    }
}
