//! Report of the load tool.

use std::fmt::Write;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use crate::configs::standin_callers::CallerAccount;
use crate::configs::standin_callers::CallerSettings;

use super::callers_plan::PlannedRequest;
use super::callers_plan::RequestClass;
use super::callers_run::RequestOutcome;
use super::callers_run::RequestRecord;

/// Largest value that the histograms record, in milliseconds.
const MAX_RECORDED_MS: u64 = 3_600_000;

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Maximum number of mismatch reasons in a [`ClassReport`].
const MAX_MISMATCH_REASONS: usize = 3;

/// Counts of one class of one account, or of all accounts or classes together.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassReport {
    /// Requests sent.
    pub sent: u64,
    /// Complete and correct answers.
    pub answered: u64,
    /// Refused requests.
    pub refused: u64,
    /// Requests refused while the account was within its rate and burst.
    pub wrongfully_refused: u64,
    /// Answers after the deadline.
    pub late: u64,
    /// Errors that do not tell whether the request ran.
    pub unknown: u64,
    /// Requests without a final response.
    pub lost: u64,
    /// Answers that are incomplete, belong to another request or differ from the recorded answer.
    pub mismatched: u64,
    /// Urgent requests that waited for an adapter load: the adapter became resident after they were
    /// sent.
    pub load_stalls: u64,
    /// Attempts beyond the first.
    pub resends: u64,
    /// Connections that broke before the complete answer arrived.
    pub cut: u64,
    /// Deliberate resends of answered orders that were refused.
    pub resend_refusals: u64,
    /// Median time to the first token in milliseconds.
    pub first_token_p50_ms: u64,
    /// 99th percentile of the time to the first token in milliseconds.
    pub first_token_p99_ms: u64,
    /// Refusals and unknown outcomes by error code.
    pub codes: IndexMap<String, u64>,
    /// Reasons of the first mismatched answers.
    pub mismatch_reasons: Vec<String>,
    #[serde(skip)]
    first_token: LatencyHistogram,
}

#[derive(Clone, Debug)]
struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        // The constructor accepts these constant bounds.
        let histogram = Histogram::new_with_max(MAX_RECORDED_MS, HISTOGRAM_DIGITS);
        Self(histogram.expect("valid histogram bounds"))
    }
}

/// Counts of one account.
#[derive(Clone, Debug, Serialize)]
pub struct AccountReport {
    /// Tokens of all requests sent.
    pub sent_tokens: u64,
    /// Tokens that the account was entitled to: those sent, up to its rate and burst.
    pub entitled_tokens: u64,
    /// Tokens of the answered requests.
    pub served_tokens: u64,
    /// Ratio of served to entitled tokens, at most 1.
    pub served_ratio: f64,
    /// Counts by class.
    pub classes: IndexMap<RequestClass, ClassReport>,
    #[serde(skip)]
    bucket: LeakyBucket,
}

/// Leaky bucket that drains at the rate of an account.
#[derive(Clone, Debug)]
struct LeakyBucket {
    rate_tokens_per_s: f64,
    burst_tokens: f64,
    level_tokens: f64,
    at_ms: u64,
}

impl LeakyBucket {
    fn new(account: &CallerAccount) -> Self {
        Self {
            rate_tokens_per_s: account.rate_tokens_per_s as f64,
            burst_tokens: account.burst_tokens as f64,
            level_tokens: 0.0,
            at_ms: 0,
        }
    }

    /// Adds `tokens` and returns whether the account is within its rate and burst.
    fn charge(&mut self, at_ms: u64, tokens: u64) -> bool {
        let elapsed_s = at_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.at_ms = at_ms;
        let drained_tokens = elapsed_s * self.rate_tokens_per_s;
        self.level_tokens = (self.level_tokens - drained_tokens).max(0.0) + tokens as f64;
        self.level_tokens <= self.burst_tokens
    }
}

/// The account with the lowest ratio of served to entitled tokens.
#[derive(Clone, Debug, Serialize)]
pub struct WorstServed {
    /// Name of the account.
    pub account: String,
    /// Ratio of served to entitled tokens.
    pub ratio: f64,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the plan.
    pub seed: u64,
    /// Length of the send phase in milliseconds.
    pub duration_ms: u64,
    /// All accounts and classes together.
    pub totals: ClassReport,
    /// All accounts together by class.
    pub classes: IndexMap<RequestClass, ClassReport>,
    /// Ids of orders whose last response reports that they did not run.
    pub orders_not_run: Vec<String>,
    /// Ids of orders that were answered.
    pub orders_answered: Vec<String>,
    /// The account with the lowest ratio of served to entitled tokens.
    pub worst_served: Option<WorstServed>,
    /// Counts by account.
    pub accounts: IndexMap<String, AccountReport>,
}

impl Report {
    /// Builds the report from the records of all requests, in the order of sending.
    pub fn new(settings: &CallerSettings, records: &[(PlannedRequest, RequestRecord)]) -> Self {
        let account = |account: &CallerAccount| {
            let report = AccountReport {
                sent_tokens: 0,
                entitled_tokens: 0,
                served_tokens: 0,
                served_ratio: 1.0,
                classes: IndexMap::new(),
                bucket: LeakyBucket::new(account),
            };
            (account.name.clone(), report)
        };
        let mut report = Self {
            seed: settings.seed,
            duration_ms: settings.duration_ms,
            totals: ClassReport::default(),
            classes: IndexMap::new(),
            orders_not_run: Vec::new(),
            orders_answered: Vec::new(),
            worst_served: None,
            accounts: settings.accounts.iter().map(account).collect(),
        };
        for (planned, record) in records {
            report.add(settings, planned, record);
        }
        report.finish(settings);
        report
    }

