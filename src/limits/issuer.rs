//! Issues the tokens of one data centre on its coordinator.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::HashMap;

use super::bucket::TokenBucket;
use super::message::Ask;
use super::message::BORROW_FORMAT;
use super::message::BorrowReply;
use super::message::BorrowRequest;
use super::message::GrantId;
use super::message::Granted;
use super::server_limit::ServerBucket;
use super::version::History;
use super::version::Share;
use crate::lease::HeldLease;
use crate::types::AccountName;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::VmName;

/// Time for which an account of which no VM has granted tokens counts as new.
const NEW_ACCOUNT_MS: u64 = 5_000;

/// Token buckets during one uninterrupted holding of the coordinator lease.
#[derive(Debug)]
pub struct TokenIssuer {
    term: u64,
    buckets: HashMap<AccountName, TokenBucket>,
    /// Last batch of returns by VM, so that a batch that arrives twice is credited once.
    batches: HashMap<VmName, (u64, u64)>,
}

impl TokenIssuer {
    /// Creates an issuer without buckets. `term` must differ between holdings of the lease.
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

    /// Creates a full bucket for `account` if it has none.
    pub fn add_full(&mut self, now: MonoMs, account: &AccountName, share: Share) {
        let buckets = self.buckets.entry(account.clone());
        buckets.or_insert_with(|| TokenBucket::full(share, now));
    }

    /// Removes the bucket of `account`.
    pub fn remove(&mut self, account: &AccountName) {
        self.buckets.remove(account);
    }

    /// Credits the returns in `request` and grants the tokens that it asks for.
    pub fn receive(&mut self, now: MonoMs, request: &BorrowRequest) -> BorrowReply {
        self.credit_returns(now, request);
        let grants = request.asks.iter().map(|ask| self.grant(now, ask));
        BorrowReply {
            format: BORROW_FORMAT,
            coordinating: true,
            grants: grants.collect(),
        }
    }

    fn credit_returns(&mut self, now: MonoMs, request: &BorrowRequest) {
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
                bucket.credit_return(now, entry.grant.at, entry.tokens);
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

/// Issues tokens while the VM holds the coordinator lease.
#[derive(Debug)]
pub struct LeasedIssuer {
    data_centre: DataCentre,
    histories: BTreeMap<AccountName, History>,
    applied_index: u64,
    settled_index: u64,
    current: Option<(MonoMs, TokenIssuer)>,
    /// When accounts were added of which no VM had granted tokens, while this VM could not either.
    new_accounts: BTreeMap<AccountName, MonoMs>,
}

impl LeasedIssuer {
    /// Creates an issuer without accounts.
    pub fn new(data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            histories: BTreeMap::new(),
            applied_index: 0,
            settled_index: 0,
            current: None,
            new_accounts: BTreeMap::new(),
        }
    }

    /// Sets the versions of an account's limits that any data centre may still use.
    pub fn set_history(&mut self, now: MonoMs, account: AccountName, mut history: History) {
        history.settle(self.settled_index);
        if let Some((_, issuer)) = &mut self.current {
            issuer.set_share(now, &account, history.share(&self.data_centre));
        }
        self.histories.insert(account, history);
    }

    /// Adds an account of which no VM has ever granted tokens. Its bucket is full if the VM may issue
    /// tokens now or soon; later, another VM may have granted them.
    pub fn add_new(&mut self, now: MonoMs, account: AccountName, history: History) {
        match &mut self.current {
            Some((_, issuer)) => {
                issuer.add_full(now, &account, history.share(&self.data_centre));
            }
            None => {
                self.new_accounts.insert(account.clone(), now);
            }
        }
        self.set_history(now, account, history);
    }

    /// Removes an account.
    pub fn remove(&mut self, account: &AccountName) {
        if let Some((_, issuer)) = &mut self.current {
            issuer.remove(account);
        }
        self.histories.remove(account);
    }

    /// Sets the index of the last control entry whose limits are set here.
    pub fn set_applied(&mut self, applied_index: u64) {
        self.applied_index = applied_index;
    }

    /// Sets the control index up to which no data centre uses older limits.
    pub fn settle(&mut self, now: MonoMs, settled_index: u64) {
        if settled_index <= self.settled_index {
            return;
        }
        self.settled_index = settled_index;
        for (account, history) in &mut self.histories {
            history.settle(settled_index);
            if let Some((_, issuer)) = &mut self.current {
                issuer.set_share(now, account, history.share(&self.data_centre));
            }
        }
    }

    /// Starts with empty buckets when the lease is acquired, and stops when it is lost. `held` must
    /// have been read before `now`. Returns true if tokens may be issued at `now`.
    pub fn tick(&mut self, now: MonoMs, held: Option<HeldLease>) -> bool {
        let Some(held) = held.filter(|held| now < held.deadline) else {
            self.current = None;
            return false;
        };
        if self.applied_index < held.required_index {
            return false;
        }
        let continues = matches!(&self.current, Some((since, _)) if *since == held.since);
        if !continues {
            let mut issuer = TokenIssuer::new(held.term);
            for (account, history) in &self.histories {
                let share = history.share(&self.data_centre);
                let added = self.new_accounts.get(account);
                if added.is_some_and(|added| now.since(*added) < NEW_ACCOUNT_MS) {
                    issuer.add_full(now, account, share);
                }
                issuer.set_share(now, account, share);
            }
            self.new_accounts.clear();
            self.current = Some((held.since, issuer));
        }
        true
    }

    /// Handles a request at `now`.
    pub fn receive(
        &mut self,
        now: MonoMs,
        held: Option<HeldLease>,
        request: &BorrowRequest,
    ) -> BorrowReply {
        if request.format == BORROW_FORMAT
            && self.tick(now, held)
            && let Some((_, issuer)) = &mut self.current
        {
            let request = with_server_buckets(now, issuer, &self.data_centre, request);
            return issuer.receive(now, &request);
        }
        BorrowReply {
            format: BORROW_FORMAT,
            coordinating: false,
            grants: Vec::new(),
        }
    }
}

/// Creates or updates the buckets of the backend servers of `data_centre` that `request` asks for,
/// and returns the request with the names of these buckets.
fn with_server_buckets<'a>(
    now: MonoMs,
    issuer: &mut TokenIssuer,
    data_centre: &DataCentre,
    request: &'a BorrowRequest,
) -> Cow<'a, BorrowRequest> {
    let of_server = |account: &AccountName| {
        let bucket = ServerBucket::parse(account)?;
        (bucket.data_centre == *data_centre).then_some(bucket)
    };
    let mut request = Cow::Borrowed(request);
    for index in 0..request.asks.len() {
        if let Some(bucket) = of_server(&request.asks[index].account) {
            issuer.set_share(now, &bucket.bucket(), bucket.limits().share(data_centre));
            request.to_mut().asks[index].account = bucket.bucket();
        }
    }
    for index in 0..request.returns.len() {
        if let Some(bucket) = of_server(&request.returns[index].account) {
            request.to_mut().returns[index].account = bucket.bucket();
        }
    }
    request
}
