//! Tables of lost and late requests, grouped by a common property.

use std::collections::BTreeMap;
use std::fmt;

use super::adapters::AdapterHistories;
use super::log_lines::LogLines;
use super::log_lines::RequestLine;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered within the latency objective of its route.
    OnTime,
    /// Answered after the latency objective.
    Late,
    /// Refused without having run.
    Refused,
    /// Any other outcome.
    Failed,
}

impl Outcome {
    /// Outcome of `request`.
    pub fn of(request: &RequestLine) -> Self {
        let is_late = request.target_ms > 0 && request.first_ms > request.target_ms;
        match (request.status, request.reason.is_some()) {
            (200..=299, false) if is_late => Self::Late,
            (200..=299, false) => Self::OnTime,
            (429 | 503, _) => Self::Refused,
            _ => Self::Failed,
        }
    }
}

/// Counts of the requests with one common property.
#[derive(Clone, Debug, Default)]
struct Group {
    on_time: usize,
    late: usize,
    refused: usize,
    failed: usize,
    /// Waiting times of the requests that were not answered in time.
    waited_ms: Vec<u64>,
}

impl Group {
    fn add(&mut self, request: &RequestLine) {
        match Outcome::of(request) {
            Outcome::OnTime => return self.on_time += 1,
            Outcome::Late => self.late += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Failed => self.failed += 1,
        }
        self.waited_ms.push(request.waited_ms);
    }

    fn lost(&self) -> usize {
        self.late + self.refused + self.failed
    }

    /// Quantile of the waiting times of lost and late requests.
    fn wait_ms(&self, quantile: f64) -> u64 {
        let mut sorted = self.waited_ms.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * quantile) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(index.min(last)).copied().unwrap_or(0)
    }
}

/// Groups of requests under one heading.
#[derive(Clone, Debug)]
pub struct Table {
    heading: &'static str,
    rows: Vec<(String, Group)>,
}

impl Table {
    /// Names of the groups.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.rows.iter().map(|(name, _)| name.as_str())
    }

    /// Number of lost and late requests in a group.
    pub fn lost(&self, name: &str) -> usize {
        let row = self.rows.iter().find(|(other, _)| other == name);
        row.map_or(0, |(_, group)| group.lost())
    }
}

impl fmt::Display for Table {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{:<32} {:>8} {:>8} {:>8} {:>8} {:>12} {:>12}",
            self.heading, "in time", "late", "refused", "failed", "wait p50 ms", "wait p90 ms"
        )?;
        for (name, group) in &self.rows {
            writeln!(
                out,
                "{name:<32} {:>8} {:>8} {:>8} {:>8} {:>12} {:>12}",
                group.on_time,
                group.late,
                group.refused,
                group.failed,
                group.wait_ms(0.5),
                group.wait_ms(0.9)
            )?;
        }
        Ok(())
    }
}

/// Tables by reason, adapter state, route, account and second. The rows are sorted by the number of
/// lost and late requests, except those of the last table, which are sorted by time.
pub fn tables(lines: &LogLines) -> Vec<Table> {
    let histories = AdapterHistories::new(&lines.orders);
    let first_arrival = lines.requests.iter().map(RequestLine::arrived_unix_ms);
    let first_arrival = first_arrival.min().unwrap_or(0);
    let by = |heading, name: &dyn Fn(&RequestLine) -> String| {
        let mut groups: BTreeMap<String, Group> = BTreeMap::new();
        for request in &lines.requests {
            groups.entry(name(request)).or_default().add(request);
        }
        let rows = groups.into_iter().collect();
        Table { heading, rows }
    };
    let unknown = || "unknown".to_owned();
    let mut all = vec![
        by(
            "reason",
            &|request| match (&request.reason, request.status) {
                (Some(reason), _) => reason.clone(),
                (None, 200..=299) => "answered".to_owned(),
                (None, status) => format!("status {status} of a server"),
            },
        ),
        by("adapter", &|request| {
            let model = request.model.as_ref();
            let state = histories.state(model, request.arrived_unix_ms(), request.at_unix_ms);
            state.name().to_owned()
        }),
        by("route", &|request| {
            request.route.clone().unwrap_or_else(unknown)
        }),
        by("account", &|request| {
            let account = request.account.as_ref();
            account.map_or_else(unknown, |account| account.as_str().to_owned())
        }),
    ];
    for table in &mut all {
        table
            .rows
            .sort_by_key(|(_, group)| std::cmp::Reverse(group.lost()));
    }
    all.push(by("second", &|request| {
        format!("{:>6}", (request.arrived_unix_ms() - first_arrival) / 1_000)
    }));
    all
}
