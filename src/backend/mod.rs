//! Clients of backend servers. Each dialect is one file behind the `Engine` trait or one function.

mod client;
mod engine_http;
mod frame;
mod service_http;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::types::AdapterRef;

pub use client::HttpClient;
pub use client::pooled_client;
pub use client::single_use_client;
pub use engine_http::HttpEngine;
pub use frame::TokenFrame;
pub use frame::Usage;
pub use service_http::ServiceCall;
pub use service_http::ServiceReply;
pub use service_http::call_service;

/// Result of a call to a backend server.
pub type Result<T, E = BackendError> = std::result::Result<T, E>;

/// Tokens of one answer in order, without gaps, ended by a frame with a finish reason.
pub type TokenStream = BoxStream<'static, Result<TokenFrame>>;

/// Longest time that an order to an engine may take.
pub const ENGINE_COMMAND_TIMEOUT_MS: u64 = engine_http::ENGINE_COMMAND_TIMEOUT_MS;

/// How a call to a backend server failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum BackendError {
    /// The server refused or never received the call, so the work did not start.
    #[snafu(display("the call did not start: {message}"))]
    NotStarted {
        /// What the server or the connection reported.
        message: String,
    },
    /// No connection to the server was made, so the work did not start.
    #[snafu(display("the server cannot be reached: {message}"))]
    Unreachable {
        /// What the connection reported.
        message: String,
    },
    /// The adapter is not resident on the engine, so the work did not start.
    #[snafu(display("the adapter is not resident on the engine"))]
    NotResident,
    /// The connection was lost after the call was sent; the work may have run.
    #[snafu(display("the answer was lost: {message}"))]
    Lost {
        /// What the connection reported.
        message: String,
    },
    /// No answer arrived before the deadline; the work may have run.
    #[snafu(display("no token arrived in time"))]
    TimedOut,
    /// The answer belongs to another request, model or position.
    #[snafu(display("the answer does not match the request: {message}"))]
    Mismatch {
        /// Which field differs and how.
        message: String,
    },
}

impl BackendError {
    /// Whether the work provably did not start.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotStarted { .. } | Self::Unreachable { .. } | Self::NotResident
        )
    }

    /// Whether the connection to the server failed, as it does when the server has crashed.
    pub fn is_connection_failure(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Lost { .. })
    }
}

/// One generation on an engine. Carries no caller key.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Id that each part of the answer must repeat.
    pub request_id: Arc<str>,
    /// Adapter and version to run on.
    pub adapter: AdapterRef,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Most output tokens to generate.
    pub max_tokens: u64,
    /// Engine priority, lower runs first.
    pub priority: u8,
}

/// What each part of a streamed answer must repeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamIdentity {
    /// Id of the request.
    pub request_id: Arc<str>,
    /// `base:adapter@version`, if known. A stream resumed through another VM knows only its id.
    pub model: Option<Arc<str>>,
}

impl StreamIdentity {
    /// The identity of the answer to `call`.
    pub fn of_call(call: &EngineCall) -> Self {
        Self {
            request_id: call.request_id.clone(),
            model: Some(call.adapter.to_string().into()),
        }
    }
}

/// What an engine is ordered to do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineCommandKind {
    /// Remove an adapter from its slot.
    Evict,
    /// Load an adapter from the weight store.
    Load,
}

/// An order to an engine, fenced by the coordinator's term.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCommand {
    /// What to do.
    #[serde(rename = "order")]
    pub kind: EngineCommandKind,
    /// The adapter concerned.
    pub adapter: AdapterRef,
    /// Fencing number of the coordinator.
    pub fence: u64,
}

/// How an order to an engine ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineCommandOutcome {
    /// The order was carried out.
    Done,
    /// The engine has seen a higher fencing number.
    Fenced {
        /// The highest number that the engine has seen.
        highest_fence: u64,
    },
    /// The adapter is in use and was not evicted.
    InUse,
    /// The load failed or the engine did not answer.
    Failed,
}

/// Adapters that an engine is running or has queued requests for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdaptersInUse {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// The adapters.
    pub adapters: Vec<AdapterRef>,
}

/// The dialect of an inference engine.
pub trait Engine: Send + Sync + 'static {
    /// Starts a generation and returns its tokens.
    fn start(&self, to: SocketAddr, call: EngineCall) -> BoxFuture<'static, Result<TokenStream>>;

    /// Reads the tokens of a running or finished generation from index `from` on.
    fn resume(
        &self,
        to: SocketAddr,
        identity: StreamIdentity,
        from: u64,
    ) -> BoxFuture<'static, Result<TokenStream>>;

    /// Cancels a generation. True once the engine has confirmed that it does not run any more.
    fn cancel(&self, to: SocketAddr, request_id: Arc<str>) -> BoxFuture<'static, bool>;

    /// Asks which adapters are in use; `None` if the engine does not tell.
    fn in_use(&self, to: SocketAddr) -> BoxFuture<'static, Option<AdaptersInUse>>;

    /// Gives an order and waits for its outcome.
    fn execute(
        &self,
        to: SocketAddr,
        command: EngineCommand,
    ) -> BoxFuture<'static, EngineCommandOutcome>;
}
