//! Settings of `medlarlift serve`.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::connections::MIN_DESCRIPTORS;
use super::connections::MIN_MEMORY_MB;
use super::connections::ProcessLimits;
use crate::configs::Reader;
use crate::scheduling::routing::Policy;
use crate::types::DataCentre;
use crate::types::VmName;

const STORE_LOADS_PER_S: f64 = 3.0;
const STORE_LOADS_IN_FLIGHT: u64 = 8;
const DRAIN_MS: u64 = 20_000;
const READY_LAG_MS: u64 = 1_000;
const MAX_BODY_BYTES: u64 = 1024 * 1024;
const MAX_MEMORY_MB: u64 = 1024 * 1024;
const MAX_DESCRIPTORS: u64 = 1_000_000;
const QUEUE_ITEMS: u64 = 8_192;
const LONGEST_REQUEST_MS: u64 = 120_000;
const MAX_LONGEST_REQUEST_MS: u64 = 3_600_000;

/// Another VM of the system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Listen address for other VMs.
    pub peer_address: SocketAddr,
}

/// The link from this VM to another data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkSettings {
    /// The other data centre.
    pub data_centre: DataCentre,
    /// Round trip time, in ms.
    pub round_trip_ms: u64,
    /// Whether traffic on the link is billed by volume.
    pub paid: bool,
}

/// Limits of the weight store, which all data centres share.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Rate limit in loads per second.
    pub loads_per_s: f64,
    /// Number of concurrent loads up to which each runs at full speed.
    pub loads_in_flight: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            loads_per_s: STORE_LOADS_PER_S,
            loads_in_flight: STORE_LOADS_IN_FLIGHT,
        }
    }
}

/// Settings of one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmSettings {
    /// Name of this VM, unique in the system.
    pub vm: VmName,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Listen address for callers and backend servers.
    pub caller_address: SocketAddr,
    /// Listen address for operators.
    pub admin_address: SocketAddr,
    /// Listen address for other VMs.
    pub peer_address: SocketAddr,
    /// Folder for durable state. A VM without one follows the replicated log as a non-voting
    /// member.
    pub data_folder: Option<PathBuf>,
    /// The VMs that bootstrap the cluster together; each has a data folder.
    pub founders: Vec<VmName>,
    /// VMs that this VM contacts to join the cluster.
    pub peers: Vec<PeerSettings>,
    /// Links to other data centres; links that are not listed count as near and free of charge.
    pub links: Vec<LinkSettings>,
    /// SHA-256 of the operators' token.
    pub operator_token_sha256: [u8; 32],
    /// Routing and placement policy.
    pub policy: Policy,
    /// Limits of the weight store.
    pub store: StoreSettings,
    /// Address of the statsd server, if metrics are sent to one.
    pub metrics_address: Option<SocketAddr>,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// Longest time that a graceful shutdown waits for requests, in ms.
    pub drain_ms: u64,
    /// Time from failing readiness checks to refusing connections, in ms, in which the load
    /// balancer removes the VM.
    pub ready_lag_ms: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Limits of the VM on the process.
    pub process_limits: ProcessLimits,
    /// Requests that may be queued on this VM.
    pub queue_items: u64,
    /// Longest time from dispatch to the end of a request, in ms. Evictions wait that long for a VM
    /// that no longer responds, so all VMs must have the same value.
    pub longest_request_ms: u64,
}

impl VmSettings {
    /// Reads the settings and checks them against each other.
    pub fn read(reader: &mut Reader<'_>) -> Self {
        let settings = read_fields(reader);
        check_peers(&settings, reader);
        check_founders(&settings, reader);
        check_memory(&settings, reader);
        settings
    }
}

fn read_fields(reader: &mut Reader<'_>) -> VmSettings {
    let operator_token_sha256 = reader.optional_sha256("operator_token_sha256");
    if operator_token_sha256.is_none() && !reader.is_set("operator_token_sha256") {
        reader.reject("operator_token_sha256", "missing", "64 hexadecimal digits");
    }
    VmSettings {
        vm: VmName::from(reader.required_text("vm")),
        data_centre: DataCentre::from(reader.required_text("data_centre")),
        caller_address: reader.required_address("caller_address"),
        admin_address: reader.required_address("admin_address"),
        peer_address: reader.required_address("peer_address"),
        data_folder: reader.optional_text("data_folder").map(PathBuf::from),
        founders: reader
            .texts("founders")
            .into_iter()
            .map(VmName::from)
            .collect(),
        peers: reader.list("peers", read_peer),
        links: reader.list("links", read_link),
        operator_token_sha256: operator_token_sha256.unwrap_or_default(),
        policy: reader.choice("policy", Policy::default(), &POLICIES),
        store: reader.object("store", read_store),
        metrics_address: reader.optional_address("metrics_address"),
        log_level: reader.choice("log_level", log::LevelFilter::Info, &LOG_LEVELS),
        drain_ms: reader.u64("drain_ms", DRAIN_MS, 0..=600_000),
        ready_lag_ms: reader.u64("ready_lag_ms", READY_LAG_MS, 0..=60_000),
        max_body_bytes: reader.u64("max_body_bytes", MAX_BODY_BYTES, 1_024..=64 * 1024 * 1024),
        process_limits: read_process_limits(reader),
        queue_items: reader.u64("queue_items", QUEUE_ITEMS, 1..=1_000_000),
        longest_request_ms: reader.u64(
            "longest_request_ms",
            LONGEST_REQUEST_MS,
            1_000..=MAX_LONGEST_REQUEST_MS,
        ),
    }
}

