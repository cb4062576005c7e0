//! Tests of the coordinator lease in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::Mutex;

use futures::future::BoxFuture;
use medlarlift::lease::Candidate;
use medlarlift::lease::Config;
use medlarlift::lease::Elector;
use medlarlift::lease::ElectorConfig;
use medlarlift::lease::Grantor;
use medlarlift::lease::Handle;
use medlarlift::lease::HeldLease;
use medlarlift::lease::Identity;
use medlarlift::lease::LEASE_FORMAT;
use medlarlift::lease::LeaseAnswer;
use medlarlift::lease::LeaseReply;
use medlarlift::lease::LeaseRequest;
use medlarlift::lease::LeaseRequestKind;
use medlarlift::lease::LeaseSendError;
use medlarlift::lease::LeaseTransport;
use medlarlift::lease::Outgoing;
use medlarlift::lease::Roster;
use medlarlift::lease::Timing;
use medlarlift::types::Clock;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TICK_MS: u64 = 20;

/// Message in the simulated network.
#[derive(Clone, Debug)]
enum Message {
    Request(usize, u64, LeaseRequest),
    Reply(u64, LeaseReply),
}

/// One simulated process. Its clock has its own origin and speed.
struct Process {
    elector: Elector,
    incarnation: u64,
    alive: bool,
    frozen_until: u64,
    isolated_until: u64,
    slow_until: u64,
    send_blocked: (u64, u64),
    side: bool,
    origin: u64,
    speed_ppm: i64,
    catches_up_at: Option<u64>,
    applied: u64,
}

impl Process {
    fn clock(&self, now: u64) -> MonoMs {
        let skew = now as i64 * self.speed_ppm / 1_000_000;
        MonoMs(self.origin + now.saturating_add_signed(skew))
    }
}

/// A data centre in virtual time.
struct Sim {
    now: u64,
    rng: SmallRng,
    processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    messages: BTreeMap<u64, Message>,
    sent: u64,
    faults: bool,
    partitioned_until: u64,
    rosters: Vec<Roster>,
    settled: u64,
    last_holder: Option<(usize, u64, u64)>,
    elections: u32,
}

fn name(index: usize) -> VmName {
    VmName::new(format!("vm-{index:02}"))
}

fn elector(index: usize, incarnation: u64, now: MonoMs) -> Elector {
    let identity = Identity {
        vm: name(index),
        incarnation,
    };
    let config = ElectorConfig {
        identity,
        data_centre: DataCentre::from("tunis"),
        timing: Timing::default(),
    };
    Elector::new(config, now)
}

impl Sim {
    fn new(seed: u64, count: usize, voters: usize, faults: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let processes = (0..count).map(|index| {
            let origin = rng.random_range(0..100_000);
            Process {
                elector: elector(index, 1, MonoMs(origin)),
                incarnation: 1,
                alive: true,
                frozen_until: 0,
                isolated_until: 0,
                slow_until: 0,
                send_blocked: (0, 0),
                side: false,
                origin,
                speed_ppm: if faults {
                    rng.random_range(-4_000..4_000)
                } else {
                    0
                },
                catches_up_at: Some(0),
                applied: 0,
            }
        });
        let processes = processes.collect();
        let mut sim = Self {
            now: 0,
            rng,
            processes,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            sent: 0,
            faults,
            partitioned_until: 0,
            rosters: Vec::new(),
            settled: 0,
            last_holder: None,
            elections: 0,
        };
        sim.commit_roster(Roster::new(1, (0..voters).map(name)));
        sim
    }

    fn commit_roster(&mut self, roster: Roster) {
        self.rosters.push(roster);
    }

    fn roster(&self) -> &Roster {
        self.rosters.last().expect("there is an initial roster")
    }

