//! Load tool: sends a seeded plan of requests on behalf of several client accounts.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use crate::configs::standin_callers::CallerSettings;
use crate::types::Clock;

use super::callers_plan;
use super::callers_plan::PlannedRequest;
use super::callers_report::Report;
use super::callers_run;
use super::callers_run::CallerContext;
use super::callers_run::RequestRecord;
use super::client::HttpClient;

/// Sends each planned request at its scheduled time and waits for all of them to end.
pub async fn run(settings: CallerSettings) -> Report {
    let plan = callers_plan::plan(&settings);
    let clock = Clock::start();
    let context = Arc::new(CallerContext {
        settings,
        client: HttpClient::new(),
        clock,
        run_id: clock.unix().0,
    });
    let start = Instant::now();
    let mut tasks: JoinSet<(PlannedRequest, RequestRecord)> = JoinSet::new();
    for planned in plan {
        let at = start + Duration::from_millis(planned.at_ms);
        tokio::time::sleep_until(at.into()).await;
        let context = context.clone();
        tasks.spawn(async move {
            let record = callers_run::run(context, planned.clone()).await;
            (planned, record)
        });
    }
    let mut records = tasks.join_all().await;
    records.sort_by_key(|(planned, _)| planned.index);
    Report::new(&context.settings, &records)
}
