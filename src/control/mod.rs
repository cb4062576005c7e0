//! The replicated state machine: templates, client accounts, keys, routes, roster, revisions, order
//! records and job records.
//!
//! [`State::apply`] is deterministic: it reads no clock and generates no random numbers. Commands
//! carry the time stamps and random ids that their proposers chose.

mod actions;
mod apply;
mod codec;
mod command;
mod fleet;
mod job_records;
mod jobs;
mod keys;
mod limit_history;
mod names;
mod orders;
mod owners;
mod parameters;
mod quota;
mod revisions;
mod roster;
mod routes;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

pub use apply::check_change_id;
pub use codec::DecodeError;
pub use codec::FORMAT_VERSION;
pub use codec::Result;
pub use command::Action;
pub use command::Change;
pub use command::ChangeId;
pub use command::Command;
pub use command::FieldError;
pub use command::Outcome;
pub use fleet::Controller;
pub use fleet::Document;
pub use fleet::Fleet;
pub use fleet::FleetCommand;
pub use fleet::FleetReply;
pub use fleet::OrderHolder;
pub use job_records::Job;
pub use job_records::JobAccept;
pub use job_records::JobClaim;
pub use job_records::JobCommand;
pub use job_records::JobId;
pub use job_records::JobPhase;
pub use job_records::JobReply;
pub use job_records::JobStatus;
pub use jobs::Jobs;
pub use jobs::MAX_JOB_BYTES;
pub use jobs::MAX_JOB_LIFETIME_MS;
pub use jobs::MAX_JOB_REQUEST_BYTES;
pub use jobs::MAX_JOB_RESULT_BYTES;
pub use jobs::MAX_JOBS;
pub use keys::Grant;
pub use keys::KeyHash;
pub use keys::KeyRing;
pub use keys::Sha256Hash;
pub use keys::key_id;
pub use names::MAX_NAME_LEN;
pub use orders::MAX_ORDER_BYTES;
pub use orders::MAX_ORDER_LIFETIME_MS;
pub use orders::MAX_ORDER_RESULT_BYTES;
pub use orders::MAX_ORDERS;
pub use orders::MAX_ORDERS_AND_TOMBSTONES;
pub use orders::MAX_RELEASES;
pub use orders::OrderCommand;
pub use orders::OrderIntent;
pub use orders::OrderKey;
pub use orders::OrderPhase;
pub use orders::OrderRecord;
pub use orders::OrderReply;
pub use orders::Orders;
pub use orders::TOMBSTONE_MS;
pub use owners::LOST_OWNER_KEPT_MS;
pub use owners::LostOwners;
pub use owners::Owner;
pub use owners::RecordedResult;
pub use parameters::Account;
pub use parameters::AccountRecord;
pub use parameters::AdapterPattern;
pub use parameters::CutOffPolicy;
pub use parameters::MAX_ADAPTER_PATTERNS;
pub use parameters::MAX_KEYS_PER_ACCOUNT;
pub use parameters::MAX_RATE_TOKENS;
pub use parameters::MAX_WEIGHT;
pub use parameters::Overrides;
pub use parameters::Parameters;
pub use parameters::WHOLE_PPM;
pub use revisions::DiffError;
pub use revisions::DiffLine;
pub use revisions::HistoryEntry;
pub use revisions::MAX_CHANGE_IDS;
pub use revisions::MAX_HISTORY;
pub use revisions::Object;
pub use revisions::Revisions;
pub use roster::MAX_VMS;
pub use roster::PendingRoster;
pub use roster::Roster;
pub use roster::RosterVm;
pub use routes::Access;
pub use routes::MAX_ROUTES;
pub use routes::METHODS;
pub use routes::Route;
pub use routes::Routes;

use crate::types::AccountName;
use crate::types::DataCentre;
use crate::types::TemplateName;
use crate::types::UnixMs;

/// Interval at which the log's leader proposes [`Command::Tick`].
pub const TICK_INTERVAL_MS: u64 = 10_000;
/// Largest step by which one tick moves the state's time forward. It keeps a leader whose clock
/// jumps ahead from expiring tombstones at once; a tick with an earlier time stamp moves the time
/// back.
pub const MAX_TICK_STEP_MS: u64 = 60_000;
/// Largest step by which a tick moves the state's time back. Ticks with an earlier time stamp are
/// ignored, because at [`MAX_TICK_STEP_MS`] per tick it would take days to recover from one wrong
/// clock.
pub const MAX_TICK_BACK_MS: u64 = 24 * 3_600_000;
/// 2026-01-01. Ticks with an earlier time stamp come from an unset clock and are ignored.
pub const EARLIEST_TICK: UnixMs = UnixMs(1_767_225_600_000);
/// Maximum number of templates.
pub const MAX_TEMPLATES: usize = 1_000;
/// Maximum number of accounts.
pub const MAX_ACCOUNTS: usize = 10_000;
/// Maximum number of grants, live and withdrawn.
pub const MAX_GRANTS: usize = 100_000;

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct State {
    applied_index: u64,
    now: UnixMs,
    templates: BTreeMap<TemplateName, Arc<Parameters>>,
    accounts: BTreeMap<AccountName, Account>,
    keys: KeyRing,
    routes: Routes,
    roster: Roster,
    revisions: Revisions,
    limits: limit_history::LimitHistories,
    lost: LostOwners,
    orders: Orders,
    jobs: Jobs,
    fleet: Fleet,
}

