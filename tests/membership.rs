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
use medlarlift::membership::Config;
use medlarlift::membership::Contact;
use medlarlift::membership::CrashReport;
use medlarlift::membership::Delta;
use medlarlift::membership::Digest;
use medlarlift::membership::FIRST_QUARANTINE_MS;
use medlarlift::membership::Fact;
use medlarlift::membership::Fingerprint;
use medlarlift::membership::GossipPeers;
use medlarlift::membership::Handle;
use medlarlift::membership::Lift;
use medlarlift::membership::Liveness;
use medlarlift::membership::NoGossip;
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

const PRINT: Fingerprint = Fingerprint([7; 32]);

/// Number of other VMs and servers that the first node sees in a state.
fn count(gossip: &Gossip, viewer: usize, liveness: Liveness) -> usize {
    let snapshot = gossip.nodes[viewer].table.snapshot();
    let now = MonoMs(gossip.now);
    let vms = snapshot.vms.values().map(|view| view.liveness(now));
    let servers = snapshot.servers.values().map(|view| view.liveness(now));
    vms.chain(servers).filter(|seen| *seen == liveness).count()
}

/// Resident adapters that a VM sees on the servers of its own data centre.
fn resident_at_home(gossip: &Gossip, viewer: usize) -> usize {
    let snapshot = gossip.nodes[viewer].table.snapshot();
    let servers = snapshot.servers.values();
    let local = servers.filter(|view| view.payload.data_centre == centre(viewer % 3));
    local.map(|view| view.payload.resident_adapters.len()).sum()
}

/// Runs `check` on the snapshots of all live VMs.
fn all(gossip: &Gossip, check: impl Fn(&medlarlift::membership::Snapshot) -> bool) -> bool {
    let live = gossip.nodes.iter().filter(|node| node.alive && !node.cut);
    live.map(|node| node.table.snapshot())
        .all(|snapshot| check(&snapshot))
}

fn crash(server: &str, incarnation: u64, at: UnixMs) -> CrashReport {
    CrashReport {
        fingerprint: PRINT,
        server: ServerName::from(server),
        incarnation,
        at,
    }
}

/// Guards against a fleet that does not find all its members, against members that are dropped
/// although they live, and against tables that differ for ever, with a tenth of all messages lost.
#[test]
fn every_vm_learns_every_member_and_raises_no_false_alarm() {
    for seed in 0..8 {
        let mut gossip = Gossip::new(seed, 9, 12, 3);
        gossip.lost_percent = 10;
        gossip.run_until(6_000, |gossip| {
            all(gossip, |seen| {
                seen.vms.len() == 9 && seen.servers.len() == 12
            })
        });
        for _ in 0..60 {
            gossip.run(1_000);
            for viewer in 0..9 {
                let dead = count(&gossip, viewer, Liveness::Dead);
                assert_eq!(dead, 0, "seed {seed}: VM {viewer} calls live members dead");
            }
        }
        (0..9).for_each(|viewer| assert_eq!(resident_at_home(&gossip, viewer), 4 * 16));
    }
}

/// Guards against a dead VM or backend server that keeps getting work, and against a restarted one
/// that is taken for its predecessor.
#[test]
fn dead_members_are_noticed_and_restarted_ones_come_back() {
    for seed in 0..8 {
        let mut gossip = Gossip::new(seed, 9, 12, 3);
        gossip.run(6_000);
        gossip.nodes[4].alive = false;
        gossip.servers[3].alive = false;
        let noticed = gossip.run_until(8_000, |gossip| {
            (0..9)
                .filter(|v| *v != 4)
                .all(|v| count(gossip, v, Liveness::Dead) >= 2)
        });
        assert!(noticed >= 5_000, "declared dead after {noticed} ms");
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
            let back = all(gossip, |seen| {
                let server = &seen.servers[&ServerName::from("engine-003")];
                let renewed = server.incarnation == 2;
                let empty = server.payload.resident_adapters.is_empty();
                renewed && empty && seen.vms[&vm_name(4)].incarnation == 2
            });
            back && (0..9).all(|v| count(gossip, v, Liveness::Dead) == 0)
        });
        gossip.run_until(3_000, |gossip| resident_at_home(gossip, 4) == 4 * 16);
    }
}

