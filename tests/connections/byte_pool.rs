//! The pool of bytes in virtual time, with drawn crowds.

use indexmap::IndexMap;
use medlarlift::connections::byte_pool::BytePool;
use medlarlift::connections::byte_pool::MIDDLE_BYTES;
use medlarlift::connections::byte_pool::ReservationId;
use medlarlift::connections::byte_pool::Reserved;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP_MS: u64 = 100;
const MIB: usize = 1024 * 1024;
const CAPACITY_BYTES: usize = 24 * MIB;
/// Rate above the minimum.
const QUICK_BYTES_PER_MS: u64 = 1_024;
/// Rate of a client that sends a byte now and then.
const DRIP_BYTES_PER_MS: u64 = 1;
/// Time by which a crowd has come and gone.
const END_MS: u64 = 400_000;
const SEEDS: u64 = 300;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pace {
    Quick,
    Drip,
    Still,
}

impl Pace {
    fn bytes_per_ms(self) -> u64 {
        match self {
            Self::Quick => QUICK_BYTES_PER_MS,
            Self::Drip => DRIP_BYTES_PER_MS,
            Self::Still => 0,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Client {
    arrives_ms: u64,
    bytes: usize,
    pace: Pace,
}

fn draw_crowd(rng: &mut StdRng) -> Vec<Client> {
    let count = rng.random_range(5..150);
    let quick_share = rng.random_range(0.0..1.0);
    let crowd = (0..count).map(|_| Client {
        arrives_ms: rng.random_range(0..20) * STEP_MS,
        bytes: match rng.random_range(0..3) {
            0 => rng.random_range(20_000..256 * 1024),
            1 => rng.random_range(256 * 1024..4 * MIB),
            _ => 4 * MIB,
        },
        pace: match rng.random_bool(quick_share) {
            true => Pace::Quick,
            false if rng.random_bool(0.5) => Pace::Drip,
            false => Pace::Still,
        },
    });
    crowd.collect()
}

/// A crowd at a pool.
struct Simulation {
    pool: BytePool,
    now_ms: u64,
    /// Clients with a reservation, and whether it is granted.
    present: IndexMap<ReservationId, (Client, bool)>,
    sent_bytes: IndexMap<ReservationId, u64>,
    served: usize,
    evicted: Vec<Client>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            pool: BytePool::new(CAPACITY_BYTES),
            now_ms: 0,
            present: IndexMap::new(),
            sent_bytes: IndexMap::new(),
            served: 0,
            evicted: Vec::new(),
        }
    }

    fn arrive(&mut self, client: Client) {
        let (id, is_granted) = match self.pool.reserve(client.bytes) {
            Reserved::Granted(id) => (id, true),
            Reserved::Waiting(id) => (id, false),
            Reserved::Refused => panic!("refused with {} waiting", self.pool.waiting()),
        };
        self.present.insert(id, (client, is_granted));
        self.check();
    }

    fn leave(&mut self, id: ReservationId) {
        self.present.swap_remove(&id);
        for granted in self.pool.release(id) {
            self.present[&granted].1 = true;
        }
        self.check();
    }

    /// Whether a client is present that comes to its end by itself.
    fn has_quick(&self) -> bool {
        let mut present = self.present.values();
        present.any(|(client, _)| client.pace == Pace::Quick)
    }

    /// Never over the capacity.
    fn check(&self) {
        let held = self.present.values().filter(|(_, is_granted)| *is_granted);
        let held_bytes: usize = held.map(|(client, _)| client.bytes).sum();
        assert_eq!(self.pool.used_bytes(), held_bytes);
        assert!(held_bytes <= CAPACITY_BYTES, "{held_bytes} bytes");
        let waiting = self.present.values().filter(|(_, is_granted)| !is_granted);
        assert_eq!(self.pool.waiting(), waiting.count());
        // One body of any size fits into an empty pool.
        assert!(held_bytes > 0 || self.pool.waiting() == 0, "stuck");
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let mut moved = IndexMap::new();
        let mut done = Vec::new();
        for (id, (client, is_granted)) in &self.present {
            if !is_granted {
                continue;
            }
            let bytes = client.pace.bytes_per_ms() * STEP_MS;
            moved.insert(*id, bytes);
            let sent = self.sent_bytes.entry(*id).or_default();
            *sent += bytes;
            if *sent >= client.bytes as u64 {
                done.push(*id);
            }
        }
        let take = |id| moved.get(&id).copied().unwrap_or(0);
        for id in self.pool.advance(STEP_MS, take) {
            let (client, _) = self.present[&id];
            self.evicted.push(client);
            self.leave(id);
        }
        for id in done {
            if self.present.contains_key(&id) {
                self.served += 1;
                self.leave(id);
            }
        }
    }
}

/// Guards against bodies that take more than there is, that wait for ever, or that lose their bytes though they
/// arrive quickly.
#[test]
fn drawn_crowds_never_exceed_the_pool_and_quick_clients_are_served() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut crowd = draw_crowd(&mut rng);
        crowd.sort_by_key(|client| client.arrives_ms);
        let quick = crowd.iter().filter(|client| client.pace == Pace::Quick);
        let quick = quick.count();
        let mut simulation = Simulation::new();
        let mut coming = crowd.into_iter().peekable();
        while simulation.now_ms < END_MS
            && (coming.peek().is_some() || simulation.pool.waiting() > 0 || simulation.has_quick())
        {
            while let Some(client) = coming.next_if(|next| next.arrives_ms <= simulation.now_ms) {
                simulation.arrive(client);
            }
            simulation.step();
        }
        let evicted = &simulation.evicted;
        assert!(
            evicted.iter().all(|client| client.pace != Pace::Quick),
            "seed {seed}: a quick client lost its bytes"
        );
        assert!(simulation.served >= quick, "seed {seed}");
        assert_eq!(simulation.pool.waiting(), 0, "seed {seed}");
    }
}

