//! One VM's granted tokens of all accounts, and the state machine that borrows more.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::allowance::Allowance;
use super::allowance::HeldGrant;
use super::allowance::Reservation;
use super::bucket_estimate::BucketEstimates;
use super::message::Ask;
use super::message::BORROW_FORMAT;
use super::message::BorrowReply;
use super::message::BorrowRequest;
use super::message::Granted;
use super::returns::Returns;
use super::version::LimitVersion;
use crate::types::AccountName;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::Tokens;
use crate::types::VmName;

/// Maximum number of request rounds before a refusal: the VM's own coordinator, the others, and
/// further ones for tokens whose existence the second round reported.
const MAX_ROUNDS: u32 = 4;

/// Retry time when too few coordinators are reachable to cover the request: the duration of a lease
/// and the subsequent election.
const UNREACHABLE_RETRY_MS: u64 = 2_500;

/// Time until the tokens that a refused request had collected are credited to their buckets.
const RETURN_MS: u64 = 100;

/// Why a reservation is refused. No tokens are used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// The account is over its rate and burst.
    Later {
        /// Time in milliseconds after which the buckets hold enough for the request if no other
        /// request takes from them.
        retry_after_ms: u64,
    },
    /// The request exceeds the total capacity of the buckets; a retry cannot succeed.
    TooLarge {
        /// Largest request that can succeed, in tokens.
        largest_tokens: Tokens,
    },
    /// The VM has no limits for the account.
    UnknownAccount,
}

#[derive(Debug, Default)]
struct Account {
    limits: Option<LimitVersion>,
    allowance: Allowance,
    bucket_estimates: BucketEstimates,
}

/// A reservation that waits for replies from coordinators.
#[derive(Debug)]
pub struct Borrowing {
    account: AccountName,
    tokens: Tokens,
    grants: Vec<HeldGrant>,
    rounds: u32,
    unreachable: Vec<DataCentre>,
    started: MonoMs,
}

/// A request to one coordinator.
#[derive(Clone, Debug)]
pub struct BorrowCall {
    /// Data centre whose coordinator is asked.
    pub to: DataCentre,
    /// Time just before the request is sent.
    pub sent: MonoMs,
    /// The message.
    pub request: BorrowRequest,
}

/// Next step of a reservation.
#[derive(Debug)]
pub enum Step {
    /// The reservation is complete.
    Reserved(Reservation),
    /// Send these calls, pass each reply to [`TokenCache::reply`], then call [`TokenCache::step`].
    Send(Borrowing, Vec<BorrowCall>),
    /// The reservation is refused.
    Refused(Shortage),
}

/// One VM's granted tokens of all accounts.
#[derive(Debug)]
pub struct TokenCache {
    vm: VmName,
    incarnation: u64,
    data_centre: DataCentre,
    accounts: HashMap<AccountName, Account>,
    returns: Returns,
}

impl TokenCache {
    /// Creates an empty cache for a process of `vm`.
    pub fn new(vm: VmName, incarnation: u64, data_centre: DataCentre) -> Self {
        Self {
            vm,
            incarnation,
            data_centre,
            accounts: HashMap::new(),
            returns: Returns::default(),
        }
    }

    /// Sets an account's latest limits. They only determine which coordinators are asked and which
    /// requests can never succeed.
    pub fn set_limits(&mut self, account: AccountName, limits: LimitVersion) {
        self.accounts.entry(account).or_default().limits = Some(limits);
    }

    /// Removes an account and returns its tokens.
    pub fn remove(&mut self, account: &AccountName) {
        if let Some(mut removed) = self.accounts.remove(account) {
            let grants = removed.allowance.remove_unneeded(MonoMs(u64::MAX));
            self.returns.queue(account, grants);
        }
    }

    /// Starts a reservation.
    pub fn reserve(&mut self, now: MonoMs, account: &AccountName, tokens: Tokens) -> Step {
        let Some(state) = self.accounts.get_mut(account) else {
            return Step::Refused(Shortage::UnknownAccount);
        };
        let Some(limits) = &state.limits else {
            return Step::Refused(Shortage::UnknownAccount);
        };
        let largest_tokens = limits.largest_tokens();
        if tokens > largest_tokens {
            return Step::Refused(Shortage::TooLarge { largest_tokens });
        }
        state.allowance.note_use(now, tokens);
        let borrowing = Borrowing {
            account: account.clone(),
            tokens,
            grants: Vec::new(),
            rounds: 0,
            unreachable: Vec::new(),
            started: now,
        };
        self.step(now, borrowing)
    }

