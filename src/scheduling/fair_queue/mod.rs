//! Bounded queue with token-based fairness among client accounts.
//!
//! Accounts are served in the order of their virtual start tags (start-time fair queueing). Urgent
//! work and patient work with little slack form the first tier, other patient work the second.

mod account;
mod queue;

use snafu::Snafu;

use crate::types::AccountName;
use crate::types::AdapterRef;
use crate::types::MonoMs;
use crate::types::Patience;
use crate::types::Tokens;

pub use queue::FairQueue;

/// Fair queue configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairQueueConfig {
    /// Maximum number of items in the queue, over all accounts and classes.
    pub max_items: usize,
    /// Percentage of `max_items` that patient work may occupy.
    pub patient_percent: usize,
    /// Number of items of one class that an account may always queue while the queue is not full.
    pub account_min_items: usize,
    /// Slack below which patient work competes with urgent work, in milliseconds.
    pub promote_slack_ms: u64,
    /// Fixed part of an item's service time, in milliseconds.
    pub service_base_ms: u64,
    /// Service time per token, in microseconds.
    pub service_us_per_token: u64,
    /// Number of tokens by which an account may lag behind and catch up later, for example while
    /// its adapters are being loaded.
    pub catch_up_tokens: Tokens,
    /// Maximum number of patient items of one adapter that are served consecutively.
    pub group_items: usize,
}

impl Default for FairQueueConfig {
    fn default() -> Self {
        Self {
            max_items: 8_192,
            patient_percent: 75,
            account_min_items: 16,
            promote_slack_ms: 60_000,
            service_base_ms: 50,
            service_us_per_token: 0,
            catch_up_tokens: 20_000,
            group_items: 16,
        }
    }
}

/// Identifies a queued item.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ItemId(pub u64);

/// Work that waits for dispatch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueItem<T> {
    /// Client account that is charged.
    pub account: AccountName,
    /// Weight of the account, at least 1.
    pub weight: u32,
    /// Patience class.
    pub class: Patience,
    /// Tokens reserved: prompt plus maximum output.
    pub tokens: Tokens,
    /// Time by which the work must have ended.
    pub deadline: MonoMs,
    /// Adapter and version that the work requires.
    pub adapter: AdapterRef,
    /// Data attached by the caller.
    pub payload: T,
}

/// Decision of the dispatcher about a candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchDecision {
    /// The candidate is dispatched now.
    Take,
    /// The candidate waits; others with the same adapter may be dispatched.
    SkipItem,
    /// All work of this class for this adapter waits, for example for a load.
    SkipAdapter,
    /// Nothing can be dispatched now.
    Stop,
}

/// Why an item was not queued.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum QueueFull {
    /// The account has reached its limit of queued items.
    #[snafu(display(
        "account {account} has {queued} {} items queued, at most {limit} are allowed now",
        class.as_str()
    ))]
    Account {
        /// The account.
        account: AccountName,
        /// The class whose limit is reached.
        class: Patience,
        /// Number of items that the account has queued in the class.
        queued: usize,
        /// Number of items allowed at the current fill level of the queue.
        limit: usize,
    },
    /// The queue is full.
    #[snafu(display("the queue holds {queued} items, at most {limit} are allowed"))]
    Total {
        /// Number of items queued.
        queued: usize,
        /// Number of items allowed.
        limit: usize,
    },
}

/// An item that was not queued, returned to its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejected<T> {
    /// The item.
    pub item: QueueItem<T>,
    /// Why it was not queued.
    pub reason: QueueFull,
}