/// Guards against a leaving server that gets work after 2 s, and against a withdrawn key, a crash
/// report or a new coordinator that the other VMs learn of later than that.
#[test]
fn urgent_news_reaches_every_vm_within_two_seconds() {
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
            table.add_fact(unix, Fact::Withdrawal(withdrawal));
            table.add_fact(unix, Fact::Crash(crash("engine-001", 1, unix)));
            table.set_self(now, payload(2, centres), status);
            gossip.run_until(2_000, |gossip| {
                all(gossip, |seen| {
                    seen.servers[&ServerName::from("engine-001")]
                        .payload
                        .leaving
                        && seen.withdrawn.contains(&[9; 32])
                        && seen.vms[&vm_name(2)].status.coordinator_term == 77
                        && seen.quarantine.verdict(&PRINT, unix) == Verdict::Suspect
                })
            });
        }
    }
}

/// Guards against a partition after which the sides never find each other again, even when it
/// lasted until both had dropped the other side.
#[test]
fn healed_partition_is_forgotten() {
    let mut gossip = Gossip::new(5, 9, 12, 3);
    gossip.run(6_000);
    gossip.nodes[0].cut = true;
    gossip.run(80_000);
    assert!(all(&gossip, |seen| seen.vms.len() == 8));
    gossip.nodes[0].cut = false;
    gossip.run_until(10_000, |gossip| all(gossip, |seen| seen.vms.len() == 9));
}

/// Guards against gossip traffic that grows with the fleet.
#[test]
fn traffic_per_vm_stays_flat() {
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

/// Guards against a request that crashes server after server while its caller resends it to any VM,
/// and against a quarantine that ends too early, never, or does not grow.
#[test]
fn two_crashes_quarantine_a_request_and_a_third_is_the_last() {
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut gossip = Gossip::new(seed, 9, 12, 3);
        gossip.run(5_000);
        let mut crashes = 0;
        for _ in 0..40 {
            let unix = gossip.unix();
            let table = &mut gossip.nodes[rng.random_range(0..9)].table;
            let verdict = table.snapshot().quarantine.verdict(&PRINT, unix);
            if !matches!(verdict, Verdict::Quarantined { .. }) {
                crashes += 1;
                let report = crash(&format!("engine-{crashes:03}"), 1, unix);
                table.add_fact(unix, Fact::Crash(report));
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
        quarantine.verdict(&PRINT, start),
        Verdict::Suspect,
        "one crash, two reporters"
    );
    quarantine.report(&crash("a", 2, start));
    let until = start.plus(FIRST_QUARANTINE_MS);
    assert_eq!(
        quarantine.verdict(&PRINT, start),
        Verdict::Quarantined { until }
    );
    assert_eq!(quarantine.verdict(&PRINT, until), Verdict::Suspect);
    quarantine.report(&crash("b", 1, until));
    let longer = until.plus(2 * FIRST_QUARANTINE_MS);
    assert_eq!(
        quarantine.verdict(&PRINT, until),
        Verdict::Quarantined { until: longer }
    );
    let mut lifted = quarantine.clone();
    let at = until;
    lifted.lift(&Lift {
        fingerprint: PRINT,
        at,
    });
    assert_eq!(lifted.verdict(&PRINT, until), Verdict::Clear);
    let forgotten = until.plus(REPORT_LIFETIME_MS);
    assert_eq!(quarantine.verdict(&PRINT, forgotten), Verdict::Clear);
}

/// Hands gossip straight to the handles of other VMs.
#[derive(Default)]
struct DirectPeers {
    handles: Mutex<BTreeMap<VmName, Handle>>,
}

impl GossipPeers for DirectPeers {
    fn gossip(
        &self,
        to: VmName,
        _address: String,
        digest: Digest,
    ) -> BoxFuture<'static, Result<Delta, NoGossip>> {
        let handle = self.handles.lock().expect("not poisoned").get(&to).cloned();
        Box::pin(async move {
            let reply = handle.and_then(|handle| handle.receive(&digest));
            let reason = "not running".to_owned();
            reply.ok_or(NoGossip { vm: to, reason })
        })
    }
}

/// Guards against a driver that does not gossip, or whose readers do not see what it learnt.
#[tokio::test]
async fn driver_spreads_announcements_and_withdrawals() {
    let peers = Arc::new(DirectPeers::default());
    let mut handles = Vec::new();
    for index in 0..3 {
        let table = TableConfig {
            me: vm_name(index),
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
        let shared = Arc::clone(&peers) as Arc<dyn GossipPeers>;
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
    let learnt = snapshots.wait_for(|seen| {
        seen.vms.len() == 3 && seen.servers.len() == 1 && seen.withdrawn.contains(&[3; 32])
    });
    let limit = std::time::Duration::from_secs(4);
    assert!(
        tokio::time::timeout(limit, learnt).await.is_ok(),
        "not learnt in time"
    );
}
