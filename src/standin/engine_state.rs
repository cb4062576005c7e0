//! State of the simulated engine and its continuous batch.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::watch;

use crate::configs::standin_engine::EngineSettings;
use crate::types::Clock;

use super::answer;
use super::engine_cache::PrefixCache;
use super::engine_counts::EngineCounts;

/// Retention of load samples beyond the report lag.
const SAMPLE_SLACK: Duration = Duration::from_secs(2);

/// Progress of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// Output tokens produced.
    pub tokens: u64,
    /// Reason of the end, `None` while the request is open.
    pub end: Option<FinishReason>,
}

/// Reason why a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FinishReason {
    /// All requested tokens were produced.
    Finished,
    /// The request was cancelled.
    Cancelled,
    /// The engine crashed.
    Crashed,
}

/// One accepted completion request.
#[derive(Debug)]
pub struct Sequence {
    /// Request id assigned by the VM.
    pub request_id: String,
    /// Requested model.
    pub model: String,
    /// Digest of model and prompt.
    pub digest: String,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens to produce.
    pub max_tokens: u64,
    /// Incarnation of the engine that accepted it.
    pub incarnation: u64,
    /// Wall clock time at which the adapter became resident, in milliseconds.
    pub resident_since_unix_ms: u64,
    /// Progress of the request.
    pub progress: watch::Sender<Progress>,
    prefix_keys: Vec<String>,
    triggers_crash: bool,
}

impl Sequence {
    fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_tokens
    }

    fn end(&self, end: FinishReason) {
        self.progress.send_modify(|progress| {
            progress.end.get_or_insert(end);
        });
    }

    /// Whether the request has ended.
    pub fn has_ended(&self) -> bool {
        self.progress.borrow().end.is_some()
    }
}

/// A completion request as received.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Request id assigned by the VM.
    pub request_id: String,
    /// Requested model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens to produce.
    pub max_tokens: u64,
    /// Lower numbers run first.
    pub priority: u64,
}

/// Reason why a completion request was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// The adapter is not resident.
    NotResident,
    /// The request id is in use.
    DuplicateRequest,
    /// The queue is full.
    Overloaded,
}

/// A resident adapter.
#[derive(Clone, Copy, Debug)]
pub struct ResidentAdapter {
    /// Number of running or queued requests for the adapter.
    pub in_use: u64,
    /// Wall clock time at which it became resident, in milliseconds.
    pub since_unix_ms: u64,
}

#[derive(Debug)]
struct RunningSequence {
    sequence: Arc<Sequence>,
    prefill_left_us: u64,
}

/// Load of the engine at one point in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadSample {
    /// Number of running requests.
    pub running: u64,
    /// Number of queued requests.
    pub queued: u64,
    /// Free KV cache capacity in tokens.
    pub free_kv_tokens: u64,
}

/// Next action of the batch loop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing to run.
    Idle,
    /// Run one step of this duration.
    Run(Duration),
    /// The next request crashes the engine.
    Crash,
}

/// State of one engine. A crash clears requests, adapters, prefix cache, load samples and the
/// highest fencing token; counters and clock remain.
#[derive(Debug)]
pub struct State {
    /// Settings.
    pub settings: EngineSettings,
    /// Increases with each start.
    pub incarnation: u64,
    /// Whether the engine is between a crash and its restart.
    pub down: bool,
    /// Start of draining, if the engine is shutting down.
    pub draining_since: Option<Instant>,
    /// Resident adapters.
    pub resident: IndexMap<String, ResidentAdapter>,
    /// Adapters that are being loaded.
    pub loading: Vec<String>,
    /// Highest fencing token seen by this incarnation.
    pub highest_fence: u64,
    /// Role set by the last role command.
    pub role: String,
    /// Counters.
    pub counts: EngineCounts,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Random source of injected failures.
    pub rng: StdRng,
    clock: Clock,
    waiting: BTreeMap<(u64, u64), Arc<Sequence>>,
    arrivals: u64,
    running: Vec<RunningSequence>,
    /// Whether requests were left queued when the current step's batch was filled.
    queued_at_step_start: bool,
    used_kv_tokens: u64,
    requests: HashMap<String, Arc<Sequence>>,
    ended: VecDeque<(Instant, String)>,
    samples: VecDeque<(Instant, LoadSample)>,
}

impl State {
    /// State of a newly started engine.
    pub fn new(settings: EngineSettings) -> Self {
        let clock = Clock::start();
        let now_ms = clock.unix().0;
        let since = |name: &String| {
            let resident = ResidentAdapter {
                in_use: 0,
                since_unix_ms: now_ms,
            };
            (name.clone(), resident)
        };
        let resident = settings.resident.iter().map(since).collect();
        let cache = PrefixCache::new(settings.prefix_cache_tokens, settings.cache_event_gap_ratio);
        let rng = StdRng::seed_from_u64(settings.seed);
        Self {
            settings,
            incarnation: now_ms,
            down: false,
            draining_since: None,
            resident,
            loading: Vec::new(),
            highest_fence: 0,
            role: "any".to_owned(),
            counts: EngineCounts::default(),
            cache,
            rng,
            clock,
            waiting: BTreeMap::new(),
            arrivals: 0,
            running: Vec::new(),
            queued_at_step_start: false,
            used_kv_tokens: 0,
            requests: HashMap::new(),
            ended: VecDeque::new(),
            samples: VecDeque::new(),
        }
    }

