//! One VM's tokens of all accounts, and the steps by which it borrows more.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::allowance::Allowance;
use super::allowance::Lot;
use super::allowance::Reservation;
use super::bank::Banks;
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

/// Rounds of requests before a refusal: the own coordinator, the others, and one more for tokens
/// that the second round found.
const MAX_ROUNDS: u32 = 4;

/// Time to come back when too few coordinators could be reached to cover the request: a lease and
/// the election after it.
const UNREACHABLE_RETRY_MS: u64 = 2_500;

/// Time in which tokens that a refused request had collected are back in their buckets.
const RETURN_MS: u64 = 100;

/// Why a reservation is refused. Nothing was used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// The account is over its rate and burst.
    Later {
        /// Time after which the buckets hold enough for the request if nobody else takes from them.
        retry_after_ms: u64,
    },
    /// The request is larger than the full buckets together; a retry cannot succeed.
    TooLarge {
        /// Largest request that can succeed.
        largest_tokens: Tokens,
    },
    /// The VM knows no limits of the account.
    UnknownAccount,
}

#[derive(Debug, Default)]
struct Account {
    limits: Option<LimitVersion>,
    allowance: Allowance,
    banks: Banks,
}

/// A reservation in the making.
#[derive(Debug)]
pub struct Borrowing {
    account: AccountName,
    tokens: Tokens,
    lots: Vec<Lot>,
    rounds: u32,
    unreachable: Vec<DataCentre>,
    begun: MonoMs,
}

/// A request to one coordinator.
#[derive(Clone, Debug)]
pub struct Errand {
    /// Data centre whose coordinator is asked.
    pub to: DataCentre,
    /// Time before it is sent.
    pub sent: MonoMs,
    /// Message.
    pub request: BorrowRequest,
}

/// What to do next about a reservation.
#[derive(Debug)]
pub enum Step {
    /// It is made.
    Reserved(Reservation),
    /// Send these, report each reply with [`Purse::reply`], then call [`Purse::step`] again.
    Send(Borrowing, Vec<Errand>),
    /// It is refused.
    Refused(Shortage),
}

/// One VM's tokens.
#[derive(Debug)]
pub struct Purse {
    vm: VmName,
    incarnation: u64,
    data_centre: DataCentre,
    accounts: HashMap<AccountName, Account>,
    returns: Returns,
}

impl Purse {
    /// An empty purse of a process of `vm`.
    pub fn new(vm: VmName, incarnation: u64, data_centre: DataCentre) -> Self {
        Self {
            vm,
            incarnation,
            data_centre,
            accounts: HashMap::new(),
            returns: Returns::default(),
        }
    }

    /// Sets an account's latest limits. They only guide where to ask and what can never succeed.
    pub fn set_limits(&mut self, account: AccountName, limits: LimitVersion) {
        self.accounts.entry(account).or_default().limits = Some(limits);
    }

    /// Forgets an account and returns its tokens.
    pub fn remove(&mut self, account: &AccountName) {
        if let Some(mut removed) = self.accounts.remove(account) {
            let lots = removed.allowance.remove_unneeded(MonoMs(u64::MAX));
            self.returns.queue(account, lots);
        }
    }

