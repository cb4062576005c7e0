//! Histograms per client account and patience class, and counters of outcomes.
//!
//! Everything is sent to a statsd server if one is set; the histograms are also histograms in memory for
//! operators.

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
/// Largest time that is histograms apart, in milliseconds.
const MAX_RECORDED_MS: u64 = 24 * 60 * 60 * 1_000;
/// Significant digits of the histograms in memory.
const SIGNIFICANT_DIGITS: u8 = 2;

/// What is measured in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Timing {
    /// From acceptance to the first token.
    FirstToken,
    /// Wait of a request that had to wait for an adapter load.
    LoadStall,
    /// From acceptance to the last token.
    Total,
    /// Wait in the queue.
    Wait,
}

impl Timing {
    /// Name of the metric.
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
    /// A whole answer was given.
    Answered,
    /// The answer was cut or its outcome is not known.
    Failed,
    /// The caller left.
    #[serde(rename = "left")]
    CallerDisconnected,
    /// Refused as not run.
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

/// Records measurements.
pub struct Metrics {
    statsd: StatsdClient,
    histograms: Mutex<TimingHistograms>,
}

/// One row of the status report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimingRow {
    /// Client account.
    pub account: AccountName,
    /// Patience class.
    pub patience: Patience,
    /// What was measured.
    pub timing: Timing,
    /// Number of values.
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

    /// Counts the end of a request.
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

    /// All histograms histograms in memory.
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
        self.histograms.lock().expect("no holder panics")
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
        .expect("bounds and digits are valid")
}