    /// Sends a message, and may lose, delay or duplicate it.
    fn post(&mut self, from: usize, to: usize, message: Message) {
        if self.is_blocked(from, to) {
            return;
        }
        let lost = self.faults && self.rng.random_ratio(1, 20);
        let copies = if self.faults && self.rng.random_ratio(1, 20) {
            2
        } else {
            1
        };
        for _ in 0..if lost { 0 } else { copies } {
            let slow = self.faults && self.rng.random_ratio(1, 30);
            let slow = slow || self.processes[to].slow_until > self.now;
            let longest = if slow { 4_000 } else { 4 };
            let at = self.now + self.rng.random_range(1..=longest);
            self.sent += 1;
            self.messages.insert(self.sent, message.clone());
            self.queue.push(Reverse((at, self.sent, to)));
        }
    }

    fn is_blocked(&self, from: usize, to: usize) -> bool {
        let (sender, receiver) = (&self.processes[from], &self.processes[to]);
        let muted = (sender.send_blocked.0..sender.send_blocked.1).contains(&self.now);
        muted || (self.now < self.partitioned_until && sender.side != receiver.side)
    }

    fn post_requests(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        let incarnation = self.processes[from].incarnation;
        for Outgoing { to, request } in outgoing {
            let index = (0..self.processes.len()).find(|i| name(*i) == to);
            let index = index.expect("requests go only to known VMs");
            self.post(from, index, Message::Request(from, incarnation, request));
        }
    }

    fn deliver_due(&mut self) {
        while let Some(Reverse((at, id, to))) = self.queue.peek().copied()
            && at <= self.now
        {
            self.queue.pop();
            let frozen_until = self.processes[to].frozen_until;
            if frozen_until > self.now {
                self.queue.push(Reverse((frozen_until, id, to)));
                continue;
            }
            let message = self
                .messages
                .remove(&id)
                .expect("each message is delivered once");
            self.deliver(to, message);
        }
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let now = self.now;
        let process = &mut self.processes[to];
        if !process.alive || process.isolated_until > now {
            return;
        }
        let clock = process.clock(now);
        match message {
            Message::Request(from, incarnation, request) => {
                let reply = process.elector.receive(clock, &request);
                self.post(to, from, Message::Reply(incarnation, reply));
            }
            Message::Reply(incarnation, reply) if incarnation == process.incarnation => {
                process.elector.reply(clock, &reply);
            }
            Message::Reply(..) => {}
        }
    }

    fn tick_all(&mut self) {
        for index in 0..self.processes.len() {
            let now = self.now;
            let roster = self.roster().clone();
            let process = &mut self.processes[index];
            if !process.alive || process.frozen_until > now {
                continue;
            }
            if process.catches_up_at.is_some_and(|at| at <= now) {
                process.catches_up_at = None;
                process.applied = roster.revision();
                process.elector.set_applied(Some(process.applied));
                process.elector.set_roster(roster);
            }
            let clock = process.clock(now);
            let outgoing = process.elector.tick(clock);
            let cut = process.isolated_until > now;
            if !cut {
                self.post_requests(index, outgoing);
            }
        }
    }

