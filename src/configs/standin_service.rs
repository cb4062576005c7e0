//! Settings of the plain service stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use super::Reader;
use super::standin_engine::MAX_TIME_MS;
use super::standin_engine::REQUEST_LIMITS_PER_S;

/// Settings of one plain service stand-in.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// Name under which the server announces itself.
    pub name: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: String,
    /// Names of the services it provides.
    pub services: Vec<String>,
    /// Addresses of the VMs that accept announcements.
    pub vms: Vec<SocketAddr>,
    /// Time between announcements in milliseconds.
    pub announce_ms: u64,
    /// Number of concurrent calls that the server announces as its capacity.
    pub positions: u64,
    /// Duration of a call, in milliseconds.
    pub delay_ms: u64,
    /// Share of calls that run and are then answered with status 500.
    pub fail_after_run_ratio: f64,
    /// Share of calls that run and whose connection then closes without an answer.
    pub drop_after_run_ratio: f64,
    /// Requests per second that answers name as the service's limit; 0 for none.
    pub request_limit_per_s: f64,
    /// Longest time that a leaving server waits for its calls to finish, in milliseconds.
    pub leave_ms: u64,
    /// Seed of the random failures.
    pub seed: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: "service".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            data_centre: "dc1".to_owned(),
            services: vec!["records".to_owned()],
            vms: Vec::new(),
            announce_ms: 500,
            positions: 64,
            delay_ms: 5,
            fail_after_run_ratio: 0.0,
            drop_after_run_ratio: 0.0,
            request_limit_per_s: 0.0,
            leave_ms: 30_000,
            seed: 1,
        }
    }
}

impl ServiceSettings {
    /// Reads the settings from `reader`.
    pub fn read(reader: &mut Reader<'_>) -> Self {
        let default = Self::default();
        let settings = Self {
            name: reader.required_text("name"),
            address: reader.required_address("address"),
            data_centre: reader.required_text("data_centre"),
            services: reader.texts("services"),
            vms: reader.addresses("vms"),
            announce_ms: reader.u64("announce_ms", default.announce_ms, 10..=MAX_TIME_MS),
            positions: reader.u64("positions", default.positions, 1..=100_000),
            delay_ms: reader.u64("delay_ms", default.delay_ms, 0..=MAX_TIME_MS),
            fail_after_run_ratio: reader.ratio("fail_after_run_ratio", 0.0),
            drop_after_run_ratio: reader.ratio("drop_after_run_ratio", 0.0),
            request_limit_per_s: reader.f64("request_limit_per_s", 0.0, REQUEST_LIMITS_PER_S),
            leave_ms: reader.u64("leave_ms", default.leave_ms, 0..=MAX_TIME_MS),
            seed: reader.u64("seed", default.seed, 0..=u64::MAX),
        };
        if !reader.is_set("services") {
            reader.reject("services", "missing", "a list of service names");
        }
        settings
    }
}
