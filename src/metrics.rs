//! Histograms per client account and patience class, and counters of outcomes.
//!
//! Everything is sent to a statsd server if one is set; the histograms are also kept in memory for
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
/// Largest time that is kept apart, in milliseconds.
const LARGEST_MS: u64 = 24 * 60 * 60 * 1_000;
/// Significant digits of the histograms in memory.
const DIGITS: u8 = 2;

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
pub enum Ending {
    /// A whole answer was given.
    Answered,
    /// The answer was cut or its outcome is not known.
    Failed,
    /// The caller left.
    Left,
    /// Refused as not run.
    Refused,
}

impl Ending {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Left => "left",
            Self::Refused => "refused",
        }
    }
}

#[derive(Default)]
struct Kept {
    timings: BTreeMap<(AccountName, Patience, Timing), Histogram<u64>>,
}

/// Records measurements.
pub struct Metrics {
    statsd: StatsdClient,
    kept: Mutex<Kept>,
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
            kept: Mutex::default(),
        })
    }

    /// Records a time in milliseconds.
    pub fn time(&self, account: &AccountName, patience: Patience, timing: Timing, ms: u64) {
        let _ = self
            .statsd
            .histogram_with_tags(timing.as_str(), ms)
            .with_tag("account", account.as_str())
            .with_tag("class", patience.as_str())
            .try_send();
        let key = (account.clone(), patience, timing);
        let mut kept = self.kept();
        let histogram = kept.timings.entry(key).or_insert_with(new_histogram);
        histogram.saturating_record(ms);
    }

    /// Counts the end of a request.
    pub fn ended(&self, account: &AccountName, patience: Patience, ending: Ending) {
        let _ = self
            .statsd
            .count_with_tags(ending.as_str(), 1)
            .with_tag("account", account.as_str())
            .with_tag("class", patience.as_str())
            .try_send();
    }

    /// All histograms kept in memory.
    pub fn timings(&self) -> Vec<TimingRow> {
        let kept = self.kept();
        let rows = kept.timings.iter();
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

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().expect("no holder panics")
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(LARGEST_MS, DIGITS).expect("bounds and digits are valid")
}