    /// Injects a random fault: crash, restart, pause, network loss or delay, partition, release of
    /// the lease or roster change.
    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..self.processes.len());
        let now = self.now;
        let pause = self.rng.random_range(10..6_000);
        let choice = self.rng.random_range(0..10);
        let process = &mut self.processes[index];
        match choice {
            0 => process.frozen_until = now + pause,
            1 => process.isolated_until = now + pause,
            2 => process.alive = false,
            3 => self.restart(index, pause / 4),
            4 => {
                let clock = process.clock(now);
                let outgoing = process.elector.release(clock, Some(name(0)));
                self.post_requests(index, outgoing);
            }
            5 => process.slow_until = now + pause,
            6 => {
                process.slow_until = now + pause;
                process.send_blocked = (now + pause / 4, now + pause * 2);
            }
            7 | 8 => self.partition(pause * 3),
            _ => self.change_roster(index),
        }
        let dead = self.processes.iter().position(|process| !process.alive);
        if let Some(dead) = dead
            && self.rng.random_ratio(1, 2)
        {
            self.restart(dead, pause / 4);
        }
    }

    /// Partitions the data centre into two sides.
    fn partition(&mut self, length: u64) {
        self.partitioned_until = self.now + length;
        for process in &mut self.processes {
            process.side = self.rng.random_ratio(1, 2);
        }
    }

    fn restart(&mut self, index: usize, catch_up_ms: u64) {
        let now = self.now;
        let process = &mut self.processes[index];
        process.alive = true;
        process.frozen_until = 0;
        process.incarnation = process.incarnation.max(now) + 1;
        process.elector = elector(index, process.incarnation, process.clock(now));
        process.catches_up_at = Some(now + catch_up_ms);
    }

    /// Adds or removes one voter, if the previous roster change is settled.
    fn change_roster(&mut self, index: usize) {
        let revision = self.roster().revision();
        if self.settled < revision {
            return;
        }
        let mut voters: Vec<VmName> = self.roster().vms().cloned().collect();
        let vm = name(index);
        if !voters.contains(&vm) {
            voters.push(vm);
        } else if voters.len() > 3 {
            voters.retain(|voter| *voter != vm);
        } else {
            return;
        }
        self.commit_roster(Roster::new(revision + 1, voters));
        for process in &mut self.processes {
            let late = self.rng.random_ratio(1, 4);
            let delay = self.rng.random_range(1..if late { 20_000 } else { 500 });
            process.catches_up_at.get_or_insert(self.now + delay);
        }
    }

    fn holders(&self) -> Vec<(usize, HeldLease)> {
        let processes = self.processes.iter().enumerate();
        processes
            .filter(|(_, process)| process.alive)
            .filter_map(|(i, process)| Some((i, process.elector.current(process.clock(self.now))?)))
            .collect()
    }

    fn check(&mut self, seed: u64) {
        let holders = self.holders();
        let now = self.now;
        assert!(holders.len() <= 1, "seed {seed} at {now}: {holders:?}");
        if let Some((index, held)) = holders.first() {
            self.settled = self.settled.max(held.settled_index);
            let incarnation = self.processes[*index].incarnation;
            let last = self.last_holder.replace((*index, incarnation, held.term));
            if let Some((last_index, last_incarnation, term)) = last
                && (last_index, last_incarnation) != (*index, incarnation)
            {
                self.elections += 1;
                assert!(
                    held.term > term,
                    "seed {seed} at {now}: term {term} then {held:?}"
                );
            }
        }
    }

    fn step(&mut self) {
        self.now += 1;
        self.deliver_due();
        if self.now.is_multiple_of(TICK_MS) {
            self.tick_all();
        }
    }

    fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(
                self.now - start < limit,
                "condition not reached within {limit} ms"
            );
            self.step();
        }
        self.now - start
    }
}

/// Guards against two simultaneous coordinators of one data centre, and against a fencing token
/// that is used twice, under crashes, restarts, paused processes, partitions, lost, duplicated and
/// late messages, clock drift, released leases and roster changes.
#[test]
fn at_most_one_coordinator_at_any_time() {
    let mut elections = 0;
    let mut revisions = 0;
    for seed in 0..60 {
        let mut sim = Sim::new(seed, 6, 3 + seed as usize % 3, true);
        while sim.now < 60_000 {
            sim.step();
            sim.check(seed);
            if sim.rng.random_ratio(1, 700) {
                sim.inject_fault();
            }
        }
        elections += sim.elections;
        revisions += sim.roster().revision();
    }
    assert!(
        elections > 200,
        "too few elections for a meaningful test: {elections}"
    );
    assert!(revisions > 120, "too few roster changes: {revisions}");
}