    /// Wall clock time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        self.clock.unix().0
    }

    /// Number of running or queued requests.
    pub fn open_requests(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// An accepted request that is open or ended within the retention period.
    pub fn find(&self, request_id: &str) -> Option<Arc<Sequence>> {
        self.requests.get(request_id).cloned()
    }

    /// Accepts a completion request or returns the reason of its rejection.
    pub fn submit(&mut self, request: NewRequest) -> Result<Arc<Sequence>, RejectReason> {
        self.counts.requests += 1;
        if self.requests.contains_key(&request.request_id) {
            self.counts.doubled_request_ids += 1;
            return Err(RejectReason::DuplicateRequest);
        }
        let since_unix_ms = self.resident_since(&request.model).ok_or_else(|| {
            self.counts.not_resident += 1;
            RejectReason::NotResident
        })?;
        let waiting = u64::try_from(self.waiting.len()).unwrap_or(u64::MAX);
        if waiting >= self.settings.queue_limit {
            self.counts.overloaded += 1;
            return Err(RejectReason::Overloaded);
        }
        let priority = request.priority;
        let sequence = Arc::new(self.sequence(request, since_unix_ms));
        self.enqueue(sequence.clone(), priority);
        Ok(sequence)
    }

    /// Time at which `model` became resident. The base model without an adapter is always resident.
    fn resident_since(&self, model: &str) -> Option<u64> {
        if model == self.settings.base {
            return Some(0);
        }
        self.resident.get(model).map(|entry| entry.since_unix_ms)
    }

    fn sequence(&self, request: NewRequest, resident_since_unix_ms: u64) -> Sequence {
        let marker = self.settings.crash_marker.as_deref();
        Sequence {
            digest: answer::digest(&request.model, &request.prompt),
            prompt_tokens: answer::prompt_tokens(&request.prompt),
            prefix_keys: answer::prefix_keys(&request.model, &request.prompt),
            triggers_crash: marker.is_some_and(|marker| request.prompt.contains(marker)),
            max_tokens: request.max_tokens,
            request_id: request.request_id,
            model: request.model,
            incarnation: self.incarnation,
            resident_since_unix_ms,
            progress: watch::Sender::new(Progress {
                tokens: 0,
                end: None,
            }),
        }
    }

    fn enqueue(&mut self, sequence: Arc<Sequence>, priority: u64) {
        if let Some(resident) = self.resident.get_mut(&sequence.model) {
            resident.in_use += 1;
        }
        let by_adapter = &mut self.counts.requests_by_adapter;
        *by_adapter.entry(sequence.model.clone()).or_default() += 1;
        self.counts.prompt_tokens += sequence.prompt_tokens;
        self.requests
            .insert(sequence.request_id.clone(), sequence.clone());
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), sequence);
    }

    /// Cancels a request. Returns whether it was open and the tokens produced so far, or `None` for
    /// an unknown request.
    pub fn cancel(&mut self, request_id: &str, now: Instant) -> Option<(bool, u64)> {
        let sequence = self.find(request_id)?;
        let open = !sequence.has_ended();
        if open {
            self.counts.cancelled += 1;
            self.waiting
                .retain(|_, other| !Arc::ptr_eq(other, &sequence));
            self.remove_running(&sequence);
            self.finish_sequence(&sequence, FinishReason::Cancelled, now);
        }
        let tokens = sequence.progress.borrow().tokens;
        Some((open, tokens))
    }

    fn remove_running(&mut self, sequence: &Arc<Sequence>) {
        let found = self
            .running
            .iter()
            .position(|running| Arc::ptr_eq(&running.sequence, sequence));
        if let Some(index) = found {
            self.running.remove(index);
            self.used_kv_tokens -= sequence.kv_tokens();
        }
    }

    fn finish_sequence(&mut self, sequence: &Arc<Sequence>, end: FinishReason, now: Instant) {
        if let Some(resident) = self.resident.get_mut(&sequence.model) {
            resident.in_use = resident.in_use.saturating_sub(1);
        }
        sequence.end(end);
        self.ended.push_back((now, sequence.request_id.clone()));
    }

    /// Fills free batch positions and returns the next action of the batch loop.
    pub fn plan_step(&mut self, now: Instant) -> Step {
        self.remove_expired(now);
        while self.has_free_position() {
            let Some(entry) = self.waiting.first_entry() else {
                break;
            };
            let kv_tokens = entry.get().kv_tokens();
            let fits = self.used_kv_tokens + kv_tokens <= self.settings.kv_tokens;
            // A request larger than the whole KV cache runs alone instead of blocking the queue.
            if !fits && !self.running.is_empty() {
                break;
            }
            let sequence = entry.remove();
            if sequence.triggers_crash {
                return Step::Crash;
            }
            self.start(sequence, now);
        }
        self.queued_at_step_start = !self.waiting.is_empty();
        if self.running.is_empty() {
            Step::Idle
        } else {
            Step::Run(self.step_time())
        }
    }

    fn has_free_position(&self) -> bool {
        let running = u64::try_from(self.running.len()).unwrap_or(u64::MAX);
        running < self.settings.batch_positions
    }

    fn start(&mut self, sequence: Arc<Sequence>, now: Instant) {
        let keys = &sequence.prefix_keys;
        let cached = self.cache.cached_tokens(keys).min(sequence.prompt_tokens);
        self.counts.cached_tokens += cached;
        self.cache.store(keys, now, &mut self.rng);
        let uncached = sequence.prompt_tokens - cached;
        self.used_kv_tokens += sequence.kv_tokens();
        self.running.push(RunningSequence {
            prefill_left_us: uncached * self.settings.prefill_us_per_token,
            sequence,
        });
    }

    /// Time per token, which grows with the batch size by up to `batch_slowdown`.
    fn step_time(&self) -> Duration {
        let others = self.running.len().saturating_sub(1) as f64;
        let most_others = self.settings.batch_positions.saturating_sub(1).max(1) as f64;
        let growth = 1.0 + self.settings.batch_slowdown * others / most_others;
        Duration::from_micros(self.settings.token_us).mul_f64(growth)
    }

    /// Completes a step that took `elapsed`: every sequence past its prefill produces one token.
    pub fn finish_step(&mut self, elapsed: Duration, now: Instant) {
        let running_count = u64::try_from(self.running.len()).unwrap_or(u64::MAX);
        let positions = self.settings.batch_positions;
        self.counts
            .record_step(elapsed, running_count, positions, self.queued_at_step_start);
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let mut finished = Vec::new();
        for running in &mut self.running {
            if running.prefill_left_us > elapsed_us {
                running.prefill_left_us -= elapsed_us;
                continue;
            }
            running.prefill_left_us = 0;
            self.counts.output_tokens += 1;
            let max_tokens = running.sequence.max_tokens;
            let progress = &running.sequence.progress;
            // One update, so that no reader sees the last token without its finish reason.
            progress.send_modify(|progress| {
                progress.tokens += 1;
                if progress.tokens >= max_tokens {
                    progress.end = Some(FinishReason::Finished);
                }
            });
            if progress.borrow().end.is_some() {
                finished.push(running.sequence.clone());
            }
        }
        for sequence in finished {
            self.counts.finished += 1;
            self.remove_running(&sequence);
            self.finish_sequence(&sequence, FinishReason::Finished, now);
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        let retain = Duration::from_millis(self.settings.retain_ms);
        while let Some((at, _)) = self.ended.front() {
            if now.saturating_duration_since(*at) < retain {
                break;
            }
            if let Some((_, request_id)) = self.ended.pop_front() {
                self.requests.remove(&request_id);
            }
        }
    }

    /// Ends all open requests and clears the engine.
    pub fn crash(&mut self) {
        self.counts.crashes += 1;
        self.down = true;
        for sequence in self
            .requests
            .values()
            .filter(|sequence| !sequence.has_ended())
        {
            self.counts.lost_in_crash += 1;
            sequence.end(FinishReason::Crashed);
        }
        self.waiting.clear();
        self.running.clear();
        self.used_kv_tokens = 0;
        self.requests.clear();
        self.ended.clear();
        self.resident.clear();
        self.loading.clear();
        self.highest_fence = 0;
        self.samples.clear();
        let gap_ratio = self.settings.cache_event_gap_ratio;
        self.cache = PrefixCache::new(self.settings.prefix_cache_tokens, gap_ratio);
    }

    /// Restarts the cleared engine under a new incarnation.
    pub fn restart(&mut self) {
        self.incarnation = self.unix_ms().max(self.incarnation + 1);
        self.down = false;
    }

    /// Current load.
    pub fn load(&self) -> LoadSample {
        let used = self.used_kv_tokens;
        LoadSample {
            running: u64::try_from(self.running.len()).unwrap_or(u64::MAX),
            queued: u64::try_from(self.waiting.len()).unwrap_or(u64::MAX),
            free_kv_tokens: self.settings.kv_tokens.saturating_sub(used),
        }
    }

    /// Records a sample of the current load.
    pub fn sample_load(&mut self, now: Instant) {
        self.samples.push_back((now, self.load()));
        let keep = Duration::from_millis(self.settings.report_lag_ms) + SAMPLE_SLACK;
        let old = |at: Instant| now.saturating_duration_since(at) > keep;
        while self.samples.front().is_some_and(|(at, _)| old(*at)) {
            self.samples.pop_front();
        }
    }

    /// The newest load sample that is at least as old as the report lag, or else the oldest sample.
    pub fn reported_load(&self, now: Instant) -> LoadSample {
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        let aged = |(at, _): &&(Instant, LoadSample)| now.saturating_duration_since(*at) >= lag;
        let newest = self.samples.iter().rev().find(aged);
        let sample = newest.or(self.samples.front()).map(|(_, sample)| *sample);
        sample.unwrap_or_else(|| self.load())
    }
}
