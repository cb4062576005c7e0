//! Measures the gossip traffic per VM for fleets of different sizes, in virtual time. The arguments
//! `vms servers centres` select a single size.

#[allow(dead_code)]
#[path = "../tests/gossip/mod.rs"]
mod gossip;

use gossip::Gossip;
use medlarlift::membership::Liveness;
use medlarlift::types::MonoMs;

/// Warm-up time before traffic is counted, in milliseconds.
const SETTLE_MS: u64 = 20_000;

/// Duration of the measurement, in milliseconds.
const COUNT_MS: u64 = 20_000;

fn main() {
    let numbers: Vec<usize> = std::env::args()
        .filter_map(|text| text.parse().ok())
        .collect();
    println!("vms servers centres bytes/s messages/s suspect dead known");
    if let [vms, servers, centres] = numbers[..] {
        return measure(vms, servers, centres);
    }
    let sizes = [
        (9, 12, 3),
        (9, 120, 3),
        (9, 420, 3),
        (9, 840, 3),
        (50, 12, 3),
        (50, 113, 3),
        (100, 12, 5),
        (100, 227, 5),
        (370, 12, 5),
        (370, 840, 5),
    ];
    for (vms, servers, centres) in sizes {
        measure(vms, servers, centres);
    }
}

fn measure(vms: usize, servers: usize, centres: usize) {
    let mut gossip = Gossip::new(1, vms, servers, centres);
    gossip.run(SETTLE_MS);
    let (bytes, messages) = (gossip.sent_bytes, gossip.sent_messages);
    let (mut suspect, mut dead, mut known) = (0, 0, 0);
    for _ in 0..4 {
        gossip.run(COUNT_MS / 4);
        let snapshot = gossip.nodes[0].table.snapshot();
        let now = MonoMs(gossip.now);
        let vms = snapshot.vms.values().map(|view| view.liveness(now));
        let servers = snapshot.servers.values().map(|view| view.liveness(now));
        let all: Vec<Liveness> = vms.chain(servers).collect();
        suspect += all.iter().filter(|l| **l == Liveness::Suspect).count();
        dead += all.iter().filter(|l| **l == Liveness::Dead).count();
        known = all.len();
    }
    let per_vm = vms as u64 * COUNT_MS / 1_000;
    let bytes = (gossip.sent_bytes - bytes) / per_vm;
    let messages = (gossip.sent_messages - messages) / per_vm;
    println!("{vms} {servers} {centres} {bytes} {messages} {suspect} {dead} {known}");
}
