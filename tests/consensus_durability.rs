//! A change that was acknowledged, or just sent, and an end right after it: any allowed set of disks is lost and any
//! other members lose power, while losses, replacements, demotions, freezes and cuts are under way. Nothing that was
//! acknowledged is gone or older, and changes are committed again. Virtual time, random seeds.

mod consensus_sim;

use std::collections::BTreeMap;
use std::ops::Range;

use medlarlift::consensus::core::Input;
use medlarlift::types::VmName;
use rand::RngExt;
use rand::seq::IteratorRandom;

use consensus_sim::Options;
use consensus_sim::Sim;

/// Interval of proposals.
const PROPOSE_MS: u64 = 50;
/// Time in which members that have just started are promoted.
const JOIN_MS: u64 = 5_000;
/// Largest number of disturbances before the end.
const STEPS: usize = 40;
/// Longest time that a member is frozen, cut off or down before the next disturbance may end it.
const LONGEST_PAUSE_MS: u64 = 3_000;
/// Bounds of the time from the proposal to the end.
const SENT_MS: Range<u64> = 5..400;

/// What a deployment allows.
#[derive(Clone, Copy)]
struct Allowed {
    members: usize,
    /// Number of members that may be lost at once, and of disks in any case.
    losses: usize,
    /// Time after its return for which a member still counts as lost.
    catch_up_ms: u64,
    /// Time after the return of all members within which a change is committed.
    recovery_ms: u64,
}

const THREE: Allowed = Allowed {
    members: 3,
    losses: 1,
    catch_up_ms: 4_000,
    recovery_ms: 12_000,
};
const FIVE: Allowed = Allowed {
    members: 5,
    losses: 2,
    catch_up_ms: 6_000,
    recovery_ms: 15_000,
};
const SIX: Allowed = Allowed { members: 6, ..FIVE };

/// A member that counts as lost.
struct Loss {
    /// Time until which it counts; `u64::MAX` until it is back.
    until_ms: u64,
    has_lost_disk: bool,
}

struct Run {
    sim: Sim,
    allowed: Allowed,
    lost: BTreeMap<VmName, Loss>,
    /// Removed members whose successors have not started yet.
    gone: Vec<VmName>,
    history: Vec<String>,
    /// Kinds of disturbances that are drawn: all, or crashes and returns only.
    kinds: Range<u32>,
}

fn options(seed: u64) -> Options {
    Options {
        sync_ms: (0, 25),
        ..Options::reliable_of(seed)
    }
}

impl Run {
    fn new(seed: u64, allowed: Allowed) -> Self {
        let founders = ["a", "b", "c"];
        let sim = Sim::with_disk_losses(seed, &founders, allowed.losses, options(seed));
        let mut run = Self {
            sim,
            allowed,
            lost: BTreeMap::new(),
            gone: Vec::new(),
            history: Vec::new(),
            kinds: [0..8, 6..8][seed as usize / 6 % 2].clone(),
        };
        run.run(3_000);
        for number in founders.len()..allowed.members {
            run.sim.add(&VmName::from(format!("joined-{number}")));
        }
        run.run(JOIN_MS);
        assert!(run.sim.is_repaired(), "{seed}: {}", run.sim.describe());
        run
    }

    fn note(&mut self, text: String) {
        self.history.push(format!("{} {text}", self.sim.now_ms));
    }

    fn propose(&mut self) -> bool {
        let command = self.sim.number().to_be_bytes().to_vec();
        let leader = self.sim.leader();
        leader.is_some_and(|leader| self.sim.propose(&leader, command))
    }

    fn run(&mut self, duration_ms: u64) {
        let until_ms = self.sim.now_ms + duration_ms;
        while self.sim.now_ms < until_ms {
            self.propose();
            self.sim.run(PROPOSE_MS.min(until_ms - self.sim.now_ms));
            self.count_losses();
        }
    }

