//! Records of callers' orders. Each idempotency key is granted to at most one dispatcher.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::control::FieldError;
use crate::control::LostOwners;
use crate::control::Owner;
use crate::control::RecordedResult;
use crate::control::Sha256Hash;
use crate::control::quota::Quota;
use crate::control::quota::Usage;
use crate::types::AccountName;
use crate::types::UnixMs;

/// Maximum number of order records that have not expired.
pub const MAX_ORDERS: usize = 100_000;
/// Maximum size of all recorded responses.
pub const MAX_ORDER_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of one recorded response. A longer response is recorded without its body.
pub const MAX_ORDER_RESULT_BYTES: usize = 16 * 1024;
/// Maximum number of records and tombstones together.
pub const MAX_ORDERS_AND_TOMBSTONES: usize = 1_000_000;
/// Maximum time from an intent to its expiry.
pub const MAX_ORDER_LIFETIME_MS: u64 = 24 * 3_600_000;
/// Time for which a tombstone is kept after the expiry of its order.
pub const TOMBSTONE_MS: u64 = 7 * 24 * 3_600_000;
/// Maximum number of dispatchers that may release one order. The record keeps the id of each until
/// the order expires.
pub const MAX_RELEASES: usize = 16;

/// Identity of an order. Equal idempotency keys of different accounts identify different orders.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OrderKey {
    /// Account that submitted the order.
    pub account: AccountName,
    /// Hash of the idempotency key.
    pub key_hash: Sha256Hash,
}

/// The intent of one dispatcher to run an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderIntent {
    /// Identity of the order.
    pub key: OrderKey,
    /// Hash of method, path and body.
    pub body_hash: Sha256Hash,
    /// Process that will dispatch the order.
    pub owner: Owner,
    /// Random id of this dispatcher. Only the task that generated it may act on `Granted`.
    pub dispatch_id: u64,
    /// Time at which the intent was proposed.
    pub at: UnixMs,
    /// Time at which the record becomes a tombstone, at most [`MAX_ORDER_LIFETIME_MS`] after `at`.
    pub expires_unix_ms: UnixMs,
}

/// A command about an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderCommand {
    /// Requests the grant of an order. Committed before the order is dispatched.
    Intent(OrderIntent),
    /// Records the outcome of an order. Committed before the caller gets the response.
    Outcome {
        /// Identity of the order.
        key: OrderKey,
        /// The dispatcher that ran the order.
        dispatch_id: u64,
        /// The response.
        result: RecordedResult,
    },
    /// States that the dispatcher has not sent the order and never will. This also applies to an
    /// intent of the dispatcher that reaches the log later, so a dispatcher that stops waiting for
    /// its grant can answer "not run".
    Release(OrderIntent),
}

/// Reply to an [`OrderCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderReply {
    /// The dispatcher named by the intent, and no other, may send the order.
    Granted,
    /// The order is granted to another dispatcher.
    InProgress {
        /// Process of the other dispatcher.
        owner: Owner,
    },
    /// The order has run; this is its response.
    Recorded(RecordedResult),
    /// The process to which the order was granted ended before it recorded an outcome.
    Unknown,
    /// The idempotency key was used with another body.
    BodyConflict,
    /// The order has expired; it does not run, or does not run again.
    Expired,
    /// The dispatcher has released the order; it must not send it.
    Released,
    /// The requesting process is known to have ended; it must not send the order.
    OwnerGone,
    /// The outcome names a dispatcher to which the order is not granted.
    Stale,
    /// The order is not accepted and does not run.
    Refused(FieldError),
}

/// Phase of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderPhase {
    /// Granted to the dispatcher.
    InProgress,
    /// Finished, with the response.
    Done(RecordedResult),
    /// Granted to a process that has ended; the outcome is unknown.
    Unknown,
    /// Released; can be granted to the next dispatcher.
    Released,
}

/// The record of one order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Hash of method, path and body.
    pub body_hash: Sha256Hash,
    /// Process of the last dispatcher.
    pub owner: Owner,
    /// Last dispatcher.
    pub dispatch_id: u64,
    /// Time at which the record becomes a tombstone.
    pub expires_unix_ms: UnixMs,
    /// Phase of the order.
    pub phase: OrderPhase,
    /// Dispatchers that released the order.
    pub released: Vec<u64>,
}

type TombstoneId = [u8; 16];

/// All order records and tombstones.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    records: BTreeMap<OrderKey, OrderRecord>,
    tombstones: BTreeMap<TombstoneId, UnixMs>,
    expiries: BTreeSet<(UnixMs, OrderKey)>,
    tombstone_expiries: BTreeSet<(UnixMs, TombstoneId)>,
    quota: Quota,
}

