//! Settings of the weight store stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use super::Reader;
use super::standin_engine::MAX_TIME_MS;

/// Settings of the weight store stand-in.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Duration of a load in milliseconds while at most `full_speed_loads` are in flight.
    pub load_ms: u64,
    /// Number of concurrent loads up to which each takes `load_ms`; beyond it, the duration grows
    /// in proportion.
    pub full_speed_loads: u64,
    /// Rate limit in loads per second; loads above it are counted, not refused.
    pub loads_per_s: f64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            load_ms: 250,
            full_speed_loads: 8,
            loads_per_s: 3.0,
        }
    }
}

impl StoreSettings {
    /// Reads the settings from `reader`.
    pub fn read(reader: &mut Reader<'_>) -> Self {
        let default = Self::default();
        Self {
            address: reader.required_address("address"),
            load_ms: reader.u64("load_ms", default.load_ms, 0..=MAX_TIME_MS),
            full_speed_loads: reader.u64("full_speed_loads", default.full_speed_loads, 1..=4_096),
            loads_per_s: reader.f64("loads_per_s", default.loads_per_s, 0.1..=10_000.0),
        }
    }
}
