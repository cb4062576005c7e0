//! Fair queue implementation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::scheduling::fair_queue::DispatchDecision;
use crate::scheduling::fair_queue::FairQueueConfig;
use crate::scheduling::fair_queue::ItemId;
use crate::scheduling::fair_queue::QueueFull;
use crate::scheduling::fair_queue::QueueItem;
use crate::scheduling::fair_queue::Rejected;
use crate::scheduling::fair_queue::account::Account;
use crate::scheduling::fair_queue::account::ClassQueue;
use crate::scheduling::fair_queue::account::FIRST_TIER;
use crate::scheduling::fair_queue::account::Key;
use crate::scheduling::fair_queue::account::SECOND_TIER;
use crate::scheduling::residency::WaitingAdapter;
use crate::types::AccountName;
use crate::types::AdapterRef;
use crate::types::MonoMs;
use crate::types::Patience;
use crate::types::Tokens;

/// Number of accounts above which those without queued work are dropped once the virtual time has
/// passed their start tags.
const MAX_IDLE_ACCOUNTS: usize = 1_024;

#[derive(Clone, Debug)]
struct QueuedItem<T> {
    item: QueueItem<T>,
    start_by: MonoMs,
    queued: MonoMs,
}

/// Bounded queue with token-based fairness among accounts.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    config: FairQueueConfig,
    accounts: BTreeMap<AccountName, Account>,
    items: HashMap<u64, QueuedItem<T>>,
    by_start: BTreeSet<Key>,
    patient_len: usize,
    next_id: u64,
    /// Start tag of the last item served of each tier, in tokens per unit of weight. The tiers have
    /// separate tags, so that patient work served from spare capacity does not delay an account's
    /// urgent work later.
    virtual_time: [f64; 2],
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(config: FairQueueConfig) -> Self {
        Self {
            config,
            accounts: BTreeMap::new(),
            items: HashMap::new(),
            by_start: BTreeSet::new(),
            patient_len: 0,
            next_id: 0,
            virtual_time: [0.0; 2],
        }
    }

    /// Number of items in the queue.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Queues an item.
    ///
    /// # Errors
    ///
    /// Returns the item and the reason if the queue is full or the account has reached its limit.
    pub fn push(&mut self, item: QueueItem<T>, now: MonoMs) -> Result<ItemId, Rejected<T>> {
        if let Err(reason) = self.check_room(&item.account, item.class) {
            return Err(Rejected { item, reason });
        }
        self.drop_idle_accounts();
        let id = self.next_id;
        self.next_id += 1;
        let start_by = self.latest_start(&item);
        let account = self
            .accounts
            .entry(item.account.clone())
            .or_insert_with(|| Account::new(1, self.virtual_time));
        account.weight = item.weight.max(1);
        let tier = tier_of(item.class);
        if class_queue_mut(account, item.class).len() == 0 {
            account.start[tier] = account.start[tier].max(self.virtual_time[tier]);
        }
        class_queue_mut(account, item.class).insert((start_by, id), &item.adapter);
        self.patient_len += usize::from(item.class == Patience::Patient);
        self.by_start.insert((start_by, id));
        let entry = QueuedItem {
            item,
            start_by,
            queued: now,
        };
        self.items.insert(id, entry);
        Ok(ItemId(id))
    }

    /// Checks the limit of one account in one class: at most as many items as there are free
    /// entries, so that a heavy account leaves half of the queue to others, and never less than the
    /// configured minimum.
    fn check_room(&self, account: &AccountName, class: Patience) -> Result<(), QueueFull> {
        let (held, limit) = match class {
            Patience::Urgent => (self.items.len(), self.config.max_items),
            Patience::Patient => {
                let limit = self.config.max_items * self.config.patient_percent / 100;
                (self.patient_len, limit.min(self.config.max_items))
            }
        };
        if held >= limit || self.items.len() >= self.config.max_items {
            return Err(QueueFull::Total {
                queued: held,
                limit,
            });
        }
        let queued = self.accounts.get(account).map_or(0, |account| match class {
            Patience::Urgent => account.urgent.len(),
            Patience::Patient => account.patient.len(),
        });
        let account_limit = (limit - held).max(self.config.account_min_items);
        if queued >= account_limit {
            return Err(QueueFull::Account {
                account: account.clone(),
                class,
                queued,
                limit: account_limit,
            });
        }
        Ok(())
    }

    fn latest_start(&self, item: &QueueItem<T>) -> MonoMs {
        let tokens_ms = item.tokens.saturating_mul(self.config.service_us_per_token) / 1_000;
        let service_ms = self.config.service_base_ms.saturating_add(tokens_ms);
        MonoMs(item.deadline.0.saturating_sub(service_ms))
    }

    /// Removes and returns the first item in fair order for which `dispatch` decides
    /// [`DispatchDecision::Take`].
    pub fn pop(
        &mut self,
        now: MonoMs,
        mut dispatch: impl FnMut(&QueueItem<T>) -> DispatchDecision,
    ) -> Option<QueueItem<T>> {
        let mut blocked = HashSet::new();
        let (id, tier) = self.select(now, &mut blocked, &mut dispatch)?;
        let entry = self.remove_item(id)?;
        self.charge(&entry.item, tier);
        Some(entry.item)
    }

    /// Finds the item to serve and its tier.
    fn select(
        &self,
        now: MonoMs,
        blocked: &mut HashSet<(AdapterRef, Patience)>,
        dispatch: &mut impl FnMut(&QueueItem<T>) -> DispatchDecision,
    ) -> Option<(u64, usize)> {
        let promote_until = now.plus(self.config.promote_slack_ms);
        for account in self.accounts_by_start(FIRST_TIER) {
            for (key, adapter) in account.first_tier(promote_until) {
                let queue = if self.is_urgent(key) {
                    &account.urgent
                } else {
                    &account.patient
                };
                match self.offer(queue, adapter, blocked, dispatch) {
                    Offer::Taken(id) => return Some((id, FIRST_TIER)),
                    Offer::Skipped => {}
                    Offer::Stopped => return None,
                }
            }
        }
        for account in self.accounts_by_start(SECOND_TIER) {
            for (_, adapter) in account.second_tier(self.config.group_items) {
                match self.offer(&account.patient, adapter, blocked, dispatch) {
                    Offer::Taken(id) => return Some((id, SECOND_TIER)),
                    Offer::Skipped => {}
                    Offer::Stopped => return None,
                }
            }
        }
        None
    }

    /// Accounts with queued work in the order in which a tier serves them.
    fn accounts_by_start(&self, tier: usize) -> Vec<&Account> {
        let mut order: Vec<&Account> = self.accounts.values().filter(|a| !a.is_empty()).collect();
        order.sort_by(|a, b| a.start[tier].total_cmp(&b.start[tier]));
        order
    }

    fn is_urgent(&self, key: Key) -> bool {
        let entry = self.items.get(&key.1);
        entry.is_some_and(|entry| entry.item.class == Patience::Urgent)
    }

    /// Offers the items of one adapter to the dispatcher until one is taken.
    fn offer(
        &self,
        queue: &ClassQueue,
        adapter: &AdapterRef,
        blocked: &mut HashSet<(AdapterRef, Patience)>,
        dispatch: &mut impl FnMut(&QueueItem<T>) -> DispatchDecision,
    ) -> Offer {
        for (_, id) in queue.of_adapter(adapter) {
            let item = &self.items[&id].item;
            let kind = (adapter.clone(), item.class);
            if blocked.contains(&kind) {
                return Offer::Skipped;
            }
            match dispatch(item) {
                DispatchDecision::Take => return Offer::Taken(id),
                DispatchDecision::SkipItem => {}
                DispatchDecision::SkipAdapter => {
                    blocked.insert(kind);
                    return Offer::Skipped;
                }
                DispatchDecision::Stop => return Offer::Stopped,
            }
        }
        Offer::Skipped
    }

    fn charge(&mut self, item: &QueueItem<T>, tier: usize) {
        let Some(account) = self.accounts.get_mut(&item.account) else {
            return;
        };
        let weight = f64::from(account.weight);
        let oldest = self.virtual_time[tier] - self.config.catch_up_tokens as f64 / weight;
        let start = account.start[tier].max(oldest);
        self.virtual_time[tier] = self.virtual_time[tier].max(start);
        account.start[tier] = start + item.tokens as f64 / weight;
        if tier == SECOND_TIER {
            account.extend_group(&item.adapter);
        }
    }

    /// Credits the unused part of a reservation, so that fairness follows the tokens that were
    /// actually used. `class` is the item's class.
    pub fn settle(
        &mut self,
        account: &AccountName,
        class: Patience,
        reserved: Tokens,
        used: Tokens,
    ) {
        if let Some(account) = self.accounts.get_mut(account) {
            let unused = reserved.saturating_sub(used);
            account.start[tier_of(class)] -= unused as f64 / f64::from(account.weight);
        }
    }

    /// Removes and returns the items that can no longer meet their deadline.
    pub fn expired(&mut self, now: MonoMs) -> Vec<QueueItem<T>> {
        let mut expired = Vec::new();
        while let Some((start_by, id)) = self.by_start.first().copied() {
            if start_by >= now {
                break;
            }
            expired.extend(self.remove_item(id).map(|entry| entry.item));
        }
        expired
    }

    /// Time from which [`FairQueue::expired`] returns an item if the queue does not change.
    pub fn next_expiry(&self) -> Option<MonoMs> {
        self.by_start.first().map(|(start_by, _)| start_by.plus(1))
    }

    /// Removes an item, for example because its caller has disconnected.
    pub fn cancel(&mut self, id: ItemId) -> Option<QueueItem<T>> {
        self.remove_item(id.0).map(|entry| entry.item)
    }

    /// Adapters of all queued items, with a summary of the items that wait for each, in the order
    /// in which their first items would be served.
    pub fn waiting(&self, now: MonoMs) -> Vec<WaitingAdapter> {
        let promote_until = now.plus(self.config.promote_slack_ms);
        let mut waiting: HashMap<&AdapterRef, (bool, f64, WaitingAdapter)> = HashMap::new();
        let mut starts: HashMap<&AccountName, [f64; 2]> = HashMap::new();
        for (start_by, id) in &self.by_start {
            let entry = &self.items[id];
            let item = &entry.item;
            let account = &self.accounts[&item.account];
            let patient = item.class == Patience::Patient && *start_by > promote_until;
            let starts = starts.entry(&item.account).or_insert(account.start);
            let start = &mut starts[if patient { SECOND_TIER } else { FIRST_TIER }];
            let (first_patient, first_start, summary) = waiting
                .entry(&item.adapter)
                .or_insert_with(|| (patient, *start, waiting_for(&item.adapter)));
            let is_first = (patient, *start) < (*first_patient, *first_start);
            if is_first {
                (*first_patient, *first_start) = (patient, *start);
            }
            summary.urgent += u32::from(!patient);
            summary.patient += u32::from(patient);
            summary.tokens += item.tokens;
            summary.slack_ms = summary.slack_ms.min(start_by.since(now));
            summary.waited_ms = summary.waited_ms.max(now.since(entry.queued));
            *start += item.tokens as f64 / f64::from(account.weight);
        }
        let mut waiting: Vec<_> = waiting.into_values().collect();
        waiting.sort_by(|a, b| {
            let by_start = a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
            by_start.then_with(|| a.2.adapter.cmp(&b.2.adapter))
        });
        waiting.into_iter().map(|(_, _, summary)| summary).collect()
    }

    fn remove_item(&mut self, id: u64) -> Option<QueuedItem<T>> {
        let entry = self.items.remove(&id)?;
        let key = (entry.start_by, id);
        self.by_start.remove(&key);
        self.patient_len -= usize::from(entry.item.class == Patience::Patient);
        if let Some(account) = self.accounts.get_mut(&entry.item.account) {
            class_queue_mut(account, entry.item.class).remove(key, &entry.item.adapter);
        }
        Some(entry)
    }

    fn drop_idle_accounts(&mut self) {
        if self.accounts.len() <= MAX_IDLE_ACCOUNTS {
            return;
        }
        let virtual_time = self.virtual_time;
        self.accounts.retain(|_, account| {
            let ahead = account
                .start
                .iter()
                .zip(virtual_time)
                .any(|(start, at)| *start > at);
            !account.is_empty() || ahead
        });
    }
}

enum Offer {
    Taken(u64),
    Skipped,
    Stopped,
}

fn tier_of(class: Patience) -> usize {
    match class {
        Patience::Urgent => FIRST_TIER,
        Patience::Patient => SECOND_TIER,
    }
}

fn class_queue_mut(account: &mut Account, class: Patience) -> &mut ClassQueue {
    match class {
        Patience::Urgent => &mut account.urgent,
        Patience::Patient => &mut account.patient,
    }
}

fn waiting_for(adapter: &AdapterRef) -> WaitingAdapter {
    WaitingAdapter {
        adapter: adapter.clone(),
        urgent: 0,
        patient: 0,
        tokens: 0,
        slack_ms: u64::MAX,
        waited_ms: 0,
        preferred: None,
    }
}