/// Names of the policies.
const POLICIES: [(&str, Policy); 3] = [
    ("estimate", Policy::Estimate),
    ("least_loaded", Policy::LeastLoaded),
    ("hash_affinity", Policy::HashAffinity),
];

/// Names of the log levels.
const LOG_LEVELS: [(&str, log::LevelFilter); 5] = [
    ("error", log::LevelFilter::Error),
    ("warn", log::LevelFilter::Warn),
    ("info", log::LevelFilter::Info),
    ("debug", log::LevelFilter::Debug),
    ("trace", log::LevelFilter::Trace),
];

fn read_peer(reader: &mut Reader<'_>) -> PeerSettings {
    PeerSettings {
        vm: VmName::from(reader.required_text("vm")),
        data_centre: DataCentre::from(reader.required_text("data_centre")),
        peer_address: reader.required_address("peer_address"),
    }
}

fn read_link(reader: &mut Reader<'_>) -> LinkSettings {
    LinkSettings {
        data_centre: DataCentre::from(reader.required_text("data_centre")),
        round_trip_ms: reader.u64("round_trip_ms", 0, 0..=10_000),
        paid: reader.bool("paid", false),
    }
}

fn read_store(reader: &mut Reader<'_>) -> StoreSettings {
    let default = StoreSettings::default();
    StoreSettings {
        loads_per_s: reader.f64("loads_per_s", default.loads_per_s, 0.01..=10_000.0),
        loads_in_flight: reader.u64("loads_in_flight", default.loads_in_flight, 1..=10_000),
    }
}

fn read_process_limits(reader: &mut Reader<'_>) -> ProcessLimits {
    let default = ProcessLimits::default();
    let memory_mb = reader.u64(
        "memory_mb",
        default.memory_mb,
        MIN_MEMORY_MB..=MAX_MEMORY_MB,
    );
    let descriptors = default.descriptors as u64;
    let allowed = MIN_DESCRIPTORS as u64..=MAX_DESCRIPTORS;
    ProcessLimits {
        memory_mb,
        descriptors: reader.u64("max_descriptors", descriptors, allowed) as usize,
    }
}

/// Rejects a limit on bodies of which the memory cannot hold one beside others.
fn check_memory(settings: &VmSettings, reader: &mut Reader<'_>) {
    let limits = settings.process_limits;
    let largest_bytes = limits.largest_body_bytes() as u64;
    if settings.max_body_bytes > largest_bytes {
        let allowed = format!(
            "at most {largest_bytes} bytes with {} MB of memory_mb",
            limits.memory_mb
        );
        let value = settings.max_body_bytes.to_string();
        reader.reject("max_body_bytes", &value, &allowed);
    }
}

fn check_peers(settings: &VmSettings, reader: &mut Reader<'_>) {
    for (index, peer) in settings.peers.iter().enumerate() {
        let repeated = settings.peers[..index]
            .iter()
            .any(|earlier| earlier.vm == peer.vm);
        if repeated {
            let path = format!("peers[{index}].vm");
            reader.reject(&path, &peer.vm, "a name that no earlier peer has");
        }
    }
}

/// Each founder must be this VM or a known peer, and a founder must have a data folder.
fn check_founders(settings: &VmSettings, reader: &mut Reader<'_>) {
    for (index, founder) in settings.founders.iter().enumerate() {
        let is_known = *founder == settings.vm || settings.peers.iter().any(|p| p.vm == *founder);
        if !is_known {
            let path = format!("founders[{index}]");
            reader.reject(&path, founder, "this VM or a VM listed under peers");
        }
    }
    let is_founder = settings.founders.contains(&settings.vm);
    if is_founder && settings.data_folder.is_none() {
        reader.reject(
            "data_folder",
            "missing",
            "a folder, since this VM is a founder",
        );
    }
}
