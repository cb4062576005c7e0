//! Replacement of members in virtual time: whatever is lost one after the other within the fault tolerance,
//! the log keeps a quorum. Random seeds.

mod consensus_sim;

use medlarlift::consensus::core::Input;
use medlarlift::types::VmName;
use rand::RngExt;

use consensus_sim::Options;
use consensus_sim::Sim;

/// Time after its start from which a successor counts in place of the VM that it replaces.
const CATCH_UP_MS: u64 = 4_000;
/// Longest time without a committed command: the detection of a lost leader, and some rounds of election.
const COMMIT_GAP_MS: u64 = 4_000;
/// Longest time that a process which shuts down waits until it is no voter, as in the driver.
const SHUTDOWN_MS: u64 = 3_000;
/// Interval of the notices and of the steps of a run.
const STEP_MS: u64 = 10;
/// Interval of proposals.
const PROPOSE_MS: u64 = 100;
/// Size of some commands, and of the snapshots of some seeds.
const LARGE_BYTES: usize = 300_000;
const REPLACEMENTS: usize = 12;

/// What befalls a VM before it is gone for good.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    Frozen,
    CutOff,
    FullDisk,
    LostDisk,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Whole,
    /// The VM is lost and goes for good next.
    Troubled,
    /// The VM is gone and its successor comes next.
    Gone,
    /// The successor has just started and may be disturbed next.
    Started,
    /// The successor is disturbed and comes back next.
    Disturbed,
    CatchingUp,
    /// The successor has come first, and the former VM shuts down next.
    Both,
    Leaving {
        until_ms: u64,
    },
}

/// One VM at a time that may be lost, with its successor.
struct Lane {
    vm: VmName,
    successor: VmName,
    phase: Phase,
    due_ms: u64,
}

struct Run {
    sim: Sim,
    lanes: Vec<Lane>,
    replaced: usize,
    commands: usize,
    commit_ms: u64,
    longest_gap_ms: u64,
    history: Vec<String>,
    /// Successors that did not vote in time.
    late: Vec<String>,
}

fn options(seed: u64) -> Options {
    Options {
        padding_bytes: if seed.is_multiple_of(4) {
            LARGE_BYTES
        } else {
            0
        },
        ..Options::reliable_of(seed)
    }
}

impl Run {
    fn new(seed: u64, voters: usize, tolerance: usize) -> Self {
        let mut sim = Sim::new(seed, &["a", "b", "c"], options(seed));
        sim.run(3_000);
        for number in 3..voters {
            sim.add(&VmName::from(format!("joined-{number}")));
        }
        sim.run(3_000);
        assert!(sim.is_repaired(), "seed {seed}:\n{}", sim.describe());
        let now_ms = sim.now_ms;
        let lanes = (0..tolerance).map(|lane| Lane {
            vm: VmName::from("a"),
            successor: VmName::from("a"),
            phase: Phase::Whole,
            due_ms: now_ms + lane as u64 * 700,
        });
        Self {
            lanes: lanes.collect(),
            replaced: 0,
            commands: 0,
            commit_ms: now_ms,
            longest_gap_ms: 0,
            history: Vec::new(),
            late: Vec::new(),
            sim,
        }
    }

    fn note(&mut self, text: String) {
        let now_ms = self.sim.now_ms;
        self.history.push(format!("{now_ms} {text}"));
    }

    /// Proposes, and records when commands are committed.
    fn step(&mut self) {
        if self.sim.now_ms.is_multiple_of(PROPOSE_MS) {
            self.propose();
        }
        self.sim.run(STEP_MS);
        let commands = self.sim.oracle.last_index() as usize;
        if commands > self.commands {
            self.commands = commands;
            self.commit_ms = self.sim.now_ms;
        }
        let gap_ms = self.sim.now_ms - self.commit_ms;
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
    }

    fn propose(&mut self) {
        let is_large = self.sim.options.padding_bytes > 0 && self.sim.rng.random_bool(0.1);
        let mut command = self.sim.number().to_be_bytes().to_vec();
        command.resize(if is_large { LARGE_BYTES } else { 8 }, 0);
        if let Some(leader) = self.sim.leader() {
            self.sim.propose(&leader, command);
        }
    }