    /// Forgets losses that have ended. If more are lost than allowed, lost disks count until service must have
    /// recovered.
    fn count_losses(&mut self) {
        let now_ms = self.sim.now_ms;
        self.lost.retain(|_, loss| now_ms < loss.until_ms);
        if self.lost.len() > self.allowed.losses {
            let recovered_ms = now_ms + self.allowed.recovery_ms;
            for loss in self.lost.values_mut() {
                loss.until_ms = match loss.has_lost_disk {
                    true => loss.until_ms.max(recovered_ms),
                    false => loss.until_ms,
                };
            }
        }
    }

    fn lose(&mut self, vm: &VmName, has_lost_disk: bool) {
        let had_lost_disk = self.lost.get(vm).is_some_and(|loss| loss.has_lost_disk);
        let loss = Loss {
            until_ms: u64::MAX,
            has_lost_disk: has_lost_disk || had_lost_disk,
        };
        self.lost.insert(vm.clone(), loss);
    }

    fn is_back(&mut self, vm: &VmName) {
        let until_ms = self.sim.now_ms + self.allowed.catch_up_ms;
        if let Some(loss) = self.lost.get_mut(vm) {
            loss.until_ms = until_ms;
        }
    }

    /// Number of disks that may be lost besides those that are.
    fn disks_left(&self) -> usize {
        let disks = self.lost.values().filter(|loss| loss.has_lost_disk);
        self.allowed.losses - disks.count()
    }

    fn disturb(&mut self) {
        let names = self.sim.names();
        let vm = names.into_iter().choose(&mut self.sim.rng).expect("member");
        let is_away = self.lost.get(&vm).map(|loss| loss.until_ms) == Some(u64::MAX);
        let kind = self.sim.rng.random_range(self.kinds.clone());
        self.note(format!("{vm}: away {is_away}, kind {kind}"));
        let now_ms = self.sim.now_ms;
        match kind {
            0 if !self.gone.is_empty() => self.start_successor(),
            0 | 1 if self.disks_left() > 0 => self.remove(&vm),
            2 if self.disks_left() > 0 => {
                self.sim.lose_disk(&vm);
                self.lose(&vm, true);
            }
            _ if is_away => self.bring_back(&vm),
            3 => {
                self.lose(&vm, false);
                let node = self.sim.nodes.get_mut(&vm).expect("known");
                node.frozen_until_ms = now_ms + 60_000;
            }
            4 => {
                self.lose(&vm, false);
                self.sim.isolate(&vm);
            }
            5 => self.announce_shutdown(&vm),
            _ => {
                self.lose(&vm, false);
                self.sim.crash(&vm);
            }
        }
        let pause_ms = self.sim.rng.random_range(0..LONGEST_PAUSE_MS);
        self.run(pause_ms);
    }

    fn announce_shutdown(&mut self, vm: &VmName) {
        let leader = self.sim.leader();
        if leader.as_ref() == Some(vm) {
            self.sim.step(vm, Input::Transfer);
        } else if let Some(leader) = leader {
            self.sim.step(&leader, Input::MemberLeaves(vm.clone()));
        }
        let wait_ms = self.sim.rng.random_range(0..300);
        self.run(wait_ms);
        self.lose(vm, false);
        self.sim.crash(vm);
    }

    fn remove(&mut self, vm: &VmName) {
        self.lose(vm, true);
        self.gone.push(vm.clone());
        self.sim.remove(vm);
    }

    /// The successor takes over the loss of the member that it replaces.
    fn start_successor(&mut self) {
        let former = self.gone.remove(0);
        let number = self.sim.number();
        let successor = VmName::from(format!("successor-{number}"));
        self.sim.add(&successor);
        let loss = self.lost.remove(&former).expect("is lost");
        self.lost.insert(successor.clone(), loss);
        self.is_back(&successor);
    }

    fn bring_back(&mut self, vm: &VmName) {
        self.sim
            .blocked
            .retain(|link| link.0 != *vm && link.1 != *vm);
        let node = self.sim.nodes.get_mut(vm).expect("known");
        node.frozen_until_ms = 0;
        self.sim.start(vm);
        self.is_back(vm);
    }

