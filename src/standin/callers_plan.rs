//! Request plan of the load tool: which account sends which request at which time.

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::configs::standin_callers::CallerMix;
use crate::configs::standin_callers::CallerSettings;

/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Urgent completion answered in one response.
    Live,
    /// Urgent completion answered as a stream.
    Streamed,
    /// Patient job.
    Patient,
    /// Call of a plain service that must run at most once.
    Order,
    /// Call of a plain service that is safe to repeat.
    Lookup,
}

impl RequestClass {
    /// All classes in report order.
    pub const ALL: [Self; 5] = [
        Self::Live,
        Self::Streamed,
        Self::Patient,
        Self::Order,
        Self::Lookup,
    ];

    /// The name used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Streamed => "streamed",
            Self::Patient => "patient",
            Self::Order => "order",
            Self::Lookup => "lookup",
        }
    }

    /// Whether requests of the class use tokens.
    pub fn uses_tokens(self) -> bool {
        matches!(self, Self::Live | Self::Streamed | Self::Patient)
    }

    fn weight(self, mix: &CallerMix) -> f64 {
        match self {
            Self::Live => mix.live,
            Self::Streamed => mix.streamed,
            Self::Patient => mix.patient,
            Self::Order => mix.order,
            Self::Lookup => mix.lookup,
        }
    }
}

/// One request of the plan.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PlannedRequest {
    /// Unique within the plan.
    pub index: u64,
    /// Send time in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Index of the account in the settings.
    pub account: usize,
    /// The request class.
    pub class: RequestClass,
    /// Model, as `base:adapter@version`.
    pub model: String,
    /// Prompt of a completion, body text of an order, key of a lookup.
    pub prompt: String,
    /// Output tokens requested.
    pub output_tokens: u64,
    /// Index of the first VM to try.
    pub vm: usize,
}

impl PlannedRequest {
    /// Tokens that the request reserves: its prompt and its maximum output.
    pub fn cost_tokens(&self) -> u64 {
        if self.class.uses_tokens() {
            super::answer::prompt_tokens(&self.prompt) + self.output_tokens
        } else {
            0
        }
    }
}

/// Zipf distribution over ranks from 0.
struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    fn new(count: u64, exponent: f64) -> Self {
        let mut total = 0.0;
        let cumulative = (1..=count)
            .map(|rank| {
                total += (rank as f64).powf(-exponent);
                total
            })
            .collect();
        Self { cumulative }
    }

    fn draw(&self, rng: &mut impl Rng) -> u64 {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let point = rng.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum <= point);
        let last = self.cumulative.len().saturating_sub(1);
        u64::try_from(rank.min(last)).unwrap_or(0)
    }
}

/// All requests of a run, ordered by send time. The plan is a function of the settings.
pub fn plan(settings: &CallerSettings) -> Vec<PlannedRequest> {
    let zipf = Zipf::new(settings.adapters, settings.zipf_exponent);
    let mut planned = Vec::new();
    for (account, rate) in account_rates(settings).into_iter().enumerate() {
        // Each account has its own random sequence, so a change to one account does not alter the
        // requests of the others.
        let seed = settings.seed.wrapping_mul(1_000_003) + account as u64;
        let mut rng = StdRng::seed_from_u64(seed);
        for at_ms in arrivals(rate, settings.duration_ms, &mut rng) {
            planned.push(draw_request(settings, account, at_ms, &zipf, &mut rng));
        }
    }
    planned.sort_by_key(|request| request.at_ms);
    for (index, request) in (0..).zip(&mut planned) {
        request.index = index;
        request.prompt = build_prompt(settings, request);
    }
    planned
}