/// Stored form of a snapshot: the state without its indexes.
#[derive(Deserialize, Serialize)]
struct Snapshot {
    applied_index: u64,
    now: UnixMs,
    templates: BTreeMap<TemplateName, Arc<Parameters>>,
    accounts: BTreeMap<AccountName, AccountRecord>,
    keys: keys::KeyRingParts,
    routes: BTreeMap<String, Route>,
    roster: Roster,
    revisions: Revisions,
    limits: limit_history::LimitHistories,
    lost: LostOwners,
    orders: orders::OrderParts,
    jobs: BTreeMap<JobId, Job>,
    fleet: Fleet,
}

impl State {
    /// The state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Index of the last applied log entry; 0 before the first.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Number of the last revision; 0 before the first change.
    pub fn revision(&self) -> u64 {
        self.revisions.current()
    }

    /// Time of the state, set by ticks and used for expiry; 0 before the first tick.
    pub fn now(&self) -> UnixMs {
        self.now
    }

    /// The account of the live key with the given hash.
    pub fn authenticate(&self, key_hash: &KeyHash) -> Option<&Account> {
        self.accounts.get(self.keys.authenticate(key_hash)?)
    }

    /// The account named `name`, with its effective parameters.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.get(name)
    }

    /// All accounts, ordered by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.values()
    }

    /// The parameters of the template named `name`.
    pub fn template(&self, name: &str) -> Option<&Arc<Parameters>> {
        self.templates.get(name)
    }

    /// All templates, ordered by name.
    pub fn templates(&self) -> impl Iterator<Item = (&TemplateName, &Arc<Parameters>)> {
        self.templates.iter()
    }

    /// The route for a call to a plain service. `path` starts with `/` and has no query.
    pub fn route(&self, service: &str, method: &str, path: &str) -> Option<&Route> {
        self.routes.find(service, method, path)
    }

    /// All routes.
    pub fn routes(&self) -> &Routes {
        &self.routes
    }

    /// All grants and withdrawals.
    pub fn keys(&self) -> &KeyRing {
        &self.keys
    }

    /// VMs and data centres. Most queries iterate over all VMs, so the request path should not run
    /// them for each request.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Share of the rate and burst of `account` that `data_centre` issues, in parts per million; 0
    /// for an unknown account or data centre. The shares of all data centres sum to at most
    /// [`WHOLE_PPM`]. Iterates over the roster, so it should not be called for each request.
    pub fn share_ppm(&self, account: &str, data_centre: &str) -> u32 {
        let Some(account) = self.account(account) else {
            return 0;
        };
        let data_centres = self.roster.data_centres();
        let Some(data_centre) = data_centres.iter().find(|d| d.as_str() == data_centre) else {
            return 0;
        };
        let explicit = &account.record.shares_ppm;
        if explicit.is_empty() {
            return WHOLE_PPM / u32::try_from(data_centres.len()).unwrap_or(u32::MAX);
        }
        explicit
            .get::<DataCentre>(data_centre)
            .copied()
            .unwrap_or(0)
    }

    /// Data centres that have a VM in the roster.
    pub fn data_centres(&self) -> BTreeSet<&DataCentre> {
        self.roster.data_centres()
    }

    /// Change history, recorded outcomes and diffs.
    pub fn revisions(&self) -> &Revisions {
        &self.revisions
    }

    /// Processes that are known to have ended.
    pub fn lost_owners(&self) -> &LostOwners {
        &self.lost
    }

    /// Order records.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// The configuration document and the other state that the controllers share.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Job records.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// Encodes a snapshot. Equal states have equal encodings.
    pub fn to_bytes(&self) -> Vec<u8> {
        let accounts = self.accounts.iter();
        codec::encode(&Snapshot {
            applied_index: self.applied_index,
            now: self.now,
            templates: self.templates.clone(),
            accounts: accounts
                .map(|(n, a)| (n.clone(), a.record.clone()))
                .collect(),
            keys: self.keys.parts(),
            routes: self.routes.parts().clone(),
            roster: self.roster.clone(),
            revisions: self.revisions.clone(),
            limits: self.limits.clone(),
            lost: self.lost.clone(),
            orders: self.orders.parts(),
            jobs: self.jobs.parts().clone(),
            fleet: self.fleet.clone(),
        })
    }

    /// Restores a state from a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are empty, of another format version or damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let snapshot: Snapshot = codec::decode(&codec::current_snapshot(bytes))?;
        let mut state = Self {
            applied_index: snapshot.applied_index,
            now: snapshot.now,
            templates: snapshot.templates,
            accounts: BTreeMap::new(),
            keys: KeyRing::from_parts(snapshot.keys),
            routes: Routes::from_parts(snapshot.routes),
            roster: snapshot.roster,
            revisions: snapshot.revisions,
            limits: snapshot.limits,
            lost: snapshot.lost,
            orders: Orders::from_parts(snapshot.orders),
            jobs: Jobs::from_parts(snapshot.jobs),
            fleet: snapshot.fleet,
        };
        for (name, record) in snapshot.accounts {
            state.put_account(name, record);
        }
        Ok(state)
    }
}
