//! Structured log: one JSON object a line on standard output.
//!
//! Lines are queued in memory and written by a thread of their own, so a slow reader never delays
//! the work. Each kind of line has a budget per second; what is left out is counted in the next line
//! of that kind. Lines about failures have a larger budget than routine ones.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use serde::Serialize;

use crate::types::Clock;
use crate::types::MonoMs;
use crate::types::VmName;

/// Routine lines of one kind in a second.
const MAX_ROUTINE_LINES_PER_S: u32 = 120;
/// Lines about failures of one kind in a second.
const MAX_FAILURE_LINES_PER_S: u32 = 200;
/// Bytes that may wait to be written.
const MAX_QUEUED_BYTES: usize = 1024 * 1024;
/// Time for which lines are gathered before they are written.
const FLUSH_INTERVAL_MS: u64 = 200;

/// Whether a line may be left out early.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Served requests and changes that are expected.
    Routine,
    /// Refused and failed requests, and lost dependencies.
    Failure,
}

/// A kind of line. Its fields are those of the implementing type.
pub trait Event: Serialize {
    /// Name of the kind.
    const KIND: &'static str;

    /// Whether the line may be left out early.
    fn severity(&self) -> Severity;
}

/// The log of one process. Clones share it.
#[derive(Clone)]
pub struct EventLog {
    shared: Option<Arc<Shared>>,
}

struct Shared {
    vm: VmName,
    clock: Clock,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    queue: Vec<u8>,
    lost_lines: u64,
    budgets: HashMap<&'static str, Budget>,
}

#[derive(Default)]
struct Budget {
    window_start: MonoMs,
    emitted: u32,
    suppressed: u64,
}

#[derive(Serialize)]
struct Line<'a, E> {
    at_unix_ms: u64,
    at_ms: u64,
    vm: &'a VmName,
    event: &'static str,
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    #[serde(flatten)]
    fields: &'a E,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl EventLog {
    /// A log that writes to standard output.
    pub fn spawn(vm: VmName, clock: Clock) -> Self {
        let shared = Arc::new(Shared {
            vm,
            clock,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let writer = Arc::clone(&shared);
        let started = thread::Builder::new()
            .name("events".to_owned())
            .spawn(move || writer.run_writer());
        if let Err(error) = started {
            log::error!("events: the writer does not start, nothing is logged: {error}");
            return Self::disabled();
        }
        Self {
            shared: Some(shared),
        }
    }

    /// A log that writes nothing.
    pub fn disabled() -> Self {
        Self { shared: None }
    }

    /// Queues a line.
    pub fn emit<E: Event>(&self, event: &E) {
        let Some(shared) = &self.shared else {
            return;
        };
        let now = shared.clock.mono();
        let Some(left_out) = shared.admit(E::KIND, event.severity(), now) else {
            return;
        };
        let line = Line {
            at_unix_ms: shared.clock.unix().0,
            at_ms: now.0,
            vm: &shared.vm,
            event: E::KIND,
            left_out,
            fields: event,
        };
        if let Ok(mut text) = serde_json::to_vec(&line) {
            text.push(b'\n');
            shared.queue(&text);
        }
    }

    /// Waits until all queued lines are written, at most `wait`.
    pub fn flush(&self, wait: Duration) {
        let Some(shared) = &self.shared else {
            return;
        };
        let step = Duration::from_millis(5);
        let mut waited = Duration::ZERO;
        while waited < wait && !shared.state().queue.is_empty() {
            thread::sleep(step);
            waited += step;
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lines of this kind that were left out before this one; `None` if this one is too.
    fn admit(&self, kind: &'static str, severity: Severity, now: MonoMs) -> Option<u64> {
        let limit = match severity {
            Severity::Routine => MAX_ROUTINE_LINES_PER_S,
            Severity::Failure => MAX_FAILURE_LINES_PER_S,
        };
        let mut state = self.state();
        let budget = state.budgets.entry(kind).or_default();
        if now.since(budget.window_start) >= 1_000 {
            budget.window_start = now;
            budget.emitted = 0;
        }
        if budget.emitted >= limit {
            budget.suppressed += 1;
            return None;
        }
        budget.emitted += 1;
        Some(std::mem::take(&mut budget.suppressed))
    }

    fn queue(&self, text: &[u8]) {
        let mut state = self.state();
        if state.queue.len() + text.len() > MAX_QUEUED_BYTES {
            state.lost_lines += 1;
            return;
        }
        let was_empty = state.queue.is_empty();
        state.queue.extend_from_slice(text);
        if was_empty {
            self.changed.notify_one();
        }
    }

    fn run_writer(&self) {
        let mut output = io::stdout();
        loop {
            let mut state = self.state();
            while state.queue.is_empty() {
                state = self
                    .changed
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            drop(state);
            thread::sleep(Duration::from_millis(FLUSH_INTERVAL_MS));
            let mut state = self.state();
            let text = std::mem::take(&mut state.queue);
            let lost = std::mem::take(&mut state.lost_lines);
            drop(state);
            // A closed standard output leaves nowhere to report to.
            let _ = output.write_all(&text);
            if lost > 0 {
                let _ = writeln!(output, "{{\"event\":\"lines_lost\",\"lines\":{lost}}}");
            }
            let _ = output.flush();
        }
    }
}