    /// A VM that no lane holds: the leader or any.
    fn choose(&mut self) -> VmName {
        let is_held = |vm: &VmName| {
            let mut lanes = self.lanes.iter();
            lanes.any(|lane| {
                !matches!(lane.phase, Phase::Whole) && (lane.vm == *vm || lane.successor == *vm)
            })
        };
        let mut free = self.sim.names();
        free.retain(|vm| !is_held(vm));
        let leader = self.sim.leader().filter(|vm| free.contains(vm));
        if let Some(leader) = leader
            && self.sim.rng.random_bool(0.4)
        {
            return leader;
        }
        let choice = self.sim.rng.random_range(0..free.len());
        free[choice].clone()
    }

    fn advance(&mut self, lane: usize) {
        let now_ms = self.sim.now_ms;
        if now_ms < self.lanes[lane].due_ms {
            return;
        }
        let phase = self.lanes[lane].phase;
        self.note(format!("lane {lane}: {phase:?} {}", self.lanes[lane].vm));
        let (phase, wait_ms) = match phase {
            Phase::Whole => self.begin(lane),
            Phase::Troubled => {
                let vm = self.lanes[lane].vm.clone();
                self.sim.remove(&vm);
                (Phase::Gone, self.sim.rng.random_range(0..2_500))
            }
            Phase::Gone => {
                self.start_successor(lane);
                match self.sim.rng.random_bool(0.3) {
                    true => (Phase::Started, self.sim.rng.random_range(0..2_500)),
                    false => (Phase::CatchingUp, CATCH_UP_MS),
                }
            }
            Phase::Started => self.disturb(lane),
            Phase::Disturbed => {
                let vm = self.lanes[lane].successor.clone();
                self.sim.start(&vm);
                (Phase::CatchingUp, CATCH_UP_MS)
            }
            Phase::CatchingUp => {
                self.check_successor(lane);
                self.replaced += 1;
                (Phase::Whole, 0)
            }
            Phase::Both => {
                let until_ms = now_ms + SHUTDOWN_MS;
                (Phase::Leaving { until_ms }, 0)
            }
            Phase::Leaving { until_ms } => self.leave(lane, until_ms),
        };
        self.lanes[lane].phase = phase;
        self.lanes[lane].due_ms = now_ms + wait_ms;
    }

    /// A successor votes once it counts in place of the VM that it replaces. Not checked if another VM may be
    /// lost meanwhile, so that the election of a leader comes in between.
    fn check_successor(&mut self, lane: usize) {
        let vm = self.lanes[lane].successor.clone();
        let status = self.sim.status(&vm).expect("runs");
        let votes = status.configuration.voter_on(&vm).is_some();
        if !votes && self.lanes.len() == 1 {
            let now_ms = self.sim.now_ms;
            self.late.push(format!("{vm} does not vote at {now_ms}"));
        }
    }

    fn begin(&mut self, lane: usize) -> (Phase, u64) {
        let vm = self.choose();
        self.lanes[lane].vm = vm.clone();
        self.lanes[lane].successor = vm.clone();
        if self.sim.rng.random_bool(0.3) {
            self.start_successor(lane);
            return (Phase::Both, CATCH_UP_MS);
        }
        let troubles = [
            Trouble::None,
            Trouble::Frozen,
            Trouble::CutOff,
            Trouble::FullDisk,
            Trouble::LostDisk,
        ];
        let trouble = troubles[self.sim.rng.random_range(0..troubles.len())];
        self.note(format!("lane {lane}: {trouble:?} {vm}"));
        let node = self.sim.nodes.get_mut(&vm).expect("known VM");
        match trouble {
            Trouble::None => return (Phase::Troubled, 0),
            Trouble::Frozen => node.frozen_until_ms = u64::MAX,
            Trouble::CutOff => self.sim.isolate(&vm),
            Trouble::FullDisk => node.disk.fail_after(0),
            Trouble::LostDisk => {
                self.sim.lose_disk(&vm);
                self.sim.start(&vm);
            }
        }
        (Phase::Troubled, self.sim.rng.random_range(0..3_000))
    }

