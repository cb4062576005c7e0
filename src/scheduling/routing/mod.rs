//! Selection of the backend server for a request.

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

/// Routing policy.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum Policy {
    /// The lowest estimate of the time to the first token.
    #[default]
    Estimate,
    /// The least loaded engine, whether or not it has the adapter.
    LeastLoaded,
    /// The engine that owns the adapter on the hash ring.
    HashAffinity,
}

/// Configuration of routing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteConfig {
    /// Time to process one prompt token that is not cached, in microseconds.
    pub prefill_us_per_token: u64,
    /// Prompt tokens in one prefix block.
    pub block_tokens: Tokens,
    /// Cost added for an urgent request sent over a paid link, in milliseconds.
    pub paid_urgent_ms: f32,
    /// Cost added for a patient request sent over a paid link, in milliseconds.
    pub paid_patient_ms: f32,
    /// Servers whose cost is within this margin of the lowest cost are treated as equal, in
    /// milliseconds.
    pub tie_margin_ms: f32,
    /// Warm-up time of an engine after a start, in milliseconds.
    pub warm_up_ms: u64,
    /// Cost added for an engine that has just started, in milliseconds. Decreases to zero during the
    /// warm-up time.
    pub cold_start_ms: f32,
    /// Maximum requests on a server including a new urgent one, in percent of its batch positions.
    pub urgent_fill_percent: u32,
    /// Maximum requests on a server including a new patient one, in percent of its batch positions.
    pub patient_fill_percent: u32,
    /// Dispatches that a VM assumes of each other VM since the last report, in percent of its own
    /// dispatches. Other VMs have received the same report and make similar decisions.
    pub peer_dispatch_percent: u32,
    /// Maximum number of servers compared for one request.
    pub max_candidates: usize,
    /// Number of loads by which the backlog of another data centre must be shorter than that of the
    /// adapter's home to be asked instead.
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

/// Target of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteTarget<'a> {
    /// An engine with this adapter.
    Adapter(&'a AdapterRef),
    /// A provider of this plain service.
    Service(&'a ServiceName),
}

/// Request to be routed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteRequest<'a> {
    /// Adapter or service that the request needs.
    pub target: RouteTarget<'a>,
    /// Patience class.
    pub class: Patience,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Hashes of the prompt's prefix blocks. Each covers the adapter and all preceding blocks.
    pub prefix: &'a [u64],
    /// The request is a suspect of the crash quarantine: a server runs at most one of them.
    pub suspect: bool,
    /// Server that an earlier decision asked to load the adapter.
    pub assigned: Option<&'a ServerName>,
    /// Number that differs between the requests of a VM, used to randomise the selection.
    pub nonce: u64,
}

/// State of a VM that routing decisions are based on.
#[derive(Clone, Copy, Debug)]
pub struct RouteView<'a> {
    /// Servers, their load reports and the dispatches of this VM.
    pub fleet: &'a Fleet,
    /// Residency tables.
    pub residency: &'a ResidencyView,
    /// Prefix caches of the engines.
    pub prefixes: &'a PrefixIndex,
    /// Configuration.
    pub config: &'a RouteConfig,
    /// Current time.
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
    /// No engine may serve the adapter now. The caller requests a load and routes again.
    WaitForLoad {
        /// Data centre whose coordinator is asked.
        data_centre: DataCentre,
        /// Engine preferred by the policy, if any.
        server: Option<ServerName>,
    },
    /// All servers that may serve the request are full. The caller routes again after a request has
    /// ended and reports a waiting adapter to `data_centre`, which may load another copy.
    Busy {
        /// Data centre of the server with the lowest cost.
        data_centre: DataCentre,
    },
    /// No known server can serve the request.
    NoServer,
}