    /// Continues a reservation after all replies of the last round have been passed in.
    pub fn step(&mut self, now: MonoMs, mut borrowing: Borrowing) -> Step {
        self.drop_expired(now, &mut borrowing);
        self.take_held(now, &mut borrowing);
        let missing = borrowing.missing();
        if missing == 0 {
            return Step::Reserved(Reservation {
                account: borrowing.account,
                grants: borrowing.grants,
            });
        }
        let wanted = self.plan(now, &borrowing, missing);
        if borrowing.rounds >= MAX_ROUNDS || wanted.is_empty() {
            return Step::Refused(self.refuse(now, borrowing));
        }
        borrowing.rounds += 1;
        let calls = wanted.into_iter().map(|(to, need_tokens)| {
            let ahead_tokens = self.prefetch_tokens(now, &to, &borrowing.account);
            self.call(now, to, &borrowing.account, need_tokens, ahead_tokens)
        });
        let calls = calls.collect();
        Step::Send(borrowing, calls)
    }

    /// Handles the reply to one call of a reservation, `None` if there was none.
    pub fn reply(
        &mut self,
        now: MonoMs,
        borrowing: &mut Borrowing,
        call: &BorrowCall,
        reply: Option<&BorrowReply>,
    ) {
        let granted = reply.filter(|reply| reply.coordinating && reply.format == BORROW_FORMAT);
        let Some(granted) = granted.and_then(|reply| reply.grants.first()) else {
            borrowing.unreachable.push(call.to.clone());
            return;
        };
        let mut grant = held_grant(call, granted);
        let kept = grant.tokens.min(borrowing.missing());
        grant.tokens -= kept;
        borrowing.grants.push(HeldGrant {
            tokens: kept,
            ..grant.clone()
        });
        self.keep_surplus(now, call, granted, grant);
    }

    /// Handles the reply to a call of [`TokenCache::maintain`], `None` if there was none.
    pub fn on_maintenance_reply(
        &mut self,
        now: MonoMs,
        call: &BorrowCall,
        reply: Option<&BorrowReply>,
    ) {
        let counted = reply.filter(|reply| reply.coordinating && reply.format == BORROW_FORMAT);
        if !call.request.returns.is_empty() {
            self.returns.finish_batch(&call.to, counted.is_some());
        }
        if let Some(granted) = counted.and_then(|reply| reply.grants.first()) {
            self.keep_surplus(now, call, granted, held_grant(call, granted));
        }
    }

    /// Settles a reservation of which `used_tokens` were used. The rest can be reserved again until
    /// half of its lifetime has passed and is then returned to its coordinators.
    pub fn settle(&mut self, now: MonoMs, reservation: Reservation, used_tokens: Tokens) {
        let Reservation { account, grants } = reservation;
        let mut used = used_tokens;
        let surplus = grants.into_iter().map(|grant| {
            let part = grant.tokens.min(used);
            used -= part;
            HeldGrant {
                tokens: grant.tokens - part,
                ..grant
            }
        });
        let surplus: Vec<HeldGrant> = surplus.collect();
        self.restore(now, &account, surplus);
    }

    /// Calls that are due apart from reservations: returns and prefetches.
    pub fn maintain(&mut self, now: MonoMs) -> Vec<BorrowCall> {
        for (name, state) in &mut self.accounts {
            let unneeded = state.allowance.remove_unneeded(now);
            self.returns.queue(name, unneeded);
        }
        let mut calls = Vec::new();
        for to in self.returns.ready() {
            let (sequence, batch) = self.returns.start_batch(&to);
            let mut request = self.request(Vec::new());
            request.return_sequence = sequence;
            request.returns = batch;
            calls.push(BorrowCall {
                to,
                sent: now,
                request,
            });
        }
        calls.extend(self.prefetch_requests(now));
        calls
    }

    fn prefetch_requests(&mut self, now: MonoMs) -> Vec<BorrowCall> {
        let mut due = Vec::new();
        for (name, state) in &mut self.accounts {
            let lifetime_ms = state.limits.as_ref().map_or(0, LimitVersion::lifetime_ms);
            let wanted = state.allowance.prefetch_target(now, lifetime_ms);
            let available = state.allowance.available(now);
            if available < wanted / 2 {
                due.push((name.clone(), wanted - available));
            }
        }
        let own = self.data_centre.clone();
        due.iter()
            .map(|(account, ahead)| self.call(now, own.clone(), account, 0, *ahead))
            .collect()
    }

    /// Returns grants that expired while the reservation waited for replies.
    fn drop_expired(&mut self, now: MonoMs, borrowing: &mut Borrowing) {
        let grants = std::mem::take(&mut borrowing.grants);
        let (live, expired): (Vec<HeldGrant>, Vec<HeldGrant>) =
            grants.into_iter().partition(|grant| now < grant.deadline);
        borrowing.grants = live;
        self.returns.queue(&borrowing.account, expired);
    }

    /// Adds tokens that the VM holds, also those that the replies to other reservations have brought
    /// since this one asked.
    fn take_held(&mut self, now: MonoMs, borrowing: &mut Borrowing) {
        if let Some(state) = self.accounts.get_mut(&borrowing.account) {
            let held = state.allowance.take(now, borrowing.missing());
            borrowing.grants.extend(held);
        }
    }

