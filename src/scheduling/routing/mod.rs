//! Chooses the backend server that runs a request.

mod estimate;
mod fleet;
mod hash_ring;
mod policies;
mod prefix;

use crate::scheduling::residency::ResidencyView;
use crate::types::AdapterRef;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::Patience;
use crate::types::ServerName;
use crate::types::ServiceName;
use crate::types::Tokens;

pub use fleet::Fleet;
pub use fleet::LoadReport;
pub use fleet::ServerInfo;
pub use fleet::ServerKind;
pub use hash_ring::HashRing;
pub use policies::choose;
pub use policies::load_home;
pub(in crate::scheduling) use policies::rank_homes;
pub use prefix::CacheEvent;
pub use prefix::PrefixIndex;

/// How a server is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Policy {
    /// The lowest estimate of the time to the first token.
    #[default]
    Estimate,
    /// The least loaded engine, whether or not it has the adapter.
    LeastLoaded,
    /// The engine that the adapter's name hashes to.
    HashAffinity,
}

/// Figures of the routing estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteConfig {
    /// Time to process one prompt token that is not cached, in microseconds.
    pub prefill_us_per_token: u64,
    /// Prompt tokens in one prefix block.
    pub block_tokens: Tokens,
    /// Cost of a dispatch over a paid link for an urgent request, in milliseconds.
    pub paid_urgent_ms: f32,
    /// Cost of a dispatch over a paid link for a patient request, in milliseconds.
    pub paid_patient_ms: f32,
    /// Costs that differ by less than this count as equal, in milliseconds.
    pub tie_margin_ms: f32,
    /// Time that an engine takes to warm up after a start, in milliseconds.
    pub warm_up_ms: u64,
    /// Cost of a dispatch to an engine that has just started, in milliseconds.
    pub cold_start_ms: f32,
    /// Requests of an engine's batch positions that urgent work may fill, in percent.
    pub urgent_fill_percent: u32,
    /// The same for patient work.
    pub patient_fill_percent: u32,
    /// Part of its own dispatches since the last report that a VM expects of each other VM, in
    /// percent. Other VMs saw the same report and choose alike.
    pub peer_dispatch_percent: u32,
    /// Engines that are compared for one request.
    pub max_candidates: usize,
    /// Loads by which another data centre's backlog must be shorter to be asked instead of the
    /// adapter's home.
    pub spill_loads: u32,
}

impl Default for RouteConfig {
    fn default() -> Self {
        Self {
            prefill_us_per_token: 200,
            block_tokens: 16,
            paid_urgent_ms: 10.0,
            paid_patient_ms: 1_000.0,
            tie_margin_ms: 5.0,
            warm_up_ms: 10_000,
            cold_start_ms: 200.0,
            urgent_fill_percent: 125,
            patient_fill_percent: 100,
            peer_dispatch_percent: 100,
            max_candidates: 32,
            spill_loads: 2,
        }
    }
}

/// What a request runs on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteTarget<'a> {
    /// An engine with this adapter.
    Adapter(&'a AdapterRef),
    /// A provider of this plain service.
    Service(&'a ServiceName),
}

/// A request that needs a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteRequest<'a> {
    /// What it runs on.
    pub target: RouteTarget<'a>,
    /// Patience class.
    pub class: Patience,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Hashes of the prompt's prefix blocks, each covering all blocks before it and the adapter.
    pub prefix: &'a [u64],
    /// The request has crashed a server before: it runs alone among suspects.
    pub suspect: bool,
    /// Server that an earlier choice asked to load the adapter.
    pub assigned: Option<&'a ServerName>,
    /// Number that differs between the requests of a VM.
    pub nonce: u64,
}

/// What a VM knows when it routes.
#[derive(Clone, Copy, Debug)]
pub struct RouteView<'a> {
    /// Servers, their reports and this VM's own dispatches.
    pub fleet: &'a Fleet,
    /// Residency tables.
    pub residency: &'a ResidencyView,
    /// Prefix caches.
    pub prefixes: &'a PrefixIndex,
    /// Figures.
    pub config: &'a RouteConfig,
    /// Now.
    pub now: MonoMs,
}

/// Outcome of a routing decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteDecision {
    /// Send the request to `server`.
    Dispatch {
        /// The server.
        server: ServerName,
        /// The link to the server is billed by volume.
        paid: bool,
    },
    /// No engine may serve the adapter now. Ask for a load and choose again.
    WaitForLoad {
        /// Data centre whose coordinator is asked.
        data_centre: DataCentre,
        /// Engine that the policy prefers, if it prefers one.
        server: Option<ServerName>,
    },
    /// Servers that may serve the request exist and are all full. Choose again after a request has
    /// ended; a waiting adapter is reported to `data_centre`, which may load another copy.
    Busy {
        /// Data centre of the best server.
        data_centre: DataCentre,
    },
    /// No server that could serve the request is known.
    NoServer,
}
