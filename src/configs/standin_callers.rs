//! Settings of the load tool.

use std::net::SocketAddr;

use super::Reader;
use super::standin_engine::MAX_TIME_MS;

/// Settings of the load tool.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerSettings {
    /// Caller addresses of the VMs.
    pub vms: Vec<SocketAddr>,
    /// Seed of the random plan; the same seed gives the same requests at the same times.
    pub seed: u64,
    /// Time during which requests are sent, in milliseconds.
    pub duration_ms: u64,
    /// Total request rate of all accounts that do not set `times_rate`, per second.
    pub requests_per_s: f64,
    /// Accounts that send requests.
    pub accounts: Vec<CallerAccount>,
    /// Mix of request classes.
    pub mix: CallerMix,
    /// Name of the base model.
    pub base: String,
    /// Number of adapters, named `a00000@1` upwards.
    pub adapters: u64,
    /// Exponent of the Zipf distribution of adapter popularity; 0 is uniform.
    pub zipf_exponent: f64,
    /// Time at which other adapters become the popular ones, in milliseconds.
    pub shift_at_ms: Option<u64>,
    /// Shortest prompt in tokens of four bytes.
    pub prompt_tokens_min: u64,
    /// Longest prompt in tokens of four bytes.
    pub prompt_tokens_max: u64,
    /// Smallest number of output tokens.
    pub output_tokens_min: u64,
    /// Largest number of output tokens.
    pub output_tokens_max: u64,
    /// Time after which an urgent request is late, in milliseconds.
    pub urgent_deadline_ms: u64,
    /// Time after which patient work is late, in milliseconds.
    pub patient_deadline_ms: u64,
    /// Time after which a request without a final answer counts as lost, in milliseconds.
    pub give_up_ms: u64,
    /// Path of orders on the VMs.
    pub order_path: String,
    /// Path of lookups on the VMs.
    pub lookup_path: String,
    /// Number of VMs through which one order in four is sent concurrently; 1 sends one after the
    /// other.
    pub order_together_vms: u64,
    /// Time after which one order in four has its connection closed before it is resent to another
    /// VM, in milliseconds.
    pub order_abandon_ms: Option<u64>,
}

/// One client account of the load tool.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerAccount {
    /// Name in the report.
    pub name: String,
    /// Key sent with each request.
    pub key: String,
    /// Weight of the account in the total request rate.
    pub share: f64,
    /// Token rate that the account is entitled to, per second; refusals below it are wrongful.
    pub rate_tokens_per_s: u64,
    /// Burst size of the account in tokens.
    pub burst_tokens: u64,
    /// Multiple of the account's token rate that is sent instead of its share of the request rate.
    pub times_rate: Option<f64>,
}

/// Weights of the request classes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerMix {
    /// Urgent completions answered as a whole.
    pub live: f64,
    /// Urgent completions answered as a stream.
    pub streamed: f64,
    /// Patient jobs.
    pub patient: f64,
    /// Orders, which must run at most once.
    pub order: f64,
    /// Lookups, which may be repeated.
    pub lookup: f64,
}

impl Default for CallerMix {
    fn default() -> Self {
        Self {
            live: 4.0,
            streamed: 3.0,
            patient: 1.0,
            order: 1.0,
            lookup: 1.0,
        }
    }
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            vms: Vec::new(),
            seed: 1,
            duration_ms: 20_000,
            requests_per_s: 40.0,
            accounts: Vec::new(),
            mix: CallerMix::default(),
            base: "base".to_owned(),
            adapters: 60,
            zipf_exponent: 1.0,
            shift_at_ms: None,
            prompt_tokens_min: 16,
            prompt_tokens_max: 64,
            output_tokens_min: 8,
            output_tokens_max: 32,
            urgent_deadline_ms: 10_000,
            patient_deadline_ms: 30_000,
            give_up_ms: 20_000,
            order_path: "/services/records/orders".to_owned(),
            lookup_path: "/services/records/lookup".to_owned(),
            order_together_vms: 1,
            order_abandon_ms: None,
        }
    }
}

