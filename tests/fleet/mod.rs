//! Simulation of three data centres with coordinators, limits and traffic in virtual time, and an
//! oracle that checks every time window against rate and burst.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use medlarlift::lease::Elector;
use medlarlift::lease::ElectorConfig;
use medlarlift::lease::Identity;
use medlarlift::lease::LeaseReply;
use medlarlift::lease::LeaseRequest;
use medlarlift::lease::Outgoing;
use medlarlift::lease::Roster;
use medlarlift::lease::Timing;
use medlarlift::limits::BorrowCall;
use medlarlift::limits::BorrowReply;
use medlarlift::limits::Borrowing;
use medlarlift::limits::History;
use medlarlift::limits::LeasedIssuer;
use medlarlift::limits::LimitVersion;
use medlarlift::limits::Reservation;
use medlarlift::limits::Settlement;
use medlarlift::limits::Shortage;
use medlarlift::limits::Step;
use medlarlift::limits::TokenCache;
use medlarlift::types::AccountName;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::Tokens;
use medlarlift::types::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub const CENTRES: usize = 3;
pub const PER_CENTRE: usize = 3;
pub const VMS: usize = CENTRES * PER_CENTRE;
const TIMEOUT_MS: u64 = 400;

/// How the simulated requests behave.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// VMs that receive requests.
    pub vms: Vec<usize>,
    /// Requests per second.
    pub per_s: u64,
    /// Tokens reserved per request.
    pub tokens: std::ops::Range<Tokens>,
    /// Percentage of the reservation that is used.
    pub used_percent: std::ops::Range<u64>,
    /// Time from the reservation to its settlement.
    pub runs_ms: std::ops::Range<u64>,
}

enum Event {
    Lease(usize, u64, LeaseRequest),
    LeaseReply(u64, LeaseReply),
    Borrow(usize, u64, u64, usize, BorrowCall),
    BorrowReply(u64, u64, usize, Box<Option<BorrowReply>>),
    Settle(u64, Reservation, usize, Tokens),
    Apply(usize),
    Settled(usize, u64),
    Arrival(u64),
}

/// Borrowing in progress at one VM, or maintenance if there is no borrowing.
struct Pending {
    borrowing: Option<Borrowing>,
    calls: Vec<BorrowCall>,
    open: Vec<bool>,
}

/// One reservation as recorded by the oracle.
#[derive(Clone, Copy, Debug)]
pub struct Use {
    at: u64,
    tokens: Tokens,
}

pub struct Vm {
    elector: Elector,
    issuer: LeasedIssuer,
    token_cache: TokenCache,
    history: History,
    settlement: Settlement,
    incarnation: u64,
    alive: bool,
    frozen_until: u64,
    cut_until: u64,
    origin: u64,
    applied: usize,
    pending: BTreeMap<u64, Pending>,
}

impl Vm {
    fn clock(&self, now: u64) -> MonoMs {
        MonoMs(self.origin + now)
    }
}

/// What the oracle allows at one time: the maximum over all versions of the limits in use.
#[derive(Clone, Copy, Debug)]
struct Allowed {
    rate_per_s: Tokens,
    burst: Tokens,
}

pub struct Fleet {
    pub now: u64,
    pub rng: SmallRng,
    vms: Vec<Vm>,
    events: BTreeMap<u64, (usize, Event)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    next_id: u64,
    pub lossy: bool,
    pub apply_ms: u64,
    log: Vec<LimitVersion>,
    allowed: Vec<Allowed>,
    pub uses: Vec<Use>,
    pub traffic: Option<Traffic>,
    traffic_round: u64,
    pub refused: u64,
    pub served: u64,
    pub last_shortage: Option<Shortage>,
    partition: Option<(usize, u64)>,
}

pub fn account() -> AccountName {
    AccountName::from("opticians")
}

pub fn centre(index: usize) -> DataCentre {
    DataCentre::new(format!("dc-{index}"))
}

fn vm_name(index: usize) -> VmName {
    VmName::new(format!("vm-{index}"))
}