    /// Proposes, and waits until that is committed or for a drawn time.
    fn send_last(&mut self) {
        let before = self.sim.oracle.last_index();
        let is_sent = self.propose();
        let sent_ms = self.sim.now_ms;
        let wait_ms = self.sim.rng.random_range(SENT_MS);
        let ends_at_commit = self.sim.rng.random_bool(0.5);
        while is_sent && self.sim.now_ms < sent_ms + wait_ms {
            self.sim.run(1);
            if ends_at_commit && self.sim.oracle.last_index() > before {
                break;
            }
        }
    }

    /// Loses disks and power, and brings all back.
    fn end(&mut self) {
        self.count_losses();
        let disks = self.disks_left();
        let names = self.sim.names();
        let whole = names.iter().filter(|vm| {
            let loss = self.lost.get(*vm);
            !loss.is_some_and(|loss| loss.has_lost_disk)
        });
        let wiped: Vec<VmName> = whole.cloned().sample(&mut self.sim.rng, disks);
        let loses_power = [0.5, 1.0][self.sim.rng.random_range(0..2)];
        self.note(format!("end, disks lost: {wiped:?}"));
        for vm in names {
            if wiped.contains(&vm) {
                self.sim.lose_disk(&vm);
            } else if self.sim.rng.random_bool(loses_power) {
                self.sim.crash(&vm);
            }
        }
        let pause_ms = self.sim.rng.random_range(0..2_000);
        self.sim.run(pause_ms);
        self.sim.heal();
        while !self.gone.is_empty() {
            self.start_successor();
        }
    }
}

fn drawn_end(seed: u64, allowed: Allowed) -> Result<(), String> {
    let mut run = Run::new(seed, allowed);
    for _ in 0..run.sim.rng.random_range(1..STEPS) {
        run.disturb();
    }
    run.send_last();
    let before = run.sim.describe();
    run.end();
    let applied = run.sim.oracle.last_index();
    run.run(allowed.recovery_ms);
    let last = run.sim.oracle.last_index();
    if run.sim.leader().is_some() && last > applied {
        return Ok(());
    }
    let tail = run.history.len().saturating_sub(14);
    let history = run.history[tail..].join("\n");
    let after = run.sim.describe();
    Err(format!(
        "seed {seed}: applied {last} after {applied}\n{history}\nbefore:\n{before}after:\n{after}"
    ))
}

/// Runs `seeds`, or as many from 0 on as the environment variable FUZZ_SEEDS names.
fn drawn_ends(seeds: Range<u64>, allowed: Allowed) {
    let wanted = std::env::var("FUZZ_SEEDS").ok();
    let wanted = wanted.and_then(|text| text.parse().ok());
    let seeds = wanted.map_or(seeds, |count| 0..count);
    let count = seeds.end - seeds.start;
    let ends = seeds.map(|seed| drawn_end(seed, allowed));
    let failed: Vec<String> = ends.filter_map(Result::err).collect();
    let seeds = failed.iter().map(|error| error.split(':').next());
    let seeds: Vec<&str> = seeds.map(Option::unwrap_or_default).collect();
    println!("{} of {count} failed: {seeds:?}", failed.len());
    assert!(failed.is_empty(), "{}", failed[0]);
}

/// Guards against acknowledged changes that are gone, and against a log without a quorum.
#[test]
fn three_members_keep_what_was_acknowledged_whatever_is_under_way() {
    drawn_ends(0..3, THREE);
}

/// The same with five members and two lost at once.
#[test]
fn five_members_keep_what_was_acknowledged_whatever_is_under_way() {
    drawn_ends(0..2, FIVE);
}

/// The same with six members.
#[test]
fn six_members_keep_what_was_acknowledged_whatever_is_under_way() {
    drawn_ends(22..24, SIX);
}
