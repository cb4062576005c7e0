//! Tests of gossip, failure detection and quarantine in virtual time.

mod gossip;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use futures::future::BoxFuture;
use gossip::Gossip;
use gossip::centre;
use gossip::payload;
use gossip::vm_name;
use medlarlift::membership::BroadcastRecord;
use medlarlift::membership::Config;
use medlarlift::membership::Contact;
use medlarlift::membership::CrashReport;
use medlarlift::membership::Delta;
use medlarlift::membership::Digest;
use medlarlift::membership::FIRST_QUARANTINE_MS;
use medlarlift::membership::Fingerprint;
use medlarlift::membership::GossipError;
use medlarlift::membership::GossipTransport;
use medlarlift::membership::Handle;
use medlarlift::membership::Lift;
use medlarlift::membership::Liveness;
use medlarlift::membership::Quarantine;
use medlarlift::membership::REPORT_LIFETIME_MS;
use medlarlift::membership::TableConfig;
use medlarlift::membership::Verdict;
use medlarlift::membership::VmStatus;
use medlarlift::membership::Withdrawal;
use medlarlift::types::Clock;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::UnixMs;
use medlarlift::types::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const FINGERPRINT: Fingerprint = Fingerprint([7; 32]);

/// Number of VMs and servers that `viewer` sees with `liveness`.
fn count(gossip: &Gossip, viewer: usize, liveness: Liveness) -> usize {
    let snapshot = gossip.nodes[viewer].table.snapshot();
    let now = MonoMs(gossip.now);
    let vms = snapshot.vms.values().map(|view| view.liveness(now));
    let servers = snapshot.servers.values().map(|view| view.liveness(now));
    vms.chain(servers).filter(|seen| *seen == liveness).count()
}

/// Number of resident adapters that a VM sees on the servers of its data centre.
fn resident_adapters_in_local_data_centre(gossip: &Gossip, viewer: usize) -> usize {
    let snapshot = gossip.nodes[viewer].table.snapshot();
    let servers = snapshot.servers.values();
    let local = servers.filter(|view| view.payload.data_centre == centre(viewer % 3));
    local.map(|view| view.payload.resident_adapters.len()).sum()
}

/// Runs `check` on the snapshots of all live VMs.
fn all_live_vms(
    gossip: &Gossip,
    check: impl Fn(&medlarlift::membership::Snapshot) -> bool,
) -> bool {
    let live = gossip
        .nodes
        .iter()
        .filter(|node| node.alive && !node.isolated);
    live.map(|node| node.table.snapshot())
        .all(|snapshot| check(&snapshot))
}

fn crash(server: &str, incarnation: u64, at: UnixMs) -> CrashReport {
    CrashReport {
        fingerprint: FINGERPRINT,
        server: ServerName::from(server),
        incarnation,
        at,
    }
}

/// Guards against members that are not discovered, live members that are declared dead or removed,
/// and tables that never converge, with 10% of all messages lost.
#[test]
fn every_vm_learns_every_member_without_false_positives() {
    for seed in 0..8 {
        let mut gossip = Gossip::new(seed, 9, 12, 3);
        gossip.lost_percent = 10;
        gossip.run_until(6_000, |gossip| {
            all_live_vms(gossip, |seen| {
                seen.vms.len() == 9 && seen.servers.len() == 12
            })
        });
        for _ in 0..60 {
            gossip.run(1_000);
            for viewer in 0..9 {
                let dead = count(&gossip, viewer, Liveness::Dead);
                assert_eq!(
                    dead, 0,
                    "seed {seed}: VM {viewer} sees live members as dead"
                );
            }
        }
        (0..9).for_each(|viewer| {
            assert_eq!(
                resident_adapters_in_local_data_centre(&gossip, viewer),
                4 * 16
            )
        });
    }
}

