//! What one process may use, and how its listeners share it.

use crate::connections::table::ListenerLimits;

/// Memory of a process that its settings do not limit, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Descriptors of a process that its settings do not limit.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Least memory with which a process can serve, in megabytes.
pub const MIN_MEMORY_MB: u64 = 48;
/// Least number of descriptors with which a process can serve.
pub const MIN_DESCRIPTORS: usize = 256;

/// Bytes that one connection takes at most, apart from bodies that are not small: the kernel's receive buffer,
/// the parser's buffer, a small body or answer, and the task.
pub const CONNECTION_BYTES: usize = 92 * 1024;
/// Size that is set for the receive buffer of a client's connection. The kernel doubles it.
pub const RECEIVE_BYTES: u32 = 16 * 1024;
/// The same for connections of other VMs, which may be far away.
pub const PEER_RECEIVE_BYTES: u32 = 128 * 1024;

/// Shares of the memory of an entry VM, in percent. The rest is for what the process knows.
const ENTRY_CONNECTIONS_PERCENT: usize = 45;
const ENTRY_BODIES_PERCENT: usize = 25;
const ENTRY_ANSWERS_PERCENT: usize = 8;
/// Shares of the memory of a controller, which also keeps the log and the documents.
const CONTROL_CONNECTIONS_PERCENT: usize = 25;
const CONTROL_BODIES_PERCENT: usize = 20;

/// Largest bodies that fit into the memory of bodies, beside as much for smaller ones.
const LARGEST_BODY_DIVISOR: usize = 2;

/// Shares of the descriptors, in percent. The rest is for servers, links, files and small listeners.
const CALLERS_DESCRIPTORS_PERCENT: usize = 40;
const PEERS_DESCRIPTORS_PERCENT: usize = 8;
const OPERATORS_DESCRIPTORS_PERCENT: usize = 60;
const LINKS_DESCRIPTORS_PERCENT: usize = 20;
const IDLE_SERVERS_DESCRIPTORS_PERCENT: usize = 10;

/// Connections of a listener that only a few programs use.
const SMALL_LISTENER_CONNECTIONS: usize = 32;
/// Time within which a head has to arrive where no configuration says so.
const HEADER_TIMEOUT_MS: u64 = 5_000;
/// Time for which a connection may be idle where no configuration says so.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// The same where calls may be far apart: those of runners and operators, and of the product's own callers.
const OPERATORS_IDLE_TIMEOUT_MS: u64 = 60_000;
/// Buffer for a head where no configuration says so.
const HEAD_BUFFER_BYTES: usize = 16 * 1024;
/// Time within which a head has to arrive at the product's own caller API, and its buffer.
const PRODUCT_HEADER_TIMEOUT_MS: u64 = 10_000;
const PRODUCT_HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// Limits of the VM on one process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessLimits {
    /// Resident memory and bytes that arrived and were not read.
    pub memory_mb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory_mb: DEFAULT_MEMORY_MB,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

impl ProcessLimits {
    fn memory_share(self, percent: usize) -> usize {
        self.memory_mb as usize * 1024 * 1024 * percent / 100
    }

    fn connections(self, memory_percent: usize, descriptors_percent: usize) -> usize {
        let by_memory = self.memory_share(memory_percent) / CONNECTION_BYTES;
        by_memory.min(self.descriptors * descriptors_percent / 100)
    }

    /// Bytes that the bodies of requests at an entry VM may take together.
    pub fn entry_bodies_bytes(self) -> usize {
        self.memory_share(ENTRY_BODIES_PERCENT)
    }

    /// Bytes that answers which callers have not read may take together.
    pub fn entry_answers_bytes(self) -> usize {
        self.memory_share(ENTRY_ANSWERS_PERCENT)
    }

    /// Bytes that the bodies of calls to a controller may take together.
    pub fn control_bodies_bytes(self) -> usize {
        self.memory_share(CONTROL_BODIES_PERCENT)
    }

    /// Largest body that always fits into the memory of bodies, whatever others hold.
    pub fn largest_body_bytes(self) -> usize {
        self.entry_bodies_bytes() / LARGEST_BODY_DIVISOR
    }

    /// Connections of callers.
    pub fn caller_connections(self) -> usize {
        let all = self.connections(ENTRY_CONNECTIONS_PERCENT, CALLERS_DESCRIPTORS_PERCENT);
        all.saturating_sub(self.peer_connections()).max(1)
    }

    /// Connections of other entry VMs.
    pub fn peer_connections(self) -> usize {
        let all = self.connections(ENTRY_CONNECTIONS_PERCENT, CALLERS_DESCRIPTORS_PERCENT);
        (all * PEERS_DESCRIPTORS_PERCENT / CALLERS_DESCRIPTORS_PERCENT).max(1)
    }

    /// Limits on connections of callers and servers where no configuration of an operator says so.
    pub fn product_callers(self) -> ListenerLimits {
        ListenerLimits {
            connections: self.caller_connections(),
            header_timeout_ms: PRODUCT_HEADER_TIMEOUT_MS,
            idle_timeout_ms: OPERATORS_IDLE_TIMEOUT_MS,
            head_buffer_bytes: PRODUCT_HEAD_BUFFER_BYTES,
        }
    }

    /// Links to a controller from other VMs.
    pub fn link_connections(self) -> usize {
        self.descriptors * LINKS_DESCRIPTORS_PERCENT / 100
    }

    /// Idle connections to backend servers.
    pub fn idle_server_connections(self) -> usize {
        self.descriptors * IDLE_SERVERS_DESCRIPTORS_PERCENT / 100
    }

    /// Limits on connections of the operator and of servers.
    pub fn operators(self) -> ListenerLimits {
        ListenerLimits {
            connections: self
                .connections(CONTROL_CONNECTIONS_PERCENT, OPERATORS_DESCRIPTORS_PERCENT),
            idle_timeout_ms: OPERATORS_IDLE_TIMEOUT_MS,
            ..small_listener()
        }
    }
}

/// Limits on the connections of a listener that only a few programs use.
pub fn small_listener() -> ListenerLimits {
    ListenerLimits {
        connections: SMALL_LISTENER_CONNECTIONS,
        header_timeout_ms: HEADER_TIMEOUT_MS,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        head_buffer_bytes: HEAD_BUFFER_BYTES,
    }
}