/// Limits with the given shares in parts per million.
pub fn limits(rate: Tokens, burst: Tokens, shares: [u32; CENTRES]) -> LimitVersion {
    let shares = shares.into_iter().enumerate();
    LimitVersion {
        revision: 0,
        rate_tokens_per_s: rate,
        burst_tokens: burst,
        shares_ppm: shares.map(|(i, ppm)| (centre(i), ppm)).collect(),
    }
}

impl Fleet {
    pub fn new(seed: u64, first: LimitVersion) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = (0..VMS).map(|index| fresh_vm(index, 1, rng.random_range(0..100_000), 0));
        let vms = vms.collect();
        let mut fleet = Self {
            now: 0,
            rng,
            vms,
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_id: 0,
            lossy: false,
            apply_ms: 50,
            log: Vec::new(),
            allowed: Vec::new(),
            uses: Vec::new(),
            traffic: None,
            traffic_round: 0,
            refused: 0,
            served: 0,
            last_shortage: None,
            partition: None,
        };
        fleet.commit(first);
        fleet
    }

    /// Commits a version of the limits; each VM applies it after a delay.
    pub fn commit(&mut self, version: LimitVersion) {
        self.log.push(version);
        let index = self.log.len();
        self.log[index - 1].revision = index as u64;
        for vm in 0..VMS {
            let delay = self.rng.random_range(1..self.apply_ms);
            self.after(delay, vm, Event::Apply(index));
        }
    }

    fn after(&mut self, delay: u64, vm: usize, event: Event) {
        self.next_id += 1;
        self.events.insert(self.next_id, (vm, event));
        self.queue.push(Reverse((self.now + delay, self.next_id)));
    }

    /// Sends a message; it may be lost or delayed.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        let is_partitioned = self.partition.is_some_and(|(dc, until)| {
            let crosses = (from / PER_CENTRE == dc) != (to / PER_CENTRE == dc);
            self.now < until && crosses
        });
        if is_partitioned
            || self.vms[from].cut_until > self.now
            || (self.lossy && self.rng.random_ratio(1, 30))
        {
            return;
        }
        let near = from / PER_CENTRE == to / PER_CENTRE;
        let base = if near { 1 } else { 15 };
        let slow = self.lossy && self.rng.random_ratio(1, 25);
        let extra = self.rng.random_range(0..if slow { 2_500 } else { 3 });
        self.after(base + extra, to, event);
    }

    pub fn step(&mut self) {
        self.now += 1;
        while let Some(Reverse((at, id))) = self.queue.peek().copied()
            && at <= self.now
        {
            self.queue.pop();
            let (vm, event) = &self.events[&id];
            if let Event::Arrival(round) = *event {
                self.events.remove(&id);
                self.arrive(round);
                continue;
            }
            let vm = *vm;
            let frozen_until = self.vms[vm].frozen_until;
            if frozen_until > self.now {
                self.queue.push(Reverse((frozen_until, id)));
                continue;
            }
            let (vm, event) = self.events.remove(&id).expect("posted once");
            if self.vms[vm].alive {
                self.handle(vm, event);
            }
        }
        if self.now.is_multiple_of(20) {
            (0..VMS).for_each(|vm| self.tick(vm));
        }
        self.note_allowed();
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.step();
        }
    }

    pub fn start_traffic(&mut self, traffic: Traffic) {
        self.traffic = Some(traffic);
        self.traffic_round += 1;
        let round = self.traffic_round;
        self.after(1, 0, Event::Arrival(round));
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let vm = &mut self.vms[index];
        if !vm.alive || vm.frozen_until > now {
            return;
        }
        let clock = vm.clock(now);
        let outgoing = vm.elector.tick(clock);
        let held = vm.elector.current(clock);
        vm.issuer.tick(clock, held);
        vm.issuer.settle(clock, vm.settlement.settled_index());
        let gossips = now.is_multiple_of(500);
        let calls = if now.is_multiple_of(60) {
            vm.token_cache.maintain(clock)
        } else {
            Vec::new()
        };
        for Outgoing { to, request } in outgoing {
            let to = (0..VMS).find(|i| vm_name(*i) == to).expect("known VM");
            let incarnation = self.vms[index].incarnation;
            self.send(index, to, Event::Lease(index, incarnation, request));
        }
        for call in calls {
            self.dispatch(index, None, vec![call]);
        }
        if let Some(held) = held.filter(|_| gossips) {
            for to in 0..VMS {
                let settled = Event::Settled(index / PER_CENTRE, held.settled_index);
                self.send(index, to, settled);
            }
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = self.now;
        let vm = &mut self.vms[index];
        let clock = vm.clock(now);
        let cut = vm.cut_until > now;
        match event {
            Event::Lease(from, incarnation, request) if !cut => {
                let reply = vm.elector.receive(clock, &request);
                self.send(index, from, Event::LeaseReply(incarnation, reply));
            }
            Event::LeaseReply(incarnation, reply) if !cut && incarnation == vm.incarnation => {
                vm.elector.reply(clock, &reply);
            }
            Event::Borrow(from, incarnation, id, slot, call) if !cut => {
                let held = vm.elector.current(clock);
                let reply = vm.issuer.receive(clock, held, &call.request);
                let reply = Event::BorrowReply(incarnation, id, slot, Box::new(Some(reply)));
                self.send(index, from, reply);
            }
            Event::BorrowReply(incarnation, id, slot, reply) if incarnation == vm.incarnation => {
                self.borrow_reply(index, id, slot, *reply);
            }
            Event::Settle(incarnation, reservation, use_index, used)
                if incarnation == vm.incarnation =>
            {
                self.uses[use_index].tokens = used;
                vm.token_cache.settle(clock, reservation, used);
            }
            Event::Apply(log_index) => self.apply(index, log_index),
            Event::Settled(dc, settled_index) if !cut => {
                vm.settlement.note(&centre(dc), settled_index);
            }
            _ => {}
        }
    }

    fn apply(&mut self, index: usize, log_index: usize) {
        let now = self.now;
        if self
            .partition
            .is_some_and(|(dc, until)| dc == index / PER_CENTRE && now < until)
        {
            let delay = self.partition.map_or(1, |(_, until)| until - now);
            self.after(delay, index, Event::Apply(log_index));
            return;
        }
        let vm = &mut self.vms[index];
        let clock = vm.clock(now);
        for version in &self.log[vm.applied.min(log_index)..log_index] {
            if vm.applied == 0 {
                vm.history = History::new(version.clone());
            } else {
                vm.history.push(version.clone());
            }
            vm.applied = version.revision as usize;
            vm.issuer.set_history(clock, account(), vm.history.clone());
            vm.issuer.set_applied(version.revision);
            vm.token_cache.set_limits(account(), version.clone());
        }
        vm.elector.set_applied(Some(vm.applied as u64));
    }

    fn arrive(&mut self, round: u64) {
        let current = self.traffic.clone().filter(|_| round == self.traffic_round);
        let Some(traffic) = current else {
            return;
        };
        let gap = 1_000_000 / traffic.per_s;
        let jitter = self.rng.random_range(0..=gap / 5);
        let micros = gap - gap / 10 + jitter;
        let delay = micros / 1_000 + u64::from(self.rng.random_range(0..1_000) < micros % 1_000);
        let vm = traffic.vms[self.rng.random_range(0..traffic.vms.len())];
        self.after(delay, 0, Event::Arrival(round));
        if self.vms[vm].alive && self.vms[vm].frozen_until <= self.now {
            let tokens = self.rng.random_range(traffic.tokens);
            self.request(vm, tokens);
        }
    }

    /// Requests `tokens` from `vm`.
    pub fn request(&mut self, vm: usize, tokens: Tokens) {
        let clock = self.vms[vm].clock(self.now);
        let step = self.vms[vm].token_cache.reserve(clock, &account(), tokens);
        self.advance(vm, step);
    }

    fn advance(&mut self, vm: usize, step: Step) {
        match step {
            Step::Reserved(reservation) => self.reserved(vm, reservation),
            Step::Send(borrowing, calls) => self.dispatch(vm, Some(borrowing), calls),
            Step::Refused(shortage) => {
                self.refused += 1;
                self.last_shortage = Some(shortage);
            }
        }
    }

    fn reserved(&mut self, vm: usize, reservation: Reservation) {
        self.served += 1;
        let tokens = reservation.tokens();
        self.uses.push(Use {
            at: self.now,
            tokens,
        });
        let (percent, runs_ms) = match self.traffic.clone() {
            Some(traffic) => (
                self.rng.random_range(traffic.used_percent),
                self.rng.random_range(traffic.runs_ms),
            ),
            None => (100, 1),
        };
        let incarnation = self.vms[vm].incarnation;
        let settle = Event::Settle(
            incarnation,
            reservation,
            self.uses.len() - 1,
            tokens * percent / 100,
        );
        self.after(runs_ms, vm, settle);
    }

    /// Sends calls to whoever the sender believes to be coordinator: the true holder, or anybody.
    fn dispatch(&mut self, from: usize, borrowing: Option<Borrowing>, calls: Vec<BorrowCall>) {
        self.next_id += 1;
        let id = self.next_id;
        let incarnation = self.vms[from].incarnation;
        for (slot, call) in calls.iter().enumerate() {
            let dc = (0..CENTRES).find(|i| centre(*i) == call.to).expect("known");
            let members = dc * PER_CENTRE..(dc + 1) * PER_CENTRE;
            let holder = members.clone().find(|i| self.holds(*i));
            let to = holder.unwrap_or(members.start);
            let request = Event::Borrow(from, incarnation, id, slot, call.clone());
            if to == from {
                self.after(0, to, request);
            } else {
                self.send(from, to, request);
            }
            let timeout = Event::BorrowReply(incarnation, id, slot, Box::new(None));
            self.after(TIMEOUT_MS, from, timeout);
        }
        let open = vec![true; calls.len()];
        let pending = Pending {
            borrowing,
            calls,
            open,
        };
        self.vms[from].pending.insert(id, pending);
    }

    fn borrow_reply(&mut self, index: usize, id: u64, slot: usize, reply: Option<BorrowReply>) {
        let vm = &mut self.vms[index];
        let clock = MonoMs(vm.origin + self.now);
        let Some(pending) = vm.pending.get_mut(&id) else {
            return;
        };
        if !std::mem::take(&mut pending.open[slot]) {
            return;
        }
        let call = &pending.calls[slot];
        match &mut pending.borrowing {
            Some(borrowing) => vm.token_cache.reply(clock, borrowing, call, reply.as_ref()),
            None => vm
                .token_cache
                .on_maintenance_reply(clock, call, reply.as_ref()),
        }
        if !pending.open.contains(&true)
            && let Some(Pending {
                borrowing: Some(borrowing),
                ..
            }) = vm.pending.remove(&id)
        {
            let step = vm.token_cache.step(clock, borrowing);
            self.advance(index, step);
        }
    }

    fn holds(&self, index: usize) -> bool {
        let vm = &self.vms[index];
        vm.alive && vm.elector.current(vm.clock(self.now)).is_some()
    }

    /// The coordinator of a data centre.
    pub fn holder(&self, dc: usize) -> Option<usize> {
        (dc * PER_CENTRE..(dc + 1) * PER_CENTRE).find(|i| self.holds(*i))
    }

    pub fn kill(&mut self, index: usize) {
        self.vms[index].alive = false;
    }

    /// Replaces a process, dead or alive, by a new one.
    pub fn restart(&mut self, index: usize, catch_up_ms: u64) {
        let incarnation = self.vms[index].incarnation.max(self.now) + 1;
        let origin = self.rng.random_range(0..100_000);
        self.vms[index] = fresh_vm(index, incarnation, origin, self.now);
        self.after(catch_up_ms, index, Event::Apply(self.log.len()));
    }

    /// Makes the coordinator of a data centre release its lease.
    pub fn hand_over(&mut self, dc: usize) {
        let Some(holder) = self.holder(dc) else {
            return;
        };
        let vm = &mut self.vms[holder];
        let outgoing = vm.elector.release(MonoMs(vm.origin + self.now), None);
        let incarnation = vm.incarnation;
        for Outgoing { to, request } in outgoing {
            let to = (0..VMS).find(|i| vm_name(*i) == to).expect("known VM");
            self.send(holder, to, Event::Lease(holder, incarnation, request));
        }
    }

    pub fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..VMS);
        let until = self.now + self.rng.random_range(10..5_000);
        match self.rng.random_range(0..7) {
            0 | 1 => self.vms[index].frozen_until = until,
            2 => self.vms[index].cut_until = until,
            3 => self.kill(index),
            4 => self.restart(index, 700),
            5 => self.partition = Some((index / PER_CENTRE, until)),
            _ => self.hand_over(index / PER_CENTRE),
        }
        if let Some(dead) = self.vms.iter().position(|vm| !vm.alive) {
            self.restart(dead, 1_200);
        }
    }

    /// Records the maximum that any version from the oldest in use to the newest allows.
    fn note_allowed(&mut self) {
        let holders = (0..VMS).filter(|i| self.holds(*i));
        let oldest = holders.map(|i| self.vms[i].applied).min();
        let oldest = oldest.unwrap_or(0).max(1);
        let versions = &self.log[oldest - 1..];
        let rate = versions.iter().map(|version| version.rate_tokens_per_s);
        let burst = versions.iter().map(|version| version.burst_tokens);
        self.allowed.push(Allowed {
            rate_per_s: rate.max().unwrap_or(0),
            burst: burst.max().unwrap_or(0),
        });
    }

    /// Checks all time windows. Returns by how many thousandths of a token the worst one exceeds its
    /// bound; negative if none does.
    pub fn worst_excess(&self) -> i64 {
        let mut used_at: BTreeMap<u64, Tokens> = BTreeMap::new();
        for entry in &self.uses {
            *used_at.entry(entry.at).or_default() += entry.tokens;
        }
        let mut worst = i64::MIN;
        let mut backlog: i64 = 0;
        let mut burst: i64 = 0;
        for time in 1..=self.now {
            let at = |t: u64| self.allowed[t.saturating_sub(1) as usize];
            let refill = at(time).rate_per_s as i64;
            backlog = (backlog - refill).max(0);
            burst = burst.max(at(time).burst as i64);
            if let Some(tokens) = used_at.get(&time) {
                if backlog == 0 {
                    let recent = time.saturating_sub(1_000).max(1)..=time;
                    burst = recent.map(|t| at(t).burst as i64).max().unwrap_or(0);
                }
                backlog += *tokens as i64 * 1_000;
                worst = worst.max(backlog - burst * 1_000);
            }
        }
        worst
    }

    pub fn used_since(&self, time: u64) -> Tokens {
        let uses = self.uses.iter().filter(|entry| entry.at >= time);
        uses.map(|entry| entry.tokens).sum()
    }
}

fn fresh_vm(index: usize, incarnation: u64, origin: u64, now: u64) -> Vm {
    let dc = index / PER_CENTRE;
    let identity = Identity {
        vm: vm_name(index),
        incarnation,
    };
    let config = ElectorConfig {
        identity,
        data_centre: centre(dc),
        timing: Timing::default(),
    };
    let mut elector = Elector::new(config, MonoMs(origin + now));
    let mut settlement = Settlement::default();
    settlement.set_data_centres((0..CENTRES).map(centre));
    let members = dc * PER_CENTRE..(dc + 1) * PER_CENTRE;
    elector.set_roster(Roster::new(1, members.map(vm_name)));
    Vm {
        elector,
        issuer: LeasedIssuer::new(centre(dc)),
        token_cache: TokenCache::new(vm_name(index), incarnation, centre(dc)),
        history: History::default(),
        settlement,
        incarnation,
        alive: true,
        frozen_until: 0,
        cut_until: 0,
        origin,
        applied: 0,
        pending: BTreeMap::new(),
    }
}