/// Request rate of each account per second.
fn account_rates(settings: &CallerSettings) -> Vec<f64> {
    let by_share = |account: &&_| account_share(account).is_some();
    let shares = settings.accounts.iter().filter(by_share);
    let total: f64 = shares.filter_map(account_share).sum();
    let per_request = mean_tokens(settings);
    let rate = |account| match account_share(account) {
        Some(share) if total > 0.0 => settings.requests_per_s * share / total,
        Some(_) => 0.0,
        None => {
            let times = account.times_rate.unwrap_or(1.0);
            times * account.rate_tokens_per_s as f64 / per_request
        }
    };
    settings.accounts.iter().map(rate).collect()
}

fn account_share(account: &crate::configs::standin_callers::CallerAccount) -> Option<f64> {
    account.times_rate.is_none().then_some(account.share)
}

/// Mean tokens per request over the class mix, at least 1.
fn mean_tokens(settings: &CallerSettings) -> f64 {
    let prompt = (settings.prompt_tokens_min + settings.prompt_tokens_max) as f64 / 2.0;
    let output = (settings.output_tokens_min + settings.output_tokens_max) as f64 / 2.0;
    let weight = |class: &RequestClass| class.weight(&settings.mix);
    let all: f64 = RequestClass::ALL.iter().map(weight).sum();
    let with_tokens = RequestClass::ALL.iter().filter(|class| class.uses_tokens());
    let share: f64 = with_tokens.map(weight).sum::<f64>() / all.max(f64::MIN_POSITIVE);
    ((prompt + output) * share).max(1.0)
}

/// Arrival times in milliseconds of a Poisson process with `rate` arrivals per second.
fn arrivals(rate: f64, duration_ms: u64, rng: &mut impl Rng) -> Vec<u64> {
    let mut times = Vec::new();
    if rate <= 0.0 {
        return times;
    }
    let mut at_ms = 0.0;
    loop {
        let gap_s = -(1.0 - rng.random::<f64>()).ln() / rate;
        at_ms += gap_s * 1_000.0;
        if at_ms >= duration_ms as f64 {
            return times;
        }
        times.push(at_ms as u64);
    }
}

fn draw_request(
    settings: &CallerSettings,
    account: usize,
    at_ms: u64,
    zipf: &Zipf,
    rng: &mut impl Rng,
) -> PlannedRequest {
    let rank = zipf.draw(rng);
    let shifted = settings.shift_at_ms.is_some_and(|shift| at_ms >= shift);
    // The shift swaps the popularity of the two halves of the adapters.
    let offset = if shifted { settings.adapters / 2 } else { 0 };
    let adapter = (rank + offset) % settings.adapters;
    let output = settings.output_tokens_min..=settings.output_tokens_max;
    let prompt_tokens = rng.random_range(settings.prompt_tokens_min..=settings.prompt_tokens_max);
    PlannedRequest {
        index: 0,
        at_ms,
        account,
        class: draw_class(&settings.mix, rng),
        model: format!("{}:a{adapter:05}@1", settings.base),
        // A placeholder of the planned length; the text follows when the index is known.
        prompt: "x".repeat((prompt_tokens * BYTES_PER_TOKEN) as usize),
        output_tokens: rng.random_range(output),
        vm: rng.random_range(0..settings.vms.len().max(1)),
    }
}

fn draw_class(mix: &CallerMix, rng: &mut impl Rng) -> RequestClass {
    let total: f64 = RequestClass::ALL
        .iter()
        .map(|class| class.weight(mix))
        .sum();
    let mut point = rng.random::<f64>() * total;
    for class in RequestClass::ALL {
        point -= class.weight(mix);
        if point < 0.0 {
            return class;
        }
    }
    RequestClass::Live
}

/// A prompt of the planned length: a prefix that all prompts of the adapter share and a suffix that
/// is unique to the request.
fn build_prompt(settings: &CallerSettings, request: &PlannedRequest) -> String {
    let unique = format!(" #{}-{}", settings.seed, request.index);
    let length = request.prompt.len().saturating_sub(unique.len());
    let shared = format!("Instructions for {}. ", request.model);
    let mut text: String = shared.chars().cycle().take(length).collect();
    text.push_str(&unique);
    text
}