    /// Begins a reservation.
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
        let lots = state.allowance.take(now, tokens);
        let borrowing = Borrowing {
            account: account.clone(),
            tokens,
            lots,
            rounds: 0,
            unreachable: Vec::new(),
            begun: now,
        };
        self.step(now, borrowing)
    }

    /// Continues a reservation after all replies of the last round were reported.
    pub fn step(&mut self, now: MonoMs, mut borrowing: Borrowing) -> Step {
        self.drop_lapsed(now, &mut borrowing);
        let missing = borrowing.missing();
        if missing == 0 {
            return Step::Reserved(Reservation {
                account: borrowing.account,
                lots: borrowing.lots,
            });
        }
        let wanted = self.plan(now, &borrowing, missing);
        if borrowing.rounds >= MAX_ROUNDS || wanted.is_empty() {
            return Step::Refused(self.refuse(now, borrowing));
        }
        borrowing.rounds += 1;
        let errands = wanted.into_iter().map(|(to, need_tokens)| {
            let ahead_tokens = self.ahead(now, &to, &borrowing.account);
            self.errand(now, to, &borrowing.account, need_tokens, ahead_tokens)
        });
        let errands = errands.collect();
        Step::Send(borrowing, errands)
    }

    /// Counts the reply to one errand of a reservation, `None` if there was none.
    pub fn reply(
        &mut self,
        now: MonoMs,
        borrowing: &mut Borrowing,
        errand: &Errand,
        reply: Option<&BorrowReply>,
    ) {
        let granted = reply.filter(|reply| reply.coordinating && reply.format == BORROW_FORMAT);
        let Some(granted) = granted.and_then(|reply| reply.grants.first()) else {
            borrowing.unreachable.push(errand.to.clone());
            return;
        };
        let mut lot = lot(errand, granted);
        let kept = lot.tokens.min(borrowing.missing());
        lot.tokens -= kept;
        borrowing.lots.push(Lot {
            tokens: kept,
            ..lot.clone()
        });
        self.deposit(now, errand, granted, lot);
    }

    /// Counts the reply to an errand of [`Purse::upkeep`], `None` if there was none.
    pub fn upkeep_reply(&mut self, now: MonoMs, errand: &Errand, reply: Option<&BorrowReply>) {
        let counted = reply.filter(|reply| reply.coordinating && reply.format == BORROW_FORMAT);
        if !errand.request.returns.is_empty() {
            self.returns.finish_batch(&errand.to, counted.is_some());
        }
        if let Some(granted) = counted.and_then(|reply| reply.grants.first()) {
            self.deposit(now, errand, granted, lot(errand, granted));
        }
    }

    /// Settles a reservation of which `used_tokens` were used. The rest can be reserved again until
    /// its deadline comes near and then returns to its coordinators.
    pub fn settle(&mut self, now: MonoMs, reservation: Reservation, used_tokens: Tokens) {
        let Reservation { account, lots } = reservation;
        let mut used = used_tokens;
        let surplus = lots.into_iter().map(|lot| {
            let part = lot.tokens.min(used);
            used -= part;
            Lot {
                tokens: lot.tokens - part,
                ..lot
            }
        });
        let surplus: Vec<Lot> = surplus.collect();
        self.put_back(now, &account, surplus);
    }

    /// Errands that are due apart from reservations: returns, and tokens ahead of use.
    pub fn upkeep(&mut self, now: MonoMs) -> Vec<Errand> {
        for (name, state) in &mut self.accounts {
            let unneeded = state.allowance.remove_unneeded(now);
            self.returns.queue(name, unneeded);
        }
        let mut errands = Vec::new();
        for to in self.returns.ready() {
            let (sequence, batch) = self.returns.start_batch(&to);
            let mut request = self.request(Vec::new());
            request.return_sequence = sequence;
            request.returns = batch;
            errands.push(Errand {
                to,
                sent: now,
                request,
            });
        }
        errands.extend(self.top_ups(now));
        errands
    }

    fn top_ups(&mut self, now: MonoMs) -> Vec<Errand> {
        let mut due = Vec::new();
        for (name, state) in &mut self.accounts {
            let lifetime_ms = state.limits.as_ref().map_or(0, LimitVersion::lifetime_ms);
            let wanted = state.allowance.wanted_ahead(now, lifetime_ms);
            let available = state.allowance.available(now);
            if available < wanted / 2 {
                due.push((name.clone(), wanted - available));
            }
        }
        let own = self.data_centre.clone();
        due.iter()
            .map(|(account, ahead)| self.errand(now, own.clone(), account, 0, *ahead))
            .collect()
    }

    /// Returns lots that lapsed while the reservation waited for replies.
    fn drop_lapsed(&mut self, now: MonoMs, borrowing: &mut Borrowing) {
        let lots = std::mem::take(&mut borrowing.lots);
        let (live, lapsed): (Vec<Lot>, Vec<Lot>) =
            lots.into_iter().partition(|lot| now < lot.deadline);
        borrowing.lots = live;
        self.returns.queue(&borrowing.account, lapsed);
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
        let begun = borrowing.begun;
        state.banks.plan(now, begun, limits, &reachable, missing)
    }

    /// Refuses a reservation and returns what it had collected.
    fn refuse(&mut self, now: MonoMs, borrowing: Borrowing) -> Shortage {
        let mut returned: BTreeMap<DataCentre, Tokens> = BTreeMap::new();
        for lot in &borrowing.lots {
            *returned.entry(lot.source.clone()).or_default() += lot.tokens;
        }
        let state = self.accounts.get(&borrowing.account);
        let limits = state.and_then(|state| Some((state, state.limits.as_ref()?)));
        let covered_after_ms = limits.and_then(|(state, limits)| {
            let reachable = borrowing.reachable(limits);
            let tokens = borrowing.tokens;
            state
                .banks
                .covered_after_ms(now, &reachable, &returned, tokens)
        });
        self.returns.queue(&borrowing.account, borrowing.lots);
        let least_ms = if returned.is_empty() { 1 } else { RETURN_MS };
        let retry_after_ms = covered_after_ms.map_or(UNREACHABLE_RETRY_MS, |ms| ms.max(least_ms));
        Shortage::Later { retry_after_ms }
    }

    fn ahead(&mut self, now: MonoMs, to: &DataCentre, account: &AccountName) -> Tokens {
        let own = *to == self.data_centre;
        let state = self.accounts.get_mut(account).filter(|_| own);
        state.map_or(0, |state| {
            let lifetime_ms = state.limits.as_ref().map_or(0, LimitVersion::lifetime_ms);
            state.allowance.wanted_ahead(now, lifetime_ms)
        })
    }

    fn errand(
        &self,
        now: MonoMs,
        to: DataCentre,
        account: &AccountName,
        need_tokens: Tokens,
        ahead_tokens: Tokens,
    ) -> Errand {
        let ask = Ask {
            account: account.clone(),
            need_tokens,
            ahead_tokens,
        };
        Errand {
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

    /// Notes the state of the coordinator's bucket and keeps what the errand brought beyond need.
    fn deposit(&mut self, now: MonoMs, errand: &Errand, granted: &Granted, rest: Lot) {
        let Some(ask) = errand.request.asks.first() else {
            return;
        };
        let account = ask.account.clone();
        if let Some(state) = self.accounts.get_mut(&account) {
            state.banks.note(now, errand.to.clone(), granted);
        }
        self.put_back(now, &account, vec![rest]);
    }

    fn put_back(&mut self, now: MonoMs, account: &AccountName, lots: Vec<Lot>) {
        let state = self.accounts.get_mut(account);
        let Some(state) = state else {
            self.returns.queue(account, lots);
            return;
        };
        let keeps = |lot: &Lot| now < lot.keep_until;
        let (kept, unneeded): (Vec<Lot>, Vec<Lot>) = lots.into_iter().partition(keeps);
        self.returns.queue(account, unneeded);
        for lot in kept {
            state.allowance.add(lot);
        }
    }
}

impl Borrowing {
    fn missing(&self) -> Tokens {
        let held: Tokens = self.lots.iter().map(|lot| lot.tokens).sum();
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

/// The lot that a grant becomes; its lifetime counts from before the request was sent.
fn lot(errand: &Errand, granted: &Granted) -> Lot {
    Lot {
        source: errand.to.clone(),
        grant: granted.grant,
        tokens: granted.tokens,
        deadline: errand.sent.plus(granted.lifetime_ms),
        keep_until: errand.sent.plus(granted.lifetime_ms / 2),
    }
}
