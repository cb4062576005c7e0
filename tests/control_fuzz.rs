//! Property tests: random changes by concurrent operators, checked against a simple model of the
//! control state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use medlarlift::control::Action;
use medlarlift::control::AdapterPattern;
use medlarlift::control::Change;
use medlarlift::control::Command;
use medlarlift::control::CutOffPolicy;
use medlarlift::control::Outcome;
use medlarlift::control::Overrides;
use medlarlift::control::Parameters;
use medlarlift::control::Sha256Hash;
use medlarlift::control::State;
use medlarlift::types::Patience;
use medlarlift::types::UnixMs;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const TEMPLATES: u8 = 2;
const ACCOUNTS: u8 = 3;
const KEYS: u8 = 6;
const MAX_KEYS: u32 = 2;

/// One command of the log. Change ids come from a small range, so resends are frequent.
#[derive(Clone, Debug)]
enum Step {
    Change {
        id: u8,
        behind: u64,
        kind: ChangeKind,
    },
    WithdrawGossiped(u8),
    RestoreReplica,
}

#[derive(Clone, Debug)]
enum ChangeKind {
    SetTemplate {
        template: u8,
        rate: u64,
    },
    Create {
        account: u8,
        template: u8,
    },
    SetRate {
        account: u8,
        template: u8,
        rate: u64,
    },
    Grant {
        account: u8,
        key: u8,
    },
    Withdraw {
        key: u8,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Expected {
    Applied(u64),
    Conflict(u64, Option<String>),
    Invalid,
}

/// Reference model of the control state.
#[derive(Clone, Debug, Default)]
struct Model {
    /// Change id of each revision; revision 1 is at index 0.
    change_ids: Vec<String>,
    outcomes: BTreeMap<u8, Expected>,
    rates: BTreeMap<u8, u64>,
    accounts: BTreeMap<u8, (u8, Option<u64>)>,
    grants: BTreeMap<u8, u8>,
    withdrawn: BTreeSet<u8>,
    last: Option<Expected>,
}

impl Model {
    fn revision(&self) -> u64 {
        self.change_ids.len() as u64
    }

    fn propose(&mut self, id: u8, behind: u64, kind: &ChangeKind) -> Expected {
        if let Some(first) = self.outcomes.get(&id) {
            return first.clone();
        }
        let base = self.revision().saturating_sub(behind);
        let is_withdrawal = matches!(kind, ChangeKind::Withdraw { .. });
        let expected = if base != self.revision() && !is_withdrawal {
            let winner = self.change_ids.get(base as usize).cloned();
            Expected::Conflict(self.revision(), winner)
        } else {
            self.apply_change(&format!("c{id}"), kind)
        };
        self.outcomes.insert(id, expected.clone());
        expected
    }

    fn apply_change(&mut self, id: &str, kind: &ChangeKind) -> Expected {
        let is_valid = match kind {
            ChangeKind::SetTemplate { template, rate } => {
                self.rates.insert(*template, *rate);
                true
            }
            ChangeKind::Create { account, template } => {
                let is_free = !self.accounts.contains_key(account);
                is_free && self.put(*account, *template, None)
            }
            ChangeKind::SetRate {
                account,
                template,
                rate,
            } => self.accounts.contains_key(account) && self.put(*account, *template, Some(*rate)),
            ChangeKind::Grant { account, key } => self.grant(*account, *key),
            ChangeKind::Withdraw { key } => return self.withdraw(id, *key),
        };
        match is_valid {
            true => self.next(id),
            false => Expected::Invalid,
        }
    }

    fn put(&mut self, account: u8, template: u8, rate: Option<u64>) -> bool {
        let is_known = self.rates.contains_key(&template);
        if is_known {
            self.accounts.insert(account, (template, rate));
        }
        is_known
    }

    fn grant(&mut self, account: u8, key: u8) -> bool {
        let is_used = self.grants.contains_key(&key) || self.withdrawn.contains(&key);
        let live = self
            .grants
            .iter()
            .filter(|(k, a)| **a == account && !self.withdrawn.contains(k));
        let is_full = live.count() >= MAX_KEYS as usize;
        if !self.accounts.contains_key(&account) || is_used || is_full {
            return false;
        }
        self.grants.insert(key, account);
        true
    }

    fn withdraw(&mut self, id: &str, key: u8) -> Expected {
        match self.withdrawn.insert(key) {
            true => self.next(id),
            false => Expected::Applied(self.revision()),
        }
    }

    fn next(&mut self, id: &str) -> Expected {
        self.change_ids.push(id.to_owned());
        Expected::Applied(self.revision())
    }

    fn owner_of(&self, key: u8) -> Option<String> {
        let account = self
            .grants
            .get(&key)
            .filter(|_| !self.withdrawn.contains(&key));
        account.map(|account| format!("a{account}"))
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let rate = 1..50u64;
        let kind = prop_oneof![
            2 => (0..TEMPLATES, rate.clone())
                .prop_map(|(template, rate)| ChangeKind::SetTemplate { template, rate }),
            3 => (0..ACCOUNTS, 0..TEMPLATES)
                .prop_map(|(account, template)| ChangeKind::Create { account, template }),
            1 => (0..ACCOUNTS, 0..TEMPLATES, rate)
                .prop_map(|(account, template, rate)| ChangeKind::SetRate { account, template, rate }),
            3 => (0..ACCOUNTS, 0..KEYS).prop_map(|(account, key)| ChangeKind::Grant { account, key }),
            1 => (0..KEYS).prop_map(|key| ChangeKind::Withdraw { key }),
        ];
        let behind = prop_oneof![4 => Just(0u64), 1 => 1..3u64];
        prop_oneof![
            12 => (0..60u8, behind, kind).prop_map(|(id, behind, kind)| Step::Change { id, behind, kind }),
            1 => (0..KEYS).prop_map(Step::WithdrawGossiped),
            1 => Just(Step::RestoreReplica),
        ]
        .boxed()
    }

    fn apply(mut model: Self, step: &Step) -> Self {
        model.last = match step {
            Step::Change { id, behind, kind } => Some(model.propose(*id, *behind, kind)),
            Step::WithdrawGossiped(key) => {
                let id = key_change_id(*key);
                Some(model.withdraw(&id, *key))
            }
            Step::RestoreReplica => None,
        };
        model
    }
}

/// The state and a replica that is restored from snapshots at random points.
#[derive(Default)]
struct Pair {
    state: State,
    replica: State,
    index: u64,
}

impl StateMachineTest for Pair {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(_: &Model) -> Self {
        Self::default()
    }

    fn apply(mut pair: Self, model: &Model, step: Step) -> Self {
        let command = match step {
            Step::RestoreReplica => {
                pair.replica = State::from_bytes(&pair.state.to_bytes()).expect("decodable");
                return pair;
            }
            Step::Change { id, behind, kind } => Command::Change(Change {
                change_id: format!("c{id}").into(),
                base_revision: pair.state.revision().saturating_sub(behind),
                at: UnixMs(1),
                operator: "op".into(),
                action: action(&kind),
            }),
            Step::WithdrawGossiped(key) => Command::WithdrawGossiped {
                key_hash: hash(key),
                at: UnixMs(1),
            },
        };
        pair.index += 1;
        let outcome = pair.state.apply(pair.index, &command);
        assert_eq!(pair.replica.apply(pair.index, &command), outcome);
        let found = match outcome {
            Outcome::Applied { revision, .. } => Expected::Applied(revision),
            Outcome::Conflict {
                current_revision,
                winner_change_id,
            } => Expected::Conflict(current_revision, winner_change_id.map(|id| id.to_string())),
            Outcome::Invalid(_) => Expected::Invalid,
            other => panic!("unexpected outcome {other:?}"),
        };
        assert_eq!(Some(found), model.last);
        pair
    }

    fn check_invariants(pair: &Self, model: &Model) {
        let state = &pair.state;
        assert_eq!(state.revision(), model.revision());
        assert_eq!(state.to_bytes(), pair.replica.to_bytes());
        for key in 0..KEYS {
            let account = state.authenticate(&hash(key)).map(|a| a.name.to_string());
            assert_eq!(account, model.owner_of(key));
            let in_replica = pair
                .replica
                .authenticate(&hash(key))
                .map(|a| a.name.to_string());
            assert_eq!(in_replica, account);
        }
        for (account, (template, rate)) in &model.accounts {
            let expected = rate.unwrap_or(model.rates[template]);
            for replica in [state, &pair.replica] {
                let found = replica
                    .account(&format!("a{account}"))
                    .expect("the account exists");
                assert_eq!(found.parameters.rate_tokens_per_s, expected);
            }
        }
    }
}

fn action(kind: &ChangeKind) -> Action {
    match kind {
        ChangeKind::SetTemplate { template, rate } => Action::SetTemplate {
            name: format!("t{template}").into(),
            parameters: Parameters {
                max_keys: MAX_KEYS,
                rate_tokens_per_s: *rate,
                burst_tokens: 10,
                weight: 1,
                adapter_sets: vec![AdapterPattern::new("base:*")],
                patience: BTreeSet::from([Patience::Urgent]),
                when_cut_off: CutOffPolicy::Serve,
            },
        },
        ChangeKind::Create { account, template } => Action::CreateAccount {
            name: format!("a{account}").into(),
            template: format!("t{template}").into(),
            overrides: Overrides::default(),
        },
        ChangeKind::SetRate {
            account,
            template,
            rate,
        } => Action::SetAccount {
            name: format!("a{account}").into(),
            template: format!("t{template}").into(),
            overrides: Overrides {
                rate_tokens_per_s: Some(*rate),
                ..Overrides::default()
            },
        },
        ChangeKind::Grant { account, key } => Action::GrantKey {
            account: format!("a{account}").into(),
            key_hash: hash(*key),
        },
        ChangeKind::Withdraw { key } => Action::WithdrawKey {
            key_hash: hash(*key),
        },
    }
}

fn hash(key: u8) -> Sha256Hash {
    Sha256Hash::of(&[key])
}

fn key_change_id(key: u8) -> String {
    format!("auto:withdraw-{}", medlarlift::control::key_id(&hash(key)))
}

prop_state_machine! {
    #![proptest_config(Config { cases: 200, ..Config::default() })]

    /// Guards against changes that are lost or applied twice when operators make and resend changes
    /// concurrently, against a withdrawn key that becomes valid again, and against a replica that
    /// differs after a restore.
    #[test]
    fn concurrent_operators(sequential 1..80 => Pair);
}