    fn start_successor(&mut self, lane: usize) {
        let number = self.sim.number();
        let successor = VmName::from(format!("successor-{number}"));
        self.sim.add(&successor);
        self.lanes[lane].successor = successor;
    }

    /// Freezes or crashes the successor, which counts only from its return on.
    fn disturb(&mut self, lane: usize) -> (Phase, u64) {
        let vm = self.lanes[lane].successor.clone();
        let duration_ms = self.sim.rng.random_range(10..4_000);
        if self.sim.rng.random_bool(0.5) {
            self.sim.crash(&vm);
        } else {
            let until_ms = self.sim.now_ms + duration_ms;
            let node = self.sim.nodes.get_mut(&vm).expect("known VM");
            node.frozen_until_ms = until_ms;
        }
        (Phase::Disturbed, duration_ms)
    }

    /// Repeats the notice of a VM that shuts down until it is no voter, then removes it.
    fn leave(&mut self, lane: usize, until_ms: u64) -> (Phase, u64) {
        let vm = self.lanes[lane].vm.clone();
        let leader = self.sim.leader();
        if leader.as_ref() == Some(&vm) {
            self.sim.step(&vm, Input::Transfer);
        } else if let Some(leader) = &leader {
            self.sim.step(leader, Input::MemberLeaves(vm.clone()));
        }
        let status = self.sim.status(&vm);
        let votes = status.is_some_and(|status| status.configuration.voter_on(&vm).is_some());
        if votes && self.sim.now_ms < until_ms {
            return (Phase::Leaving { until_ms }, 50);
        }
        self.sim.remove(&vm);
        self.replaced += 1;
        (Phase::Whole, self.sim.rng.random_range(0..500))
    }
}

/// Replaces members one after the other, with as many lost at a time as `tolerance`. Returns the longest time
/// without a commit.
fn replace_members(seed: u64, voters: usize, tolerance: usize) -> Result<u64, String> {
    let mut run = Run::new(seed, voters, tolerance);
    while run.replaced < REPLACEMENTS * tolerance {
        for lane in 0..tolerance {
            run.advance(lane);
        }
        run.step();
        if run.longest_gap_ms > COMMIT_GAP_MS || !run.late.is_empty() {
            let last = run.history.len().saturating_sub(12);
            let history = run.history[last..].join("\n");
            let state = run.sim.describe();
            return Err(format!(
                "seed {seed}, {voters} voters: no commit for {} ms at {}, late: {:?}\n{history}\n{state}",
                run.longest_gap_ms, run.sim.now_ms, run.late
            ));
        }
    }
    Ok(run.longest_gap_ms)
}

/// Runs `count` seeds, or the number given by the environment variable FUZZ_SEEDS.
fn replace_all(count: u64, voters: usize, tolerance: usize) {
    let wanted = std::env::var("FUZZ_SEEDS").ok();
    let count = wanted.and_then(|text| text.parse().ok()).unwrap_or(count);
    let outcomes: Vec<_> = (0..count)
        .map(|seed| replace_members(seed, voters, tolerance))
        .collect();
    let mut gaps: Vec<u64> = outcomes.iter().flatten().copied().collect();
    gaps.sort_unstable();
    println!("longest times without a commit, in ms: {gaps:?}");
    let failures: Vec<&String> = outcomes
        .iter()
        .filter_map(|run| run.as_ref().err())
        .collect();
    assert!(
        failures.is_empty(),
        "{} of {count} seeds:\n{}",
        failures.len(),
        failures[0]
    );
}

/// Guards against members that are gone and stay voters: after two replacements there was no quorum for good.
#[test]
fn replacements_one_after_the_other_leave_a_quorum_of_three() {
    replace_all(24, 3, 1);
}

/// The same with five voters and two lost at a time.
#[test]
fn replacements_two_at_a_time_leave_a_quorum_of_five() {
    replace_all(10, 5, 2);
}

/// The same with six voters.
#[test]
fn replacements_two_at_a_time_leave_a_quorum_of_six() {
    replace_all(10, 6, 2);
}

