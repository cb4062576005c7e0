//! Administration API on `dropshot`: operators change templates, accounts, keys, routes, shares and
//! the roster, and read the current state.

mod bodies;
mod changes;
mod control_plane;
mod convert;
mod error;
mod operators;
mod progress;
mod reads;
mod runtime_state;
mod views;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::ApiDescription;
use dropshot::ConfigDropshot;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use slog::Drain;
use snafu::Snafu;

pub use bodies::AccountBody;
pub use bodies::ChangeRef;
pub use bodies::CutOffName;
pub use bodies::GrantBody;
pub use bodies::NewAccountBody;
pub use bodies::OverridesBody;
pub use bodies::ParametersBody;
pub use bodies::PatienceName;
pub use bodies::RemovalBody;
pub use bodies::RouteAccess;
pub use bodies::RouteBody;
pub use bodies::RouteFields;
pub use bodies::SharesBody;
pub use bodies::TemplateBody;
pub use bodies::VmRemovalBody;
pub use bodies::WithdrawalBody;
pub use control_plane::ControlPlane;
pub use control_plane::ProposeError;
pub use control_plane::QuarantineEntry;
pub use control_plane::VmRevision;
pub use operators::Operator;
pub use runtime_state::MetricsView;
pub use runtime_state::TimingView;
pub use views::AccountView;
pub use views::AccountsView;
pub use views::ChangeStatus;
pub use views::ChangeView;
pub use views::DiffLineView;
pub use views::DiffView;
pub use views::HistoryEntryView;
pub use views::HistoryView;
pub use views::JobView;
pub use views::JobsView;
pub use views::KeyView;
pub use views::KeysView;
pub use views::QuarantineEntryView;
pub use views::QuarantineView;
pub use views::RosterPendingView;
pub use views::RosterView;
pub use views::RosterVmView;
pub use views::RouteView;
pub use views::RoutesView;
pub use views::StatusView;
pub use views::TemplateView;
pub use views::TemplatesView;
pub use views::VmProgress;
pub use views::VmProgressState;

use crate::types::Clock;

/// Maximum size of a request body; large enough for a template with all its adapter patterns.
pub const MAX_BODY_BYTES: usize = 128 * 1024;
/// Maximum wait for a change to reach the VMs before the response reports it as committed.
pub const ACCEPT_WAIT: Duration = Duration::from_millis(1_000);

/// Settings of the administration API.
#[derive(Clone, Debug)]
pub struct AdminSettings {
    /// Address to listen on.
    pub bind_address: SocketAddr,
    /// Operators that may use the API.
    pub operators: Vec<Operator>,
}

/// Context shared by all handlers.
pub(crate) struct Context {
    control_plane: Arc<dyn ControlPlane>,
    operators: Vec<Operator>,
    clock: Clock,
}

/// Why the administration API did not start.
#[derive(Debug, Snafu)]
#[snafu(display("administration API on {address}: {message}"))]
pub struct StartError {
    address: SocketAddr,
    message: String,
}

/// A running administration API.
pub struct AdminServer {
    server: HttpServer<Context>,
}

impl AdminServer {
    /// Starts to listen.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind(
        settings: AdminSettings,
        control_plane: Arc<dyn ControlPlane>,
        clock: Clock,
    ) -> Result<Self, StartError> {
        let address = settings.bind_address;
        let context = Context {
            control_plane,
            operators: settings.operators,
            clock,
        };
        let config = ConfigDropshot {
            bind_address: address,
            default_request_body_max_bytes: MAX_BODY_BYTES,
            ..ConfigDropshot::default()
        };
        let log = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!());
        let server = ServerBuilder::new(api(), context, log)
            .config(config)
            .start()
            .map_err(|error| StartError {
                address,
                message: error.to_string(),
            })?;
        log::info!("admin: listening on {}", server.local_addr());
        Ok(Self { server })
    }

    /// Address that the server listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops accepting connections and waits for the requests in progress.
    pub async fn close(self) {
        if let Err(error) = self.server.close().await {
            log::warn!("admin: failed to stop cleanly: {error}");
        }
    }
}

/// The OpenAPI document of the administration API, as JSON.
pub fn openapi() -> serde_json::Value {
    let version = "1.0.0".parse().expect("a constant version is well-formed");
    api()
        .openapi("Medlarlift administration", version)
        .json()
        .expect("the endpoints have schemas")
}

fn api() -> ApiDescription<Context> {
    let mut api = ApiDescription::new();
    reads::register(&mut api).expect("paths and methods of the reading endpoints are distinct");
    runtime_state::register(&mut api)
        .expect("paths and methods of the runtime endpoints are distinct");
    changes::register(&mut api).expect("paths and methods of the changing endpoints are distinct");
    api
}
