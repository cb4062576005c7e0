//! The coordinator's side: hands out the tokens of one data centre.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::bucket::TokenBucket;
use super::message::Ask;
use super::message::BORROW_FORMAT;
use super::message::BorrowReply;
use super::message::BorrowRequest;
use super::message::GrantId;
use super::message::Granted;
use super::version::History;
use super::version::Share;
use crate::lease::HeldLease;
use crate::types::AccountName;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::VmName;

/// The buckets of one uninterrupted possession of the lease.
#[derive(Debug)]
pub struct Dispenser {
    term: u64,
    buckets: HashMap<AccountName, TokenBucket>,
    /// Last batch of returns by VM, so that a batch that arrives twice counts once.
    batches: HashMap<VmName, (u64, u64)>,
}

impl Dispenser {
    /// A dispenser without buckets. `term` must differ between possessions.
    pub fn new(term: u64) -> Self {
        Self {
            term,
            buckets: HashMap::new(),
            batches: HashMap::new(),
        }
    }

    /// Sets the share of `account`; a new bucket is empty.
    pub fn set_share(&mut self, now: MonoMs, account: &AccountName, share: Share) {
        match self.buckets.get_mut(account) {
            Some(bucket) => bucket.set_share(now, share),
            None => {
                let bucket = TokenBucket::new(share, now);
                self.buckets.insert(account.clone(), bucket);
            }
        }
    }

    /// Drops the bucket of `account`.
    pub fn remove(&mut self, account: &AccountName) {
        self.buckets.remove(account);
    }

    /// Takes the returns back and answers the asks.
    pub fn receive(&mut self, now: MonoMs, request: &BorrowRequest) -> BorrowReply {
        self.take_back(now, request);
        let grants = request.asks.iter().map(|ask| self.grant(now, ask));
        BorrowReply {
            format: BORROW_FORMAT,
            coordinating: true,
            grants: grants.collect(),
        }
    }

    fn take_back(&mut self, now: MonoMs, request: &BorrowRequest) {
        if request.returns.is_empty() {
            return;
        }
        let batch = (request.incarnation, request.return_sequence);
        let last = self.batches.entry(request.vm.clone()).or_default();
        if batch <= *last {
            return;
        }
        *last = batch;
        for entry in &request.returns {
            if entry.grant.term != self.term {
                continue;
            }
            if let Some(bucket) = self.buckets.get_mut(&entry.account) {
                bucket.give_back(now, entry.grant.at, entry.tokens);
            }
        }
    }

    fn grant(&mut self, now: MonoMs, ask: &Ask) -> Granted {
        let Some(bucket) = self.buckets.get_mut(&ask.account) else {
            return Granted {
                grant: GrantId {
                    term: self.term,
                    at: now,
                },
                tokens: 0,
                lifetime_ms: 0,
                left_tokens: 0,
                refill_per_ms: 0,
                capacity_tokens: 0,
            };
        };
        let tokens = bucket.take(now, ask.need_tokens, ask.ahead_tokens);
        let share = bucket.share();
        Granted {
            grant: GrantId {
                term: self.term,
                at: bucket.at(),
            },
            tokens,
            lifetime_ms: share.lifetime_ms,
            left_tokens: bucket.tokens(now),
            refill_per_ms: u64::try_from(share.refill_per_ms).unwrap_or(u64::MAX),
            capacity_tokens: share.capacity_tokens(),
        }
    }
}

/// One VM's readiness to hand out tokens whenever it holds the lease.
#[derive(Debug)]
pub struct Desk {
    data_centre: DataCentre,
    histories: BTreeMap<AccountName, History>,
    applied_index: u64,
    settled_index: u64,
    possession: Option<(MonoMs, Dispenser)>,
}

impl Desk {
    /// A desk that knows no accounts.
    pub fn new(data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            histories: BTreeMap::new(),
            applied_index: 0,
            settled_index: 0,
            possession: None,
        }
    }

    /// Sets the versions of an account's limits that may be in use somewhere.
    pub fn set_history(&mut self, now: MonoMs, account: AccountName, mut history: History) {
        history.settle(self.settled_index);
        if let Some((_, dispenser)) = &mut self.possession {
            dispenser.set_share(now, &account, history.share(&self.data_centre));
        }
        self.histories.insert(account, history);
    }

    /// Forgets an account.
    pub fn remove(&mut self, account: &AccountName) {
        if let Some((_, dispenser)) = &mut self.possession {
            dispenser.remove(account);
        }
        self.histories.remove(account);
    }

    /// Tells the index of the last control entry whose limits the desk has got.
    pub fn set_applied(&mut self, applied_index: u64) {
        self.applied_index = applied_index;
    }

    /// Tells up to which control index no data centre uses older limits any more.
    pub fn settle(&mut self, now: MonoMs, settled_index: u64) {
        if settled_index <= self.settled_index {
            return;
        }
        self.settled_index = settled_index;
        for (account, history) in &mut self.histories {
            history.settle(settled_index);
            if let Some((_, dispenser)) = &mut self.possession {
                dispenser.set_share(now, account, history.share(&self.data_centre));
            }
        }
    }

    /// Starts with empty buckets when the lease was won, and stops when it was lost. `held` must
    /// have been read before `now`. Returns true if tokens may be handed out at `now`.
    pub fn tick(&mut self, now: MonoMs, held: Option<HeldLease>) -> bool {
        let Some(held) = held.filter(|held| now < held.deadline) else {
            self.possession = None;
            return false;
        };
        if self.applied_index < held.required_index {
            return false;
        }
        let continues = matches!(&self.possession, Some((since, _)) if *since == held.since);
        if !continues {
            let mut dispenser = Dispenser::new(held.term);
            for (account, history) in &self.histories {
                dispenser.set_share(now, account, history.share(&self.data_centre));
            }
            self.possession = Some((held.since, dispenser));
        }
        true
    }

    /// Answers a request at `now`.
    pub fn receive(
        &mut self,
        now: MonoMs,
        held: Option<HeldLease>,
        request: &BorrowRequest,
    ) -> BorrowReply {
        if request.format == BORROW_FORMAT
            && self.tick(now, held)
            && let Some((_, dispenser)) = &mut self.possession
        {
            return dispenser.receive(now, request);
        }
        BorrowReply {
            format: BORROW_FORMAT,
            coordinating: false,
            grants: Vec::new(),
        }
    }
}
