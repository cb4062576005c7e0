//! Slot planner's properties of a test engine.

use medlarlift::scheduling::slots::EngineInfo;
use medlarlift::types::ModelName;
use medlarlift::types::SoftwareVersion;

/// Properties of an engine that holds the base model.
pub fn info(started_unix_ms: u64, adapter_slots: usize, run_slots: u32) -> EngineInfo {
    EngineInfo {
        started_unix_ms,
        software: SoftwareVersion::from("v1"),
        adapter_slots,
        run_slots,
        target_latency_ms: 1_000,
        bases: vec![ModelName::from("base")],
        loadable: vec![ModelName::from("base")],
        is_limited: false,
    }
}
