//! Tests of the simulated engine's batch in steps of a given length, without sockets.

use std::time::Duration;
use std::time::Instant;

use medlarlift::configs::standin_engine::EngineSettings;
use medlarlift::standin::engine_state::NewRequest;
use medlarlift::standin::engine_state::State;
use medlarlift::standin::engine_state::Step;

const MODEL: &str = "base:frames@3";
const LONG_STEP: Duration = Duration::from_millis(12);

/// An engine with two batch positions, driven step by step.
struct SteppedEngine {
    state: State,
    now: Instant,
}

impl SteppedEngine {
    fn new(kv_tokens: u64) -> Self {
        let settings = EngineSettings {
            token_us: 2_000,
            batch_positions: 2,
            batch_slowdown: 0.0,
            prefill_us_per_token: 0,
            kv_tokens,
            resident: vec![MODEL.to_owned()],
            ..EngineSettings::default()
        };
        Self {
            state: State::new(settings),
            now: Instant::now(),
        }
    }

    fn submit(&mut self, request_id: &str, max_tokens: u64) {
        let request = NewRequest {
            request_id: request_id.to_owned(),
            model: MODEL.to_owned(),
            prompt: "p".to_owned(),
            max_tokens,
            priority: 1,
        };
        self.state.submit(request).expect("accepted");
    }

    /// Fills the batch and returns the planned length of its step, or `None` if nothing runs.
    fn begin_step(&mut self) -> Option<Duration> {
        match self.state.plan_step(self.now) {
            Step::Run(planned) => Some(planned),
            Step::Idle => None,
            Step::Crash => panic!("no request of this test crashes the engine"),
        }
    }

    fn end_step(&mut self, elapsed: Duration) {
        self.now += elapsed;
        self.state.finish_step(elapsed, self.now);
    }

    fn run_until_idle(&mut self) {
        while let Some(planned) = self.begin_step() {
            self.end_step(planned);
        }
    }

    /// Filled batch positions of all that there were while requests were queued.
    fn filled(&self) -> f64 {
        let counts = &self.state.counts;
        assert!(counts.waiting_position_us > 0, "{counts:?}");
        counts.waiting_filled_us as f64 / counts.waiting_position_us as f64
    }
}

/// Guards against a count that takes a request that arrives during a step, which no batch can
/// start before the next one, for a position left empty. On a machine that delays this step the
/// count fell below the bound of `batch_is_filled_by_priority`.
#[test]
fn a_request_that_arrives_during_a_long_step_counts_as_no_empty_position() {
    let mut engine = SteppedEngine::new(1_000_000);
    engine.submit("a", 20);
    engine.begin_step().expect("a step of a");
    engine.submit("b", 20);
    engine.submit("c", 20);
    engine.end_step(LONG_STEP);
    engine.run_until_idle();
    assert_eq!(engine.state.counts.finished, 3);
    assert!(engine.filled() > 0.9, "filled {}", engine.filled());
}

/// Guards against a count that misses a position that stays empty while a request is queued.
#[test]
fn a_position_left_empty_beside_a_queued_request_is_counted() {
    let mut engine = SteppedEngine::new(30);
    engine.submit("a", 20);
    engine.submit("b", 20);
    engine.run_until_idle();
    assert_eq!(engine.state.counts.finished, 2);
    assert!(engine.filled() < 0.6, "filled {}", engine.filled());
}
