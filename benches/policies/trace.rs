//! Seeded traces of request arrivals.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use medlarlift::types::Patience;

/// Share of the traffic of each client account in percent, which is also its weight.
pub const ACCOUNTS: [u32; 5] = [40, 25, 15, 10, 10];
/// Account that temporarily exceeds its rate.
pub const OVERLOADING_ACCOUNT: usize = 2;
/// Factor by which that account exceeds its rate.
const OVERLOAD_FACTOR: f64 = 5.0;

/// Configuration of a trace. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct TraceConfig {
    pub name: &'static str,
    pub seed: u64,
    /// Start of the arrivals. Must be later than the longest request after the start of the VM.
    pub start_ms: u64,
    pub end_ms: u64,
    pub adapters: u32,
    /// Exponent of the Zipf distribution.
    pub exponent: f64,
    pub urgent_per_s: f64,
    /// Mean number of consecutive urgent requests of one user to one adapter.
    pub session_requests: f64,
    pub think_ms: f64,
    pub batches_per_s: f64,
    pub batch_items: u32,
    pub batch_due_ms: u64,
    pub shift_ms: u64,
    pub overload_from_ms: u64,
    pub overload_until_ms: u64,
    pub restart_ms: u64,
    pub engine_slots: u32,
    pub loads_per_s: f64,
}

/// Arrival of one request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub account: usize,
    pub class: Patience,
    pub adapter: u32,
    pub tokens: u64,
    pub service_ms: u64,
    pub deadline_ms: u64,
    /// Whether the request is within the account's rate.
    pub entitled: bool,
    /// Whether the request is urgent or the first of a patient batch.
    pub first: bool,
}

/// Samples adapter ranks from a Zipf distribution.
struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    fn new(count: u32, exponent: f64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=count).map(|rank| f64::from(rank).powf(-exponent));
        let cumulative = weights
            .map(|weight| {
                sum += weight;
                sum
            })
            .collect();
        Self { cumulative }
    }

    fn rank(&self, rng: &mut StdRng) -> u32 {
        let total = self.cumulative[self.cumulative.len() - 1];
        let point = rng.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum <= point);
        u32::try_from(rank).unwrap_or(0)
    }
}

/// Returns the account that owns an adapter.
fn owner(adapter: u32) -> usize {
    let mut point = adapter.wrapping_mul(2_654_435_761) >> 8;
    point %= 100;
    for (account, percent) in ACCOUNTS.iter().enumerate() {
        if point < *percent {
            return account;
        }
        point -= percent;
    }
    0
}

/// Generates the arrivals of a trace in chronological order.
pub fn arrivals(config: &TraceConfig) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(config.seed);
    let zipf = Zipf::new(config.adapters, config.exponent);
    let mut all = Vec::new();
    for (account, percent) in ACCOUNTS.iter().enumerate() {
        let part = f64::from(*percent) / 100.0;
        let sessions_per_s = config.urgent_per_s * part / config.session_requests;
        let overloading = account == OVERLOADING_ACCOUNT;
        let mut at = config.start_ms as f64;
        while at < config.end_ms as f64 {
            let in_overload = overloading
                && (config.overload_from_ms as f64..config.overload_until_ms as f64).contains(&at);
            let factor = if in_overload { OVERLOAD_FACTOR } else { 1.0 };
            at += sample_exponential(1_000.0 / (sessions_per_s * factor), &mut rng);
            let entitled = !in_overload || rng.random::<f64>() < 1.0 / OVERLOAD_FACTOR;
            let adapter = sample_adapter(account, at as u64, config, &zipf, &mut rng);
            push_session(account, at, adapter, entitled, config, &mut all, &mut rng);
        }
        let mut at = config.start_ms as f64;
        while config.batches_per_s > 0.0 && at < config.end_ms as f64 {
            at += sample_exponential(1_000.0 / (config.batches_per_s * part), &mut rng);
            let adapter = sample_adapter(account, at as u64, config, &zipf, &mut rng);
            push_batch(account, at as u64, adapter, config, &mut all, &mut rng);
        }
    }
    all.retain(|arrival| arrival.at_ms < config.end_ms);
    all.sort_by_key(|arrival| (arrival.at_ms, arrival.account, arrival.adapter));
    all
}

fn sample_adapter(
    account: usize,
    at_ms: u64,
    config: &TraceConfig,
    zipf: &Zipf,
    rng: &mut StdRng,
) -> u32 {
    let shift = if at_ms >= config.shift_ms {
        config.adapters / 2
    } else {
        0
    };
    loop {
        let rank = zipf.rank(rng);
        let adapter = (rank * 7 + shift) % config.adapters;
        if owner(adapter) == account {
            return adapter;
        }
    }
}

fn push_session(
    account: usize,
    start: f64,
    adapter: u32,
    entitled: bool,
    config: &TraceConfig,
    all: &mut Vec<Arrival>,
    rng: &mut StdRng,
) {
    let mut at = start;
    loop {
        let at_ms = at as u64;
        all.push(Arrival {
            at_ms,
            account,
            class: Patience::Urgent,
            adapter,
            tokens: 400,
            service_ms: 600 + rng.random_range(0..400),
            deadline_ms: at_ms + 10_000,
            entitled,
            first: true,
        });
        if rng.random::<f64>() * config.session_requests < 1.0 {
            return;
        }
        at += sample_exponential(config.think_ms, rng);
    }
}

fn push_batch(
    account: usize,
    at_ms: u64,
    adapter: u32,
    config: &TraceConfig,
    all: &mut Vec<Arrival>,
    rng: &mut StdRng,
) {
    for item in 0..config.batch_items {
        all.push(Arrival {
            at_ms,
            account,
            class: Patience::Patient,
            adapter,
            tokens: 800,
            service_ms: 1_000 + rng.random_range(0..1_000),
            deadline_ms: at_ms + config.batch_due_ms,
            entitled: true,
            first: item == 0,
        });
    }
}

fn sample_exponential(mean: f64, rng: &mut StdRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