impl CallerSettings {
    /// Reads the settings from `reader`.
    pub fn read(reader: &mut Reader<'_>) -> Self {
        let default = Self::default();
        let settings = Self {
            vms: reader.addresses("vms"),
            seed: reader.u64("seed", default.seed, 0..=u64::MAX),
            duration_ms: reader.u64("duration_ms", default.duration_ms, 1..=MAX_TIME_MS),
            requests_per_s: reader.f64("requests_per_s", default.requests_per_s, 0.1..=2_000.0),
            accounts: reader.list("accounts", CallerAccount::read),
            mix: reader.object("mix", CallerMix::read),
            base: reader.text("base", &default.base),
            adapters: reader.u64("adapters", default.adapters, 1..=100_000),
            zipf_exponent: reader.f64("zipf_exponent", default.zipf_exponent, 0.0..=5.0),
            shift_at_ms: reader.optional_u64("shift_at_ms", 0..=MAX_TIME_MS),
            order_path: reader.text("order_path", &default.order_path),
            lookup_path: reader.text("lookup_path", &default.lookup_path),
            order_together_vms: reader.u64("order_together_vms", 1, 1..=16),
            order_abandon_ms: reader.optional_u64("order_abandon_ms", 1..=MAX_TIME_MS),
            ..default
        };
        let settings = settings.read_sizes_and_times(reader);
        settings.check_required_lists(reader);
        settings
    }

    fn read_sizes_and_times(self, reader: &mut Reader<'_>) -> Self {
        let prompt_min = reader.u64("prompt_tokens_min", self.prompt_tokens_min, 4..=100_000);
        let output_min = reader.u64("output_tokens_min", self.output_tokens_min, 1..=4_096);
        let prompt_max = self.prompt_tokens_max.max(prompt_min);
        let output_max = self.output_tokens_max.max(output_min);
        let urgent_ms = self.urgent_deadline_ms;
        let patient_ms = self.patient_deadline_ms;
        Self {
            prompt_tokens_min: prompt_min,
            prompt_tokens_max: reader.u64("prompt_tokens_max", prompt_max, prompt_min..=100_000),
            output_tokens_min: output_min,
            output_tokens_max: reader.u64("output_tokens_max", output_max, output_min..=4_096),
            urgent_deadline_ms: reader.u64("urgent_deadline_ms", urgent_ms, 1..=MAX_TIME_MS),
            patient_deadline_ms: reader.u64("patient_deadline_ms", patient_ms, 1..=MAX_TIME_MS),
            give_up_ms: reader.u64("give_up_ms", self.give_up_ms, 1..=MAX_TIME_MS),
            ..self
        }
    }

    fn check_required_lists(&self, reader: &mut Reader<'_>) {
        if !reader.is_set("vms") {
            reader.reject("vms", "missing", "a list of caller addresses of VMs");
        }
        if !reader.is_set("accounts") {
            reader.reject(
                "accounts",
                "missing",
                "a list of accounts with name and key",
            );
        }
    }
}

impl CallerAccount {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            name: reader.required_text("name"),
            key: reader.required_secret("key"),
            share: reader.f64("share", 1.0, 0.0..=1_000.0),
            rate_tokens_per_s: reader.required_u64("rate_tokens_per_s", 1..=1_000_000_000),
            burst_tokens: reader.required_u64("burst_tokens", 1..=1_000_000_000),
            times_rate: reader
                .is_set("times_rate")
                .then(|| reader.f64("times_rate", 1.0, 0.0..=100.0)),
        }
    }
}

impl CallerMix {
    fn read(reader: &mut Reader<'_>) -> Self {
        let default = Self::default();
        let mut weight = |name, default| reader.f64(name, default, 0.0..=1_000.0);
        Self {
            live: weight("live", default.live),
            streamed: weight("streamed", default.streamed),
            patient: weight("patient", default.patient),
            order: weight("order", default.order),
            lookup: weight("lookup", default.lookup),
        }
    }
}