/// Guards against a holder that measures its lease from the reply instead of from the sending of
/// the request, or whose clock drift lets it use the lease after its grantors' votes have expired.
#[test]
fn deadline_is_measured_from_the_sending_of_the_request() {
    let timing = Timing::default();
    let roster = Roster::new(1, (0..3).map(name));
    let mut candidate = Candidate::new(7, MonoMs(1_000));
    candidate.record_grant(&name(0), MonoMs(1_000), 4);
    let candidate = candidate.try_into_holder(MonoMs(1_900), &roster, &timing);
    let mut candidate = candidate.expect_err("one grant is no majority");
    candidate.record_grant(&name(2), MonoMs(1_000), 9);
    let holder = candidate.try_into_holder(MonoMs(1_900), &roster, &timing);
    let mut holder = holder.expect("two grants are a majority");
    assert_eq!(holder.deadline(&roster, &timing), MonoMs(2_980));
    assert_eq!(holder.required_index(), 9);
    assert_eq!(
        holder.settled_index(&roster),
        4,
        "only one grantor has applied 9"
    );
    holder.record_renewal(&name(1), MonoMs(1_800), 7, 5, &roster);
    assert_eq!(holder.deadline(&roster, &timing), MonoMs(2_980));
    holder.record_renewal(&name(2), MonoMs(1_500), 7, 5, &roster);
    assert_eq!(holder.deadline(&roster, &timing), MonoMs(3_480));
}

/// Guards against a vote of a restarted VM that no longer has the roster it acknowledged.
#[test]
fn restarted_grantor_votes_only_after_a_lease_and_catch_up() {
    let tunis = DataCentre::from("tunis");
    let mut grantor = Grantor::new(name(0), tunis.clone(), MonoMs(500), 2_000);
    let mut ask = |now, sequence, applied| {
        grantor.set_applied(applied);
        let request = LeaseRequest {
            format: LEASE_FORMAT,
            data_centre: tunis.clone(),
            from: Identity {
                vm: name(1),
                incarnation: 1,
            },
            sequence,
            term: sequence,
            roster_revision: 3,
            kind: LeaseRequestKind::Ask,
        };
        grantor.receive(MonoMs(now), &request).answer
    };
    let remaining_ms = 1;
    assert_eq!(
        ask(2_499, 1, Some(3)),
        LeaseAnswer::Restarted { remaining_ms }
    );
    assert_eq!(ask(2_500, 2, None), LeaseAnswer::CatchingUp);
    assert_eq!(ask(2_501, 3, Some(3)), LeaseAnswer::Granted);
}

/// Guards against a failover that takes longer than a lease plus half a second, in small and large
/// data centres.
#[test]
fn failover_completes_within_a_lease_and_half_a_second() {
    for (count, seeds) in [(3, 20), (9, 10), (74, 3)] {
        for seed in 0..seeds {
            let mut sim = Sim::new(seed, count, count, false);
            sim.run_until(3_000, |sim| sim.holders().len() == 1);
            sim.run_until(9_000, |sim| sim.now > 6_000 + seed * 37);
            let (holder, _) = sim.holders()[0];
            sim.processes[holder].alive = false;
            let took = sim.run_until(2_500, |sim| sim.holders().len() == 1);
            assert!(took > 1_000, "a grantor dropped its vote after {took} ms");
        }
    }
}

/// Guards against a graceful shutdown that leaves the data centre without a coordinator until the
/// lease expires.
#[test]
fn release_does_not_wait_for_the_lease_to_expire() {
    for seed in 0..20 {
        let mut sim = Sim::new(seed, 5, 5, false);
        sim.run_until(3_000, |sim| sim.holders().len() == 1);
        let (holder, _) = sim.holders()[0];
        let successor = (holder + 1) % 5;
        let clock = sim.processes[holder].clock(sim.now);
        let outgoing = sim.processes[holder]
            .elector
            .release(clock, Some(name(successor)));
        sim.post_requests(holder, outgoing);
        sim.run_until(100, |sim| {
            sim.holders().first().is_some_and(|(i, _)| *i == successor)
        });
    }
}