/// Guards against a crowd that keeps its bodies just alive.
#[test]
fn a_dripping_body_gives_its_bytes_back_while_others_wait() {
    let mut pool = BytePool::new(5 * MIB);
    let dripping = pool.reserve(2 * MIB);
    let Reserved::Granted(dripping) = dripping else {
        panic!("{dripping:?}");
    };
    for _ in 0..100 {
        assert!(pool.advance(STEP_MS, |_| 1).is_empty(), "nobody waits");
    }
    let waiting = pool.reserve(2 * MIB);
    assert!(matches!(waiting, Reserved::Waiting(_)));
    let evicted = (0..10).find_map(|_| pool.advance(STEP_MS, |_| 1).pop());
    assert_eq!(evicted, Some(dripping));
}

/// Guards against a body that is complete and loses its bytes while its request runs.
#[test]
fn a_complete_body_keeps_its_bytes() {
    let mut pool = BytePool::new(5 * MIB);
    let Reserved::Granted(complete) = pool.reserve(2 * MIB) else {
        panic!("the pool is empty");
    };
    pool.complete(complete, 2 * MIB - 100_000);
    assert_eq!(pool.used_bytes(), 2 * MIB - 100_000);
    let waiting = pool.reserve(2 * MIB);
    assert!(matches!(waiting, Reserved::Waiting(_)));
    let evicted = (0..100).find_map(|_| pool.advance(STEP_MS, |_| 0).pop());
    assert_eq!(evicted, None);
    assert_eq!(pool.release(complete).len(), 1);
}

/// Guards against a slower client that stays while a quicker one is closed.
#[test]
fn the_body_that_has_stood_still_for_longest_gives_way_first() {
    let mut pool = BytePool::new(9 * MIB);
    let ids: Vec<ReservationId> = (0..3)
        .map(|_| match pool.reserve(2 * MIB) {
            Reserved::Granted(id) => id,
            other => panic!("{other:?}"),
        })
        .collect();
    let slow_bytes = [100 * STEP_MS, 0, 200 * STEP_MS];
    let moved = |id: ReservationId| {
        let at = ids.iter().position(|known| *known == id);
        at.map_or(0, |at| slow_bytes[at])
    };
    assert!(matches!(pool.reserve(4 * MIB), Reserved::Waiting(_)));
    let evicted = (0..100).find_map(|_| pool.advance(STEP_MS, moved).pop());
    assert_eq!(evicted, Some(ids[1]));
}

/// Guards against large bodies that leave no bytes for those of a middle size.
#[test]
fn bodies_of_a_middle_size_have_a_part_that_large_ones_cannot_take() {
    let mut pool = BytePool::new(CAPACITY_BYTES);
    for _ in 0..20 {
        pool.reserve(4 * MIB);
    }
    assert!(pool.waiting() > 0);
    assert!(matches!(pool.reserve(200 * 1024), Reserved::Granted(_)));
}

/// Guards against a crowd of bodies of unknown length that wait for the size of large ones, and whose bytes leave
/// none for bodies of a middle size.
#[test]
fn bodies_that_wait_for_more_leave_bytes_to_those_of_a_middle_size() {
    let mut pool = BytePool::new(CAPACITY_BYTES);
    while let Reserved::Granted(_) = pool.reserve(4 * MIB) {}
    let mut refused = 0;
    for _ in 0..CAPACITY_BYTES / MIDDLE_BYTES {
        let Reserved::Granted(held) = pool.reserve(MIDDLE_BYTES) else {
            break;
        };
        match pool.reserve_more(held, 4 * MIB) {
            Reserved::Granted(_) => panic!("large ones wait"),
            Reserved::Waiting(_) => {}
            Reserved::Refused => {
                refused += 1;
                pool.release(held);
            }
        }
    }
    assert!(refused > 0);
    assert!(matches!(pool.reserve(MIDDLE_BYTES), Reserved::Granted(_)));
}

/// Guards against a limit on bodies that wait for more which refuses one that need not wait.
#[test]
fn a_body_that_needs_more_gets_it_at_once_if_it_is_free() {
    let mut pool = BytePool::new(CAPACITY_BYTES);
    for _ in 0..2 {
        let Reserved::Granted(held) = pool.reserve(MIDDLE_BYTES) else {
            panic!("the pool is empty");
        };
        assert!(matches!(
            pool.reserve_more(held, 4 * MIB),
            Reserved::Granted(_)
        ));
        pool.release(held);
    }
    assert_eq!(pool.used_bytes(), 8 * MIB);
}