/// Guards against a dead VM or backend server that is not detected, and against a restarted one
/// that is taken for its previous incarnation.
#[test]
fn dead_members_are_detected_and_restarted_ones_rejoin() {
    for seed in 0..8 {
        let mut gossip = Gossip::new(seed, 9, 12, 3);
        gossip.run(6_000);
        gossip.nodes[4].alive = false;
        gossip.servers[3].alive = false;
        let detected_ms = gossip.run_until(8_000, |gossip| {
            (0..9)
                .filter(|v| *v != 4)
                .all(|v| count(gossip, v, Liveness::Dead) >= 2)
        });
        assert!(detected_ms >= 5_000, "declared dead after {detected_ms} ms");
        gossip.restart(4);
        gossip.servers[3].alive = true;
        gossip.servers[3].announcement.incarnation = 2;
        gossip.servers[3].announcement.sequence = 0;
        gossip.servers[3]
            .announcement
            .payload
            .resident_adapters
            .clear();
        gossip.run_until(4_000, |gossip| {
            let back = all_live_vms(gossip, |seen| {
                let server = &seen.servers[&ServerName::from("engine-003")];
                let renewed = server.incarnation == 2;
                let empty = server.payload.resident_adapters.is_empty();
                renewed && empty && seen.vms[&vm_name(4)].incarnation == 2
            });
            back && (0..9).all(|v| count(gossip, v, Liveness::Dead) == 0)
        });
        gossip.run_until(3_000, |gossip| {
            resident_adapters_in_local_data_centre(gossip, 4) == 4 * 16
        });
    }
}

/// Guards against urgent updates that some VM receives later than 2 s: a leaving server, a
/// withdrawn key, a crash report and a new coordinator.
#[test]
fn urgent_updates_reach_every_vm_within_two_seconds() {
    for (vms, servers, centres, seeds) in [(9, 12, 3, 8), (100, 40, 5, 3)] {
        for seed in 0..seeds {
            let mut gossip = Gossip::new(seed, vms, servers, centres);
            gossip.run(10_000);
            gossip.servers[1].announcement.payload.leaving = true;
            let unix = gossip.unix();
            let withdrawal = Withdrawal {
                key_hash: [9; 32],
                expires: unix.plus(1_000_000),
            };
            let status = VmStatus {
                coordinator_term: 77,
                ..VmStatus::default()
            };
            let now = MonoMs(gossip.now);
            let table = &mut gossip.nodes[2].table;
            table.add_record(unix, BroadcastRecord::Withdrawal(withdrawal));
            table.add_record(unix, BroadcastRecord::Crash(crash("engine-001", 1, unix)));
            table.set_self(now, payload(2, centres), status);
            gossip.run_until(2_000, |gossip| {
                all_live_vms(gossip, |seen| {
                    seen.servers[&ServerName::from("engine-001")]
                        .payload
                        .leaving
                        && seen.withdrawn.contains(&[9; 32])
                        && seen.vms[&vm_name(2)].status.coordinator_term == 77
                        && seen.quarantine.verdict(&FINGERPRINT, unix) == Verdict::Suspect
                })
            });
        }
    }
}

/// Guards against a partition that does not heal after it lasted until both sides had removed each
/// other's entries.
#[test]
fn partition_heals() {
    let mut gossip = Gossip::new(5, 9, 12, 3);
    gossip.run(6_000);
    gossip.nodes[0].isolated = true;
    gossip.run(80_000);
    assert!(all_live_vms(&gossip, |seen| seen.vms.len() == 8));
    gossip.nodes[0].isolated = false;
    gossip.run_until(10_000, |gossip| {
        all_live_vms(gossip, |seen| seen.vms.len() == 9)
    });
}

/// Guards against gossip traffic per VM that grows with the number of members.
#[test]
fn traffic_per_vm_is_bounded() {
    for (vms, servers, centres) in [(9, 12, 3), (9, 120, 3), (60, 130, 5)] {
        let mut gossip = Gossip::new(1, vms, servers, centres);
        gossip.run(12_000);
        let before = gossip.sent_bytes;
        gossip.run(8_000);
        let bytes_per_s = (gossip.sent_bytes - before) / vms as u64 / 8;
        assert!(
            bytes_per_s < 8_000,
            "{vms} VMs, {servers} servers: {bytes_per_s} bytes/s"
        );
    }
}

