//! Shares of a process's memory and descriptors.

use medlarlift::configs::connections::CONNECTION_BYTES;
use medlarlift::configs::connections::ProcessLimits;

const MIB: usize = 1024 * 1024;
/// Part of the memory that is left for what a process knows, in percent.
const OWN_PERCENT: usize = 20;

fn limits(memory_mb: u64, descriptors: usize) -> ProcessLimits {
    ProcessLimits {
        memory_mb,
        descriptors,
    }
}

/// Guards against shares that exceed the memory or the descriptors in sum.
#[test]
fn the_shares_of_a_process_fit_into_its_limits() {
    for memory_mb in [48, 96, 256, 260, 1_024, 16_384] {
        for descriptors in [256, 600, 4_096, 65_536] {
            let limits = limits(memory_mb, descriptors);
            let connections = limits.caller_connections() + limits.peer_connections();
            let entry_bytes = connections * CONNECTION_BYTES
                + limits.entry_bodies_bytes()
                + limits.entry_answers_bytes();
            let memory_bytes = memory_mb as usize * MIB;
            let most_bytes = memory_bytes / 100 * (100 - OWN_PERCENT);
            assert!(entry_bytes <= most_bytes, "{memory_mb} MB");
            // A request takes a connection to a server besides that of its caller.
            assert!(2 * connections <= descriptors, "{descriptors} descriptors");
            let operators = limits.operators().connections;
            let control_bytes = operators * CONNECTION_BYTES + limits.control_bodies_bytes();
            assert!(control_bytes <= most_bytes, "{memory_mb} MB");
            let control = operators + limits.link_connections();
            assert!(control < descriptors, "{descriptors} descriptors");
        }
    }
}
