//! A part of the process's memory that large bodies share.
//!
//! A body reserves all that it may grow to before it grows, so that it never waits in the middle with bytes
//! that others need; one of unknown length reserves a middle size first. Bodies wait in the order in which they asked, those of a middle size and large ones in
//! queues of their own, each with a part of the pool that the other cannot take. While one waits, a body that
//! arrives slower than a minimum rate for too long gives its bytes back.
//!
//! The pool does no input or output. Time is the time for which the process runs.

use std::cmp::Reverse;
use std::collections::VecDeque;

use indexmap::IndexMap;

/// Largest body of a middle size.
pub const MIDDLE_BYTES: usize = 256 * 1024;
/// Rate that a body has to keep while others wait.
const MIN_BYTES_PER_MS: u64 = 256;
/// Time for which a body may stand still while others wait.
const MAX_STALL_MS: u64 = 500;
/// Bodies that wait at most, in each queue.
const MAX_WAITING: usize = 1_024;
/// Part of the pool that bodies of one size may take, in percent.
const MIDDLE_PERCENT: usize = 50;
const LARGE_PERCENT: usize = 75;
/// Part of the bytes of a middle size that bodies may hold which wait for more, in percent.
const WAITING_FOR_MORE_PERCENT: usize = 50;

/// Names a body in a pool.
pub type ReservationId = u64;

/// Size of a body, which decides where it waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Size {
    Middle,
    Large,
}

impl Size {
    fn of(bytes: usize) -> Self {
        match bytes <= MIDDLE_BYTES {
            true => Self::Middle,
            false => Self::Large,
        }
    }
}

/// Outcome of a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reserved {
    /// The bytes are reserved.
    Granted(ReservationId),
    /// The body waits for others.
    Waiting(ReservationId),
    /// Too many bodies wait already.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: usize,
    size: Size,
    /// Whether bytes of the body are expected to move.
    moves: bool,
    /// Time by which the body is behind the minimum rate.
    behind_ms: u64,
    /// Whether the body waits for a larger reservation.
    waits_for_more: bool,
}

#[derive(Clone, Debug, Default)]
struct Part {
    capacity_bytes: usize,
    used_bytes: usize,
    waiting: VecDeque<(ReservationId, usize)>,
}

/// Bytes that bodies reserve, and those that wait for them.
#[derive(Clone, Debug)]
pub struct BytePool {
    capacity_bytes: usize,
    used_bytes: usize,
    middle: Part,
    large: Part,
    holders: IndexMap<ReservationId, Holder>,
    next_id: ReservationId,
}

impl BytePool {
    /// Creates a pool of `capacity_bytes`.
    pub fn new(capacity_bytes: usize) -> Self {
        let part = |percent: usize| Part {
            capacity_bytes: capacity_bytes * percent / 100,
            ..Part::default()
        };
        Self {
            capacity_bytes,
            used_bytes: 0,
            middle: part(MIDDLE_PERCENT),
            large: part(LARGE_PERCENT),
            holders: IndexMap::new(),
            next_id: 0,
        }
    }

    /// Bytes that are reserved.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Number of bodies that wait.
    pub fn waiting(&self) -> usize {
        self.middle.waiting.len() + self.large.waiting.len()
    }

    /// Reserves `bytes` for a body, or what bodies of other sizes always leave if that is less.
    pub fn reserve(&mut self, bytes: usize) -> Reserved {
        let size = Size::of(bytes);
        let part = self.part(size);
        let bytes = bytes.min(match size {
            Size::Middle => self.capacity_bytes - self.large.capacity_bytes,
            Size::Large => self.capacity_bytes - self.middle.capacity_bytes,
        });
        if part.waiting.len() >= MAX_WAITING {
            return Reserved::Refused;
        }
        let goes_on = part.waiting.is_empty() && self.fits(size, bytes);
        let id = self.next_id;
        self.next_id += 1;
        if goes_on {
            self.grant(id, size, bytes);
            return Reserved::Granted(id);
        }
        self.part_mut(size).waiting.push_back((id, bytes));
        Reserved::Waiting(id)
    }

    /// Reserves `bytes` for a body that has turned out to be larger, and that keeps the bytes of `held` until then.
    /// It is refused instead of waiting if bodies hold too much that wait so.
    pub fn reserve_more(&mut self, held: ReservationId, bytes: usize) -> Reserved {
        self.set_moves(held, false);
        let held_bytes = self.holders.get(&held).map_or(0, |holder| holder.bytes);
        let waiting_bytes = held_bytes + self.waiting_for_more_bytes();
        let reserved = self.reserve(bytes);
        let Reserved::Waiting(id) = reserved else {
            return reserved;
        };
        if waiting_bytes > self.middle.capacity_bytes * WAITING_FOR_MORE_PERCENT / 100 {
            // It is the last in its queue, so nobody is granted anything by its end.
            self.release(id);
            return Reserved::Refused;
        }
        if let Some(holder) = self.holders.get_mut(&held) {
            holder.waits_for_more = true;
        }
        reserved
    }

