//! Histograms of timings per client account and patience class, and counters of outcomes.
//!
//! Both are sent to a statsd server if one is configured. The histograms are also kept in memory
//! for the administration API.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::MutexGuard;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Histogrammed;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::types::AccountName;
use crate::types::Patience;

/// Prefix of all metric names.
const PREFIX: &str = "medlarlift";
/// Largest value of the histograms in memory; longer times are recorded as this one.
const MAX_RECORDED_MS: u64 = 24 * 60 * 60 * 1_000;
/// Significant decimal digits of the histograms in memory.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A measured time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Timing {
    /// From acceptance to the first token.
    FirstToken,
    /// Queueing time of a request whose adapter had to be loaded.
    LoadStall,
    /// From acceptance to the last token.
    Total,
    /// Queueing time.
    Wait,
}

impl Timing {
    /// Name of the metric, without the common prefix.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstToken => "first_token_ms",
            Self::LoadStall => "load_stall_ms",
            Self::Total => "total_ms",
            Self::Wait => "wait_ms",
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The complete answer was sent.
    Answered,
    /// The answer was cut off, or it is not known whether the request ran.
    Failed,
    /// The caller disconnected.
    #[serde(rename = "left")]
    CallerDisconnected,
    /// The request was refused and did not run.
    Refused,
}

impl RequestOutcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::CallerDisconnected => "left",
            Self::Refused => "refused",
        }
    }
}

#[derive(Default)]
struct TimingHistograms {
    timings: BTreeMap<(AccountName, Patience, Timing), Histogram<u64>>,
}

/// Records timings and outcomes.
pub struct Metrics {
    statsd: StatsdClient,
    histograms: Mutex<TimingHistograms>,
}

/// Summary of one histogram.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimingRow {
    /// Client account.
    pub account: AccountName,
    /// Patience class.
    pub patience: Patience,
    /// What was measured.
    pub timing: Timing,
    /// Number of recorded values.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: u64,
    /// 95th percentile, in milliseconds.
    pub p95_ms: u64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: u64,
}

impl Metrics {
    /// Records in memory, and to the statsd server at `statsd` if one is given.
    ///
    /// # Errors
    /// No UDP socket can be opened.
    pub fn open(statsd: Option<SocketAddr>) -> io::Result<Self> {
        let client = match statsd {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink =
                    BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
                StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self {
            statsd: client,
            histograms: Mutex::default(),
        })
    }

    /// Records a time in milliseconds.
    pub fn record_timing(
        &self,
        account: &AccountName,
        patience: Patience,
        timing: Timing,
        ms: u64,
    ) {
        let _ = self
            .statsd
            .histogram_with_tags(timing.as_str(), ms)
            .with_tag("account", account.as_str())
            .with_tag("class", patience.as_str())
            .try_send();
        let key = (account.clone(), patience, timing);
        let mut histograms = self.histograms();
        let histogram = histograms.timings.entry(key).or_insert_with(new_histogram);
        histogram.saturating_record(ms);
    }

    /// Counts a request by its outcome.
    pub fn count_outcome(
        &self,
        account: &AccountName,
        patience: Patience,
        outcome: RequestOutcome,
    ) {
        let _ = self
            .statsd
            .count_with_tags(outcome.as_str(), 1)
            .with_tag("account", account.as_str())
            .with_tag("class", patience.as_str())
            .try_send();
    }

    /// Summaries of all histograms in memory.
    pub fn timings(&self) -> Vec<TimingRow> {
        let histograms = self.histograms();
        let rows = histograms.timings.iter();
        rows.map(|((account, patience, timing), histogram)| TimingRow {
            account: account.clone(),
            patience: *patience,
            timing: *timing,
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.50),
            p95_ms: histogram.value_at_quantile(0.95),
            p99_ms: histogram.value_at_quantile(0.99),
        })
        .collect()
    }

    fn histograms(&self) -> MutexGuard<'_, TimingHistograms> {
        self.histograms
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
        .expect("bounds and digits are valid")
}