/// Guards against a request that crashes several servers because its caller resends it to other
/// VMs, and against a quarantine that ends too early, never ends, or does not get longer.
#[test]
fn two_crashes_quarantine_a_request_and_at_most_three_occur() {
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut gossip = Gossip::new(seed, 9, 12, 3);
        gossip.run(5_000);
        let mut crashes = 0;
        for _ in 0..40 {
            let unix = gossip.unix();
            let table = &mut gossip.nodes[rng.random_range(0..9)].table;
            let verdict = table.snapshot().quarantine.verdict(&FINGERPRINT, unix);
            if !matches!(verdict, Verdict::Quarantined { .. }) {
                crashes += 1;
                let report = crash(&format!("engine-{crashes:03}"), 1, unix);
                table.add_record(unix, BroadcastRecord::Crash(report));
            }
            gossip.run(rng.random_range(50..400));
        }
        assert!((2..=3).contains(&crashes), "seed {seed}: {crashes} crashes");
    }
    let start = UnixMs(1_000_000);
    let mut quarantine = Quarantine::default();
    quarantine.report(&crash("a", 1, start));
    quarantine.report(&crash("a", 1, start.plus(5)));
    assert_eq!(
        quarantine.verdict(&FINGERPRINT, start),
        Verdict::Suspect,
        "one crash, two reporters"
    );
    quarantine.report(&crash("a", 2, start));
    let until = start.plus(FIRST_QUARANTINE_MS);
    assert_eq!(
        quarantine.verdict(&FINGERPRINT, start),
        Verdict::Quarantined { until }
    );
    assert_eq!(quarantine.verdict(&FINGERPRINT, until), Verdict::Suspect);
    quarantine.report(&crash("b", 1, until));
    let longer = until.plus(2 * FIRST_QUARANTINE_MS);
    assert_eq!(
        quarantine.verdict(&FINGERPRINT, until),
        Verdict::Quarantined { until: longer }
    );
    let mut lifted = quarantine.clone();
    let at = until;
    lifted.lift(&Lift {
        fingerprint: FINGERPRINT,
        at,
    });
    assert_eq!(lifted.verdict(&FINGERPRINT, until), Verdict::Clear);
    let forgotten = until.plus(REPORT_LIFETIME_MS);
    assert_eq!(quarantine.verdict(&FINGERPRINT, forgotten), Verdict::Clear);
}

/// Passes gossip directly to the handles of other VMs.
#[derive(Default)]
struct InMemoryTransport {
    handles: Mutex<BTreeMap<VmName, Handle>>,
}

impl GossipTransport for InMemoryTransport {
    fn gossip(
        &self,
        to: VmName,
        _address: String,
        digest: Digest,
    ) -> BoxFuture<'static, Result<Delta, GossipError>> {
        let handle = self.handles.lock().expect("not poisoned").get(&to).cloned();
        Box::pin(async move {
            let reply = handle.and_then(|handle| handle.receive(&digest));
            let reason = "not running".to_owned();
            reply.ok_or(GossipError { vm: to, reason })
        })
    }
}

/// Guards against a driver that does not gossip, or that does not publish what it received.
#[tokio::test]
async fn driver_propagates_announcements_and_withdrawals() {
    let peers = Arc::new(InMemoryTransport::default());
    let mut handles = Vec::new();
    for index in 0..3 {
        let table = TableConfig {
            vm: vm_name(index),
            incarnation: 1,
            payload: payload(index, 3),
            seed: 1,
        };
        let contacts = vec![Contact {
            vm: vm_name(0),
            data_centre: centre(0),
            address: "10.0.0.1:7400".to_owned(),
        }];
        let config = Config {
            table,
            contacts,
            clock: Clock::start(),
        };
        let shared = Arc::clone(&peers) as Arc<dyn GossipTransport>;
        let handle = medlarlift::membership::spawn(config, shared);
        peers
            .handles
            .lock()
            .expect("not poisoned")
            .insert(vm_name(index), handle.clone());
        handles.push(handle);
    }
    let mut snapshots = handles[2].subscribe();
    let announcement = Gossip::new(1, 3, 1, 3).servers[0].announcement.clone();
    handles[0].announce(announcement);
    handles[1].withdraw_key([3; 32]);
    let received = snapshots.wait_for(|seen| {
        seen.vms.len() == 3 && seen.servers.len() == 1 && seen.withdrawn.contains(&[3; 32])
    });
    let limit = std::time::Duration::from_secs(4);
    assert!(
        tokio::time::timeout(limit, received).await.is_ok(),
        "updates not received in time"
    );
}