    fn add(&mut self, settings: &CallerSettings, planned: &PlannedRequest, record: &RequestRecord) {
        let name = &settings.accounts[planned.account].name;
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        let cost = planned.cost_tokens();
        let within_rate = account.bucket.charge(planned.at_ms, cost);
        account.sent_tokens += cost;
        if record.outcome == RequestOutcome::Answered {
            account.served_tokens += cost;
        }
        let late = is_late(settings, planned.class, record);
        let class = account.classes.entry(planned.class).or_default();
        class.add(planned.class, record, within_rate, late);
        let class = self.classes.entry(planned.class).or_default();
        class.add(planned.class, record, within_rate, late);
        self.totals.add(planned.class, record, within_rate, late);
        let ids = match record.outcome {
            RequestOutcome::Answered => &mut self.orders_answered,
            RequestOutcome::Refused { .. } => &mut self.orders_not_run,
            _ => return,
        };
        ids.extend(record.order_id.clone());
    }

    fn finish(&mut self, settings: &CallerSettings) {
        self.totals.finish();
        self.classes.sort_unstable_keys();
        self.classes.values_mut().for_each(ClassReport::finish);
        for (account, report) in settings.accounts.iter().zip(self.accounts.values_mut()) {
            let rate_tokens = account.rate_tokens_per_s * settings.duration_ms / 1_000;
            let allowed = rate_tokens + account.burst_tokens;
            report.entitled_tokens = report.sent_tokens.min(allowed);
            if report.entitled_tokens > 0 {
                let ratio = report.served_tokens as f64 / report.entitled_tokens as f64;
                report.served_ratio = ratio.min(1.0);
            }
            report.classes.sort_unstable_keys();
            report.classes.values_mut().for_each(ClassReport::finish);
        }
        let served = self
            .accounts
            .iter()
            .filter(|(_, report)| report.entitled_tokens > 0);
        let worst = served.min_by(|a, b| a.1.served_ratio.total_cmp(&b.1.served_ratio));
        self.worst_served = worst.map(|(name, report)| WorstServed {
            account: name.clone(),
            ratio: report.served_ratio,
        });
    }

    /// The report as a human-readable table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<14} {:<9} {:>6} {:>8} {:>7} {:>8} {:>5} {:>7} {:>5} {:>10} {:>6} {:>8} {:>8}\n",
            "account",
            "class",
            "sent",
            "answered",
            "refused",
            "wrongful",
            "late",
            "unknown",
            "lost",
            "mismatched",
            "stalls",
            "p50 ms",
            "p99 ms",
        );
        for (name, account) in &self.accounts {
            for (class, report) in &account.classes {
                report.write_row(&mut text, name, class.as_str());
            }
        }
        self.totals.write_row(&mut text, "all", "all");
        for (name, account) in &self.accounts {
            let ratio = account.served_ratio;
            let (served, entitled) = (account.served_tokens, account.entitled_tokens);
            let line = format!("{name}: {served} of {entitled} entitled tokens ({ratio:.3})\n");
            text.push_str(&line);
        }
        for reason in &self.totals.mismatch_reasons {
            let line = format!("mismatched: {reason}\n");
            text.push_str(&line);
        }
        text
    }
}

fn is_late(settings: &CallerSettings, class: RequestClass, record: &RequestRecord) -> bool {
    let limit_ms = match class {
        RequestClass::Patient => settings.patient_deadline_ms,
        _ => settings.urgent_deadline_ms,
    };
    let first_ms = record.first_token_ms.unwrap_or(record.total_ms);
    record.outcome == RequestOutcome::Answered && first_ms > limit_ms
}

impl ClassReport {
    fn add(&mut self, class: RequestClass, record: &RequestRecord, within_rate: bool, late: bool) {
        self.sent += 1;
        self.resends += record.resends;
        self.cut += record.broken_connections;
        self.resend_refusals += u64::from(record.resend_refused);
        self.late += u64::from(late);
        let urgent = matches!(class, RequestClass::Live | RequestClass::Streamed);
        self.load_stalls += u64::from(urgent && record.stalled);
        match &record.outcome {
            RequestOutcome::Answered => {
                self.answered += 1;
                let first_ms = record.first_token_ms.unwrap_or(record.total_ms);
                self.first_token.0.saturating_record(first_ms);
            }
            RequestOutcome::Refused { code } => {
                self.refused += 1;
                self.wrongfully_refused += u64::from(within_rate);
                *self.codes.entry(code.clone()).or_default() += 1;
            }
            RequestOutcome::Unknown { code } => {
                self.unknown += 1;
                *self.codes.entry(code.clone()).or_default() += 1;
            }
            RequestOutcome::Lost => self.lost += 1,
            RequestOutcome::Mismatched { reason } => {
                self.mismatched += 1;
                if self.mismatch_reasons.len() < MAX_MISMATCH_REASONS {
                    self.mismatch_reasons.push(reason.clone());
                }
            }
        }
    }

    fn finish(&mut self) {
        self.first_token_p50_ms = self.first_token.0.value_at_quantile(0.5);
        self.first_token_p99_ms = self.first_token.0.value_at_quantile(0.99);
    }

    fn write_row(&self, text: &mut String, account: &str, class: &str) {
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{account:<14} {class:<9} {:>6} {:>8} {:>7} {:>8} {:>5} {:>7} {:>5} {:>10} {:>6} \
             {:>8} {:>8}",
            self.sent,
            self.answered,
            self.refused,
            self.wrongfully_refused,
            self.late,
            self.unknown,
            self.lost,
            self.mismatched,
            self.load_stalls,
            self.first_token_p50_ms,
            self.first_token_p99_ms,
        );
    }
}