/// The parts of [`Orders`] that a snapshot holds.
#[derive(Deserialize, Serialize)]
pub(super) struct OrderParts {
    records: BTreeMap<OrderKey, OrderRecord>,
    tombstones: BTreeMap<TombstoneId, UnixMs>,
}

impl Orders {
    /// The record of `key`, if it has not expired.
    pub fn get(&self, key: &OrderKey) -> Option<&OrderRecord> {
        self.records.get(key)
    }

    /// Whether the order of `key` has expired.
    pub fn is_tombstone(&self, key: &OrderKey) -> bool {
        self.tombstones.contains_key(&tombstone_id(key))
    }

    /// Number of records that have not expired.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of tombstones.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    pub(super) fn apply(
        &mut self,
        command: &OrderCommand,
        lost: &LostOwners,
        now: UnixMs,
    ) -> OrderReply {
        match command {
            OrderCommand::Intent(intent) => self.intent(intent, lost, now),
            OrderCommand::Outcome {
                key,
                dispatch_id,
                result,
            } => self.outcome(key, *dispatch_id, result),
            OrderCommand::Release(intent) => self.release(intent, now),
        }
    }

    fn intent(&mut self, intent: &OrderIntent, lost: &LostOwners, now: UnixMs) -> OrderReply {
        if self.is_tombstone(&intent.key) {
            return OrderReply::Expired;
        }
        if let Some(record) = self.records.get(&intent.key) {
            if let Some(reply) = reply_to_known_order(record, intent) {
                return reply;
            }
        } else if let Err(reply) = self.check_new(intent, now) {
            return reply;
        }
        if lost.contains(&intent.owner) {
            return OrderReply::OwnerGone;
        }
        let mut granted = intent.clone();
        let mut released = Vec::new();
        if let Some(record) = self.remove(&intent.key) {
            granted.expires_unix_ms = record.expires_unix_ms;
            released = record.released;
        }
        self.insert(&granted, OrderPhase::InProgress, released);
        OrderReply::Granted
    }

    fn outcome(&mut self, key: &OrderKey, dispatch_id: u64, result: &RecordedResult) -> OrderReply {
        if self.is_tombstone(key) {
            return OrderReply::Expired;
        }
        let Some(record) = self.records.get_mut(key) else {
            return OrderReply::Stale;
        };
        if record.dispatch_id != dispatch_id {
            return OrderReply::Stale;
        }
        match &record.phase {
            OrderPhase::Done(first) => OrderReply::Recorded(first.clone()),
            OrderPhase::Released => OrderReply::Stale,
            OrderPhase::InProgress | OrderPhase::Unknown => {
                let result = result.bounded(MAX_ORDER_RESULT_BYTES);
                record.phase = OrderPhase::Done(result.clone());
                let more = Usage {
                    records: 0,
                    bytes: result.body_len(),
                };
                self.quota.add(&key.account, more);
                OrderReply::Recorded(result)
            }
        }
    }

    fn release(&mut self, intent: &OrderIntent, now: UnixMs) -> OrderReply {
        if self.is_tombstone(&intent.key) {
            return OrderReply::Expired;
        }
        let Some(record) = self.records.get_mut(&intent.key) else {
            if let Err(reply) = self.check_new(intent, now) {
                return reply;
            }
            self.insert(intent, OrderPhase::Released, vec![intent.dispatch_id]);
            return OrderReply::Released;
        };
        let is_last_dispatcher = record.dispatch_id == intent.dispatch_id;
        if is_last_dispatcher && let OrderPhase::Done(result) = &record.phase {
            return OrderReply::Recorded(result.clone());
        }
        let is_recorded = record.released.contains(&intent.dispatch_id);
        if !is_recorded && (is_last_dispatcher || record.released.len() < MAX_RELEASES) {
            record.released.push(intent.dispatch_id);
        }
        if is_last_dispatcher {
            record.phase = OrderPhase::Released;
        }
        OrderReply::Released
    }

    fn check_new(&self, intent: &OrderIntent, now: UnixMs) -> Result<(), OrderReply> {
        if intent.expires_unix_ms <= now {
            return Err(OrderReply::Expired);
        }
        if intent.expires_unix_ms.since(intent.at) > MAX_ORDER_LIFETIME_MS {
            let value = intent.expires_unix_ms.0.to_string();
            let allowed = format!("at most {MAX_ORDER_LIFETIME_MS} ms after {}", intent.at.0);
            let error = FieldError::new("expires_unix_ms", value, allowed);
            return Err(OrderReply::Refused(error));
        }
        let total = self.records.len() + self.tombstones.len();
        if total >= MAX_ORDERS_AND_TOMBSTONES {
            let allowed = format!("at most {MAX_ORDERS_AND_TOMBSTONES} with tombstones");
            let error = FieldError::new("orders", total.to_string(), allowed);
            return Err(OrderReply::Refused(error));
        }
        let more = Usage {
            records: 1,
            bytes: 0,
        };
        let max = Usage {
            records: MAX_ORDERS,
            bytes: MAX_ORDER_BYTES,
        };
        self.quota
            .check(&intent.key.account, more, max, "orders")
            .map_err(OrderReply::Refused)
    }

    /// Marks the orders in progress of ended processes as unknown. Returns their number.
    pub(super) fn owner_lost(&mut self, lost: &LostOwners) -> usize {
        let mut count = 0;
        for record in self.records.values_mut() {
            if record.phase == OrderPhase::InProgress && lost.contains(&record.owner) {
                record.phase = OrderPhase::Unknown;
                count += 1;
            }
        }
        count
    }

    pub(super) fn expire(&mut self, now: UnixMs) {
        while let Some((_, key)) = self.expiries.first().filter(|(at, _)| *at <= now).cloned() {
            self.remove(&key);
            let id = tombstone_id(&key);
            let expires_at = now.plus(TOMBSTONE_MS);
            self.tombstones.insert(id, expires_at);
            self.tombstone_expiries.insert((expires_at, id));
        }
        while let Some((at, id)) = self
            .tombstone_expiries
            .first()
            .filter(|(at, _)| *at <= now)
            .copied()
        {
            self.tombstone_expiries.remove(&(at, id));
            self.tombstones.remove(&id);
        }
    }

    fn insert(&mut self, intent: &OrderIntent, phase: OrderPhase, released: Vec<u64>) {
        let record = OrderRecord {
            body_hash: intent.body_hash,
            owner: intent.owner.clone(),
            dispatch_id: intent.dispatch_id,
            expires_unix_ms: intent.expires_unix_ms,
            phase,
            released,
        };
        self.index(&intent.key, &record);
        self.records.insert(intent.key.clone(), record);
    }

    fn remove(&mut self, key: &OrderKey) -> Option<OrderRecord> {
        let record = self.records.remove(key)?;
        self.expiries.remove(&(record.expires_unix_ms, key.clone()));
        self.quota.subtract(&key.account, usage(&record));
        Some(record)
    }

    fn index(&mut self, key: &OrderKey, record: &OrderRecord) {
        self.expiries.insert((record.expires_unix_ms, key.clone()));
        self.quota.add(&key.account, usage(record));
    }

    pub(super) fn parts(&self) -> OrderParts {
        OrderParts {
            records: self.records.clone(),
            tombstones: self.tombstones.clone(),
        }
    }

    pub(super) fn from_parts(parts: OrderParts) -> Self {
        let mut orders = Self::default();
        for (key, record) in &parts.records {
            orders.index(key, record);
        }
        orders.tombstone_expiries = parts.tombstones.iter().map(|(id, at)| (*at, *id)).collect();
        orders.records = parts.records;
        orders.tombstones = parts.tombstones;
        orders
    }
}