    fn waiting_for_more_bytes(&self) -> usize {
        let waiting = self.holders.values().filter(|holder| holder.waits_for_more);
        waiting.map(|holder| holder.bytes).sum()
    }

    /// Ends a reservation, granted or waiting. Returns those that are granted now.
    pub fn release(&mut self, id: ReservationId) -> Vec<ReservationId> {
        if let Some(holder) = self.holders.swap_remove(&id) {
            self.free(holder.size, holder.bytes);
        } else {
            for part in [&mut self.middle, &mut self.large] {
                part.waiting.retain(|(waiting, _)| *waiting != id);
            }
        }
        self.grant_waiting()
    }

    /// Gives back what a body does not need, once it is complete and only its use takes time. Returns the
    /// reservations that are granted now.
    pub fn complete(&mut self, id: ReservationId, bytes: usize) -> Vec<ReservationId> {
        let Some(holder) = self.holders.get_mut(&id) else {
            return Vec::new();
        };
        holder.moves = false;
        let surplus = holder.bytes.saturating_sub(bytes);
        holder.bytes -= surplus;
        let size = holder.size;
        self.free(size, surplus);
        self.grant_waiting()
    }

    /// Notes whether bytes of a body are expected to move.
    pub fn set_moves(&mut self, id: ReservationId, moves: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.moves = moves;
            holder.behind_ms = 0;
        }
    }

    /// Lets `elapsed_ms` pass, in which each body has moved `moved` bytes. Returns the slowest bodies that have to
    /// give their bytes back, at most one for each that waits.
    pub fn advance(
        &mut self,
        elapsed_ms: u64,
        mut moved: impl FnMut(ReservationId) -> u64,
    ) -> Vec<ReservationId> {
        for (id, holder) in &mut self.holders {
            let earned_ms = moved(*id) / MIN_BYTES_PER_MS;
            holder.behind_ms = (holder.behind_ms + elapsed_ms).saturating_sub(earned_ms);
        }
        let stalled = self.holders.iter().filter(|(_, holder)| {
            holder.moves && holder.behind_ms > MAX_STALL_MS && self.is_in_the_way(holder.size)
        });
        let mut slowest: Vec<(u64, ReservationId)> = stalled
            .map(|(id, holder)| (holder.behind_ms, *id))
            .collect();
        slowest.sort_unstable_by_key(|(behind_ms, id)| (Reverse(*behind_ms), *id));
        slowest.truncate(self.waiting());
        slowest.into_iter().map(|(_, id)| id).collect()
    }

    /// Whether a reservation that waits could go on if a body of `size` gave its bytes back.
    fn is_in_the_way(&self, size: Size) -> bool {
        let free_bytes = self.capacity_bytes - self.used_bytes;
        [Size::Middle, Size::Large].into_iter().any(|waiting| {
            let part = self.part(waiting);
            let free_in_part = part.capacity_bytes - part.used_bytes;
            let first = part.waiting.front();
            first.is_some_and(|(_, bytes)| {
                waiting == size || (*bytes <= free_in_part && *bytes > free_bytes)
            })
        })
    }

    fn part(&self, size: Size) -> &Part {
        match size {
            Size::Middle => &self.middle,
            Size::Large => &self.large,
        }
    }

    fn part_mut(&mut self, size: Size) -> &mut Part {
        match size {
            Size::Middle => &mut self.middle,
            Size::Large => &mut self.large,
        }
    }

    fn fits(&self, size: Size, bytes: usize) -> bool {
        let free_bytes = self.capacity_bytes - self.used_bytes;
        let part = self.part(size);
        bytes <= free_bytes && bytes <= part.capacity_bytes - part.used_bytes
    }

    fn grant(&mut self, id: ReservationId, size: Size, bytes: usize) {
        self.used_bytes += bytes;
        self.part_mut(size).used_bytes += bytes;
        let holder = Holder {
            bytes,
            size,
            moves: true,
            behind_ms: 0,
            waits_for_more: false,
        };
        self.holders.insert(id, holder);
    }

    fn free(&mut self, size: Size, bytes: usize) {
        self.used_bytes -= bytes;
        self.part_mut(size).used_bytes -= bytes;
    }

    /// Grants reservations as long as the first one of a queue fits.
    fn grant_waiting(&mut self) -> Vec<ReservationId> {
        let mut granted = Vec::new();
        for size in [Size::Middle, Size::Large] {
            while let Some((id, bytes)) = self.part(size).waiting.front().copied()
                && self.fits(size, bytes)
            {
                self.part_mut(size).waiting.pop_front();
                self.grant(id, size, bytes);
                granted.push(id);
            }
        }
        granted
    }
}