/// Guards against an isolated VM that remains ready, and against VMs that become unready because
/// the coordinator crashed, although a majority is reachable.
#[test]
fn contact_age_distinguishes_isolation_from_a_coordinator_crash() {
    for seed in 0..10 {
        let mut sim = Sim::new(seed, 5, 5, false);
        sim.run_until(6_000, |sim| sim.now > 5_000);
        let (holder, _) = sim.holders()[0];
        let isolated = (holder + 1) % 5;
        sim.processes[isolated].isolated_until = u64::MAX;
        sim.processes[holder].alive = false;
        let end = sim.now + 3_000;
        while sim.now < end {
            sim.step();
            for (index, process) in sim.processes.iter().enumerate() {
                let age = process
                    .elector
                    .majority_contact_age_ms(process.clock(sim.now));
                let connected = index != isolated && index != holder;
                assert!(
                    !connected || age < 2_500,
                    "VM {index} has had no contact for {age} ms"
                );
            }
        }
        let process = &sim.processes[isolated];
        let age = process
            .elector
            .majority_contact_age_ms(process.clock(sim.now));
        assert!(age >= 2_500, "the isolated VM reports contact {age} ms ago");
    }
}

/// Guards against orders that an engine rejects indefinitely because it has seen a higher fencing
/// token.
#[test]
fn holder_raises_its_term_above_a_reported_term() {
    let mut sim = Sim::new(1, 3, 3, false);
    sim.run_until(3_000, |sim| sim.holders().len() == 1);
    let (holder, held) = sim.holders()[0];
    sim.processes[holder]
        .elector
        .require_term_above(held.term + 40);
    sim.run_until(200, |sim| sim.holders()[0].1.term == held.term + 41);
    assert_eq!(
        sim.holders()[0].1.since,
        held.since,
        "possession was interrupted"
    );
}

/// Transport that calls the handles of the other VMs directly.
#[derive(Default)]
struct DirectTransport {
    handles: Mutex<BTreeMap<VmName, Handle>>,
}

impl LeaseTransport for DirectTransport {
    fn send(
        &self,
        to: VmName,
        request: LeaseRequest,
    ) -> BoxFuture<'static, Result<LeaseReply, LeaseSendError>> {
        let handle = self.handles.lock().expect("not poisoned").get(&to).cloned();
        Box::pin(async move {
            let reason = "not running".to_owned();
            let handle = handle.ok_or(LeaseSendError { vm: to, reason })?;
            Ok(handle.receive(request))
        })
    }
}

/// Guards against a driver that does not run the election, or that keeps the lease after it steps
/// down.
#[tokio::test]
async fn driver_elects_and_releases_to_the_successor() {
    let clock = Clock::start();
    let transport = Arc::new(DirectTransport::default());
    let timing = Timing {
        lease_ms: 400,
        renew_ms: 100,
        margin_ms: 10,
    };
    let mut handles = Vec::new();
    for index in 0..3 {
        let identity = Identity {
            vm: name(index),
            incarnation: 1,
        };
        let config = Config {
            identity,
            data_centre: DataCentre::from("tunis"),
            timing,
            clock,
        };
        let shared: Arc<dyn LeaseTransport> = Arc::clone(&transport) as Arc<dyn LeaseTransport>;
        let handle = medlarlift::lease::spawn(config, shared);
        handle.set_roster(Roster::new(1, (0..3).map(name)));
        handle.set_applied(Some(1));
        transport
            .handles
            .lock()
            .expect("not poisoned")
            .insert(name(index), handle.clone());
        handles.push(handle);
    }
    let holder = wait_for_holder(&handles, None).await;
    let successor = (holder + 1) % 3;
    handles[holder].step_down(Some(name(successor)));
    assert!(handles[holder].current().is_none());
    assert_eq!(wait_for_holder(&handles, Some(holder)).await, successor);
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!(handles[holder].coordinator(), Some(name(successor)));
}

async fn wait_for_holder(handles: &[Handle], except: Option<usize>) -> usize {
    for _ in 0..500 {
        let holder = handles.iter().position(|handle| handle.current().is_some());
        match holder {
            Some(index) if Some(index) != except => return index,
            _ => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
        }
    }
    panic!("no coordinator within 5 s");
}
