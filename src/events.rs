//! Structured log on standard output, with one JSON object per line.
//!
//! Lines are queued in memory and written by a separate thread, so that a slow reader does not
//! delay requests. Each kind of line is rate limited; the next line of that kind counts the
//! suppressed ones. The limit for failures is higher than the one for routine lines.

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

/// Limit for routine lines of one kind.
const MAX_ROUTINE_LINES_PER_S: u32 = 120;
/// Limit for failure lines of one kind.
const MAX_FAILURE_LINES_PER_S: u32 = 200;
/// Capacity of the queue; lines beyond it are dropped and counted.
const MAX_QUEUED_BYTES: usize = 1024 * 1024;
/// Time for which lines are batched before they are written.
const FLUSH_INTERVAL_MS: u64 = 200;

/// Severity of a line, which selects its rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Served requests and changes that are expected.
    Routine,
    /// Refused and failed requests, and lost dependencies.
    Failure,
}

/// A kind of line. The fields of the line are those of the implementing type.
pub trait Event: Serialize {
    /// Name of the kind.
    const KIND: &'static str;

    /// Severity of this line.
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
            log::error!(
                "events: cannot start the writer thread; structured logging is off: {error}"
            );
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

    /// Queues a line, unless the rate limit or the capacity of the queue is reached.
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

    /// Waits until the queue has been passed to the writer, at most `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let Some(shared) = &self.shared else {
            return;
        };
        let step = Duration::from_millis(5);
        let mut waited = Duration::ZERO;
        while waited < timeout && !shared.state().queue.is_empty() {
            thread::sleep(step);
            waited += step;
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the rate limit. Returns the number of lines of this kind suppressed before this one,
    /// or `None` if this one is suppressed as well.
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
            // If standard output is closed, there is no other place to report the error.
            let _ = output.write_all(&text);
            if lost > 0 {
                let _ = writeln!(output, "{{\"event\":\"lines_lost\",\"lines\":{lost}}}");
            }
            let _ = output.flush();
        }
    }
}