/// Six voters, of which one is frozen for `frozen_ms`. Returns that one, once it runs again.
fn freeze_one_of_six(seed: u64, frozen_ms: u64) -> (Run, VmName) {
    let mut run = Run::new(seed, 6, 1);
    let mut others = run.sim.names();
    let leader = run.sim.leader().expect("leads");
    others.retain(|vm| *vm != leader);
    let vm = others[seed as usize % others.len()].clone();
    let until_ms = run.sim.now_ms + frozen_ms;
    let node = run.sim.nodes.get_mut(&vm).expect("known VM");
    node.frozen_until_ms = until_ms;
    while run.sim.now_ms < until_ms {
        run.step();
    }
    (run, vm)
}

/// Guards against a voter that was only frozen and may not vote again.
#[test]
fn a_voter_that_was_frozen_votes_again_soon_after_its_return() {
    for (seed, frozen_ms) in [(1, 2_000), (2, 3_000), (3, 9_000), (4, 30_000)] {
        let (mut run, vm) = freeze_one_of_six(seed, frozen_ms);
        let leader = run.sim.leader().expect("leads");
        let voters = run.sim.status(&leader).unwrap().configuration.voters;
        assert!(
            voters.iter().all(|id| id.vm != vm),
            "seed {seed}: {vm} votes"
        );
        let elections = run.sim.oracle.elections;
        let returned_ms = run.sim.now_ms;
        while !run.sim.is_repaired() {
            run.step();
            let waited_ms = run.sim.now_ms - returned_ms;
            assert!(waited_ms < 2_000, "seed {seed}:\n{}", run.sim.describe());
        }
        assert_eq!(
            run.sim.oracle.elections, elections,
            "seed {seed}: disturbed"
        );
    }
}

/// Guards against a cut-off voter that confirms what it knows, while the others have demoted it and go on.
#[test]
fn a_cut_off_voter_confirms_nothing_and_votes_again_soon_after_its_return() {
    for seed in 0..8 {
        let mut run = Run::new(seed, 6, 1);
        let names = run.sim.names();
        let vm = names[seed as usize % names.len()].clone();
        run.sim.isolate(&vm);
        let cut_ms = run.sim.now_ms;
        while run.sim.now_ms < cut_ms + 14_000 {
            run.step();
        }
        let confirmed = run.sim.status(&vm).unwrap().confirmed.expect("was linked");
        assert!(
            confirmed.at_ms <= cut_ms + 100,
            "seed {seed}: {confirmed:?}"
        );
        assert!(run.longest_gap_ms <= COMMIT_GAP_MS, "seed {seed}");
        run.sim.blocked.clear();
        let returned_ms = run.sim.now_ms;
        while !run.sim.is_repaired() {
            run.step();
            let waited_ms = run.sim.now_ms - returned_ms;
            assert!(waited_ms < 2_500, "seed {seed}:\n{}", run.sim.describe());
        }
    }
}

/// Guards against a planned replacement that leaves an even number of voters of which one is gone.
#[test]
fn a_voter_that_shuts_down_beside_its_successor_is_no_voter_any_more() {
    for seed in 0..8 {
        let mut run = Run::new(seed, 3, 1);
        run.start_successor(0);
        for _ in 0..CATCH_UP_MS / STEP_MS {
            run.step();
        }
        let leader = run.sim.leader().expect("leads");
        let mut others = run.sim.names();
        others.retain(|vm| *vm != leader);
        run.sim
            .step(&leader, Input::MemberLeaves(others[0].clone()));
        run.sim.run(200);
        let status = run.sim.status(&others[0]).unwrap();
        assert_eq!(status.configuration.voters.len(), 3, "seed {seed}");
        assert!(
            status.configuration.voter_on(&others[0]).is_none(),
            "seed {seed}"
        );
    }
}

/// Guards against restarts of all members at once after which a single one votes.
#[test]
fn shutdowns_of_all_members_leave_the_quorum_at_least_two() {
    for voters in [3, 4, 6] {
        let mut run = Run::new(1, voters, 1);
        let leader = run.sim.leader().expect("leads");
        for vm in run.sim.names() {
            run.sim.step(&leader, Input::MemberLeaves(vm));
            run.sim.run(100);
        }
        let status = run.sim.status(&leader).unwrap();
        let left = status.configuration.voters.len();
        assert!(left >= voters - 1 && left >= 3, "{voters} voters: {left}");
    }
}