/// The reply to an intent for a recorded order; `None` if the order can be granted to this
/// dispatcher.
fn reply_to_known_order(record: &OrderRecord, intent: &OrderIntent) -> Option<OrderReply> {
    if !record.body_hash.matches(&intent.body_hash) {
        return Some(OrderReply::BodyConflict);
    }
    if record.released.contains(&intent.dispatch_id) {
        return Some(OrderReply::Released);
    }
    match &record.phase {
        OrderPhase::Done(result) => Some(OrderReply::Recorded(result.clone())),
        OrderPhase::Unknown => Some(OrderReply::Unknown),
        OrderPhase::InProgress => {
            let is_same = record.dispatch_id == intent.dispatch_id && record.owner == intent.owner;
            Some(match is_same {
                true => OrderReply::Granted,
                false => OrderReply::InProgress {
                    owner: record.owner.clone(),
                },
            })
        }
        OrderPhase::Released if record.released.len() >= MAX_RELEASES => {
            let value = record.released.len().to_string();
            let allowed = format!("at most {MAX_RELEASES} dispatchers that gave it back");
            Some(OrderReply::Refused(FieldError::new(
                "idempotency-key",
                value,
                allowed,
            )))
        }
        OrderPhase::Released => None,
    }
}

fn usage(record: &OrderRecord) -> Usage {
    let bytes = match &record.phase {
        OrderPhase::Done(result) => result.body_len(),
        _ => 0,
    };
    Usage { records: 1, bytes }
}

fn tombstone_id(key: &OrderKey) -> TombstoneId {
    let mut hasher = Sha256::new();
    hasher.update(key.key_hash.0);
    hasher.update(key.account.as_str());
    let mut id = TombstoneId::default();
    id.copy_from_slice(&hasher.finalize()[..16]);
    id
}
