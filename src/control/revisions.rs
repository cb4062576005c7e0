//! Revisions: the history of changes, the outcomes of change ids and diffs between revisions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snafu::Snafu;

use crate::control::AccountRecord;
use crate::control::ChangeId;
use crate::control::Outcome;
use crate::control::Parameters;
use crate::control::RosterVm;
use crate::control::Route;
use crate::types::AccountName;
use crate::types::UnixMs;

/// Number of revisions whose changes are kept: about nine days at 440 changes a day.
pub const MAX_HISTORY: usize = 4_096;
/// Number of change ids whose outcomes are kept: about five weeks at 440 changes a day. A later
/// resend has an old base revision and gets a conflict, so it is not applied twice either.
pub const MAX_CHANGE_IDS: usize = 16_384;

/// Value of a changed object at a revision. Hashes of keys are omitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Object {
    /// A template.
    Template(Parameters),
    /// An account.
    Account(AccountRecord),
    /// A key.
    Key {
        /// Account of the key; `None` if the key was withdrawn without a grant.
        account: Option<AccountName>,
        /// Whether the key is withdrawn.
        withdrawn: bool,
    },
    /// A route.
    Route(Route),
    /// A VM of the roster.
    Vm(RosterVm),
}

impl Object {
    fn to_json(&self) -> Value {
        let value = match self {
            Self::Template(parameters) => serde_json::to_value(parameters),
            Self::Account(record) => serde_json::to_value(record),
            Self::Key { account, withdrawn } => {
                Ok(serde_json::json!({"account": account, "withdrawn": withdrawn}))
            }
            Self::Route(route) => serde_json::to_value(route),
            Self::Vm(vm) => serde_json::to_value(vm),
        };
        value.unwrap_or(Value::Null)
    }
}

/// A change that created a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The revision that the change created.
    pub revision: u64,
    /// Id of the change. The ids of changes that VMs make automatically start with `auto:`.
    pub change_id: ChangeId,
    /// Time at which the change was proposed.
    pub at: UnixMs,
    /// Name of the operator, or of the VM for an automatic change.
    pub operator: Arc<str>,
    /// Kind and name of the object, such as `account/acme`.
    pub object: String,
    /// The object before the change, if it existed.
    pub before: Option<Object>,
    /// The object after the change, if it exists.
    pub after: Option<Object>,
}

/// One field that differs between two revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DiffLine {
    /// Kind and name of the object.
    pub object: String,
    /// Path of the field within the object, joined by dots.
    pub field: String,
    /// Value at the earlier revision.
    pub before: Option<String>,
    /// Value at the later revision.
    pub after: Option<String>,
}

/// Error for two revisions that cannot be compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("revisions {from} to {to}; allowed: {oldest} to {newest}, the earlier one first"))]
pub struct DiffError {
    /// Requested earlier revision.
    pub from: u64,
    /// Requested later revision.
    pub to: u64,
    /// Oldest revision that can be compared.
    pub oldest: u64,
    /// Newest revision.
    pub newest: u64,
}

/// Change history and recorded outcomes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Revisions {
    current: u64,
    history: VecDeque<HistoryEntry>,
    outcomes: BTreeMap<ChangeId, Outcome>,
    /// Change ids with a recorded outcome, oldest first.
    #[serde(rename = "order")]
    outcome_ids: VecDeque<ChangeId>,
}

impl Revisions {
    /// Number of the last revision; 0 before the first change.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// The change that created `revision`, if it is kept.
    pub fn entry(&self, revision: u64) -> Option<&HistoryEntry> {
        let first = self.history.front()?.revision;
        let offset = usize::try_from(revision.checked_sub(first)?).ok()?;
        self.history.get(offset)
    }

    /// Kept changes after `revision`, earliest first.
    pub fn after(&self, revision: u64) -> impl Iterator<Item = &HistoryEntry> {
        self.history
            .iter()
            .skip_while(move |entry| entry.revision <= revision)
    }

    /// The recorded outcome of `change_id`, if it is kept.
    pub fn outcome(&self, change_id: &str) -> Option<&Outcome> {
        self.outcomes.get(change_id)
    }

    /// Fields that differ between the revisions `from` and `to`.
    ///
    /// # Errors
    ///
    /// Fails if `from` is later than `to` or if one of them is not kept.
    pub fn diff(&self, from: u64, to: u64) -> Result<Vec<DiffLine>, DiffError> {
        let first = self
            .history
            .front()
            .map_or(self.current + 1, |e| e.revision);
        let oldest = first - 1;
        if from < oldest || to > self.current || from > to {
            return Err(DiffError {
                from,
                to,
                oldest,
                newest: self.current,
            });
        }
        let mut objects = BTreeMap::new();
        for entry in self.after(from).take_while(|entry| entry.revision <= to) {
            let pair = objects
                .entry(&entry.object)
                .or_insert((&entry.before, &entry.after));
            pair.1 = &entry.after;
        }
        Ok(objects
            .into_iter()
            .flat_map(|(name, (before, after))| diff_object(name, before, after))
            .collect())
    }

    pub(super) fn record(&mut self, mut entry: HistoryEntry) -> u64 {
        self.current += 1;
        entry.revision = self.current;
        self.history.push_back(entry);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        self.current
    }

    pub(super) fn record_outcome(&mut self, change_id: &ChangeId, outcome: &Outcome) {
        self.outcomes.insert(change_id.clone(), outcome.clone());
        self.outcome_ids.push_back(change_id.clone());
        if self.outcome_ids.len() > MAX_CHANGE_IDS
            && let Some(oldest) = self.outcome_ids.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}

fn diff_object(name: &str, before: &Option<Object>, after: &Option<Object>) -> Vec<DiffLine> {
    let old = flatten(before);
    let new = flatten(after);
    let mut fields: Vec<&String> = old.keys().chain(new.keys()).collect();
    fields.sort();
    fields.dedup();
    fields
        .into_iter()
        .filter(|field| old.get(*field) != new.get(*field))
        .map(|field| DiffLine {
            object: name.to_owned(),
            field: field.clone(),
            before: old.get(field).cloned(),
            after: new.get(field).cloned(),
        })
        .collect()
}

fn flatten(object: &Option<Object>) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    if let Some(object) = object {
        flatten_value("", &object.to_json(), &mut fields);
    }
    fields
}

fn flatten_value(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Null => {}
        Value::Object(members) => {
            for (name, member) in members {
                let dot = if path.is_empty() { "" } else { "." };
                flatten_value(&format!("{path}{dot}{name}"), member, fields);
            }
        }
        Value::String(text) => {
            fields.insert(path.to_owned(), text.clone());
        }
        other => {
            fields.insert(path.to_owned(), other.to_string());
        }
    }
}