    fn plan(
        &self,
        now: MonoMs,
        borrowing: &Borrowing,
        missing: Tokens,
    ) -> Vec<(DataCentre, Tokens)> {
        if borrowing.rounds == 0 {
            return vec![(self.data_centre.clone(), missing)];
        }
        let state = self.accounts.get(&borrowing.account);
        let Some((state, limits)) = state.and_then(|s| Some((s, s.limits.as_ref()?))) else {
            return Vec::new();
        };
        let reachable = borrowing.reachable(limits);
        let started = borrowing.started;
        state
            .bucket_estimates
            .plan(now, started, limits, &reachable, missing)
    }

    /// Refuses a reservation and returns the tokens that it had collected.
    fn refuse(&mut self, now: MonoMs, borrowing: Borrowing) -> Shortage {
        let mut returned: BTreeMap<DataCentre, Tokens> = BTreeMap::new();
        for grant in &borrowing.grants {
            *returned.entry(grant.source.clone()).or_default() += grant.tokens;
        }
        let state = self.accounts.get(&borrowing.account);
        let limits = state.and_then(|state| Some((state, state.limits.as_ref()?)));
        let covered_after_ms = limits.and_then(|(state, limits)| {
            let reachable = borrowing.reachable(limits);
            let tokens = borrowing.tokens;
            state
                .bucket_estimates
                .covered_after_ms(now, &reachable, &returned, tokens)
        });
        self.returns.queue(&borrowing.account, borrowing.grants);
        let least_ms = if returned.is_empty() { 1 } else { RETURN_MS };
        let retry_after_ms = covered_after_ms.map_or(UNREACHABLE_RETRY_MS, |ms| ms.max(least_ms));
        Shortage::Later { retry_after_ms }
    }

    fn prefetch_tokens(&mut self, now: MonoMs, to: &DataCentre, account: &AccountName) -> Tokens {
        let own = *to == self.data_centre;
        let state = self.accounts.get_mut(account).filter(|_| own);
        state.map_or(0, |state| {
            let lifetime_ms = state.limits.as_ref().map_or(0, LimitVersion::lifetime_ms);
            state.allowance.prefetch_target(now, lifetime_ms)
        })
    }

    fn call(
        &self,
        now: MonoMs,
        to: DataCentre,
        account: &AccountName,
        need_tokens: Tokens,
        ahead_tokens: Tokens,
    ) -> BorrowCall {
        let ask = Ask {
            account: account.clone(),
            need_tokens,
            ahead_tokens,
        };
        BorrowCall {
            to,
            sent: now,
            request: self.request(vec![ask]),
        }
    }

    fn request(&self, asks: Vec<Ask>) -> BorrowRequest {
        BorrowRequest {
            format: BORROW_FORMAT,
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            asks,
            return_sequence: 0,
            returns: Vec::new(),
        }
    }

    /// Records the state of the coordinator's bucket and keeps the tokens granted beyond the need.
    fn keep_surplus(&mut self, now: MonoMs, call: &BorrowCall, granted: &Granted, rest: HeldGrant) {
        let Some(ask) = call.request.asks.first() else {
            return;
        };
        let account = ask.account.clone();
        if let Some(state) = self.accounts.get_mut(&account) {
            state.bucket_estimates.note(now, call.to.clone(), granted);
        }
        self.restore(now, &account, vec![rest]);
    }

    fn restore(&mut self, now: MonoMs, account: &AccountName, grants: Vec<HeldGrant>) {
        let state = self.accounts.get_mut(account);
        let Some(state) = state else {
            self.returns.queue(account, grants);
            return;
        };
        let keeps = |grant: &HeldGrant| now < grant.keep_until;
        let (kept, unneeded): (Vec<HeldGrant>, Vec<HeldGrant>) =
            grants.into_iter().partition(keeps);
        self.returns.queue(account, unneeded);
        for grant in kept {
            state.allowance.add(grant);
        }
    }
}

impl Borrowing {
    fn missing(&self) -> Tokens {
        let held: Tokens = self.grants.iter().map(|grant| grant.tokens).sum();
        self.tokens.saturating_sub(held)
    }

    fn reachable(&self, limits: &LimitVersion) -> Vec<DataCentre> {
        let data_centres = limits.shares_ppm.keys();
        data_centres
            .filter(|dc| !self.unreachable.contains(dc))
            .cloned()
            .collect()
    }
}

/// Converts a reply into a held grant. Its lifetime counts from before the request was sent.
fn held_grant(call: &BorrowCall, granted: &Granted) -> HeldGrant {
    HeldGrant {
        source: call.to.clone(),
        grant: granted.grant,
        tokens: granted.tokens,
        deadline: call.sent.plus(granted.lifetime_ms),
        keep_until: call.sent.plus(granted.lifetime_ms / 2),
    }
}
