//! Endpoints for the state of the VMs that is not part of the log: quarantine and metrics.

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::endpoint;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::control::FieldError;
use crate::http::admin::Context;
use crate::http::admin::QuarantineEntryView;
use crate::http::admin::QuarantineView;
use crate::http::admin::error::AdminError;
use crate::http::admin::operators::authorize;

type Reply<T> = Result<HttpResponseOk<T>, AdminError>;
type Request = RequestContext<Context>;

/// Length of a fingerprint, in bytes.
const FINGERPRINT_BYTES: usize = 32;

pub(super) fn register(
    api: &mut ApiDescription<Context>,
) -> Result<(), ApiDescriptionRegisterError> {
    api.register(list_quarantine)?;
    api.register(lift_quarantine)?;
    api.register(list_metrics)
}

#[derive(Deserialize, JsonSchema)]
struct FingerprintPath {
    fingerprint: String,
}

/// One histogram of a client account and class.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct TimingView {
    /// Client account.
    pub account: String,
    /// Patience class.
    pub class: String,
    /// Name of the measured duration.
    pub timing: String,
    /// Number of measurements.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: u64,
    /// 95th percentile, in milliseconds.
    pub p95_ms: u64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: u64,
}

/// Histograms of the VM that responds, since its start.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
pub struct MetricsView {
    /// The histograms.
    pub timings: Vec<TimingView>,
}

/// Lists quarantined requests.
#[endpoint { method = GET, path = "/v1/quarantine" }]
async fn list_quarantine(request: Request) -> Reply<QuarantineView> {
    authorize(&request)?;
    quarantined(&request).await
}

/// Ends the quarantine of a request on all VMs that gossip reaches.
#[endpoint { method = DELETE, path = "/v1/quarantine/{fingerprint}" }]
async fn lift_quarantine(request: Request, path: Path<FingerprintPath>) -> Reply<QuarantineView> {
    authorize(&request)?;
    let text = path.into_inner().fingerprint;
    let mut fingerprint = [0; FINGERPRINT_BYTES];
    if hex::decode_to_slice(&text, &mut fingerprint).is_err() {
        let error = FieldError::new("fingerprint", text, "64 hexadecimal digits");
        return Err(AdminError::invalid(&error));
    }
    request.context().control_plane.lift_quarantine(fingerprint);
    quarantined(&request).await
}

async fn quarantined(request: &Request) -> Reply<QuarantineView> {
    let entries = request.context().control_plane.quarantine().await;
    let entries = entries.into_iter().map(|entry| QuarantineEntryView {
        fingerprint: entry.fingerprint,
        crashes: entry.crashes,
        until_unix_ms: entry.until_unix_ms,
    });
    Ok(HttpResponseOk(QuarantineView {
        entries: entries.collect(),
    }))
}

/// Shows the histograms of this VM per client account and class.
#[endpoint { method = GET, path = "/v1/metrics" }]
async fn list_metrics(request: Request) -> Reply<MetricsView> {
    authorize(&request)?;
    let timings = request.context().control_plane.timings().into_iter();
    let timings = timings.map(|row| TimingView {
        account: row.account.to_string(),
        class: row.patience.as_str().to_owned(),
        timing: row.timing.as_str().to_owned(),
        count: row.count,
        p50_ms: row.p50_ms,
        p95_ms: row.p95_ms,
        p99_ms: row.p99_ms,
    });
    Ok(HttpResponseOk(MetricsView {
        timings: timings.collect(),
    }))
}
