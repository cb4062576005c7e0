//! Data-driven tests of the control state. The scripts are in `tests/data/control/`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use medlarlift::control::Access;
use medlarlift::control::Action;
use medlarlift::control::AdapterPattern;
use medlarlift::control::Change;
use medlarlift::control::Command;
use medlarlift::control::CutOffPolicy;
use medlarlift::control::DecodeError;
use medlarlift::control::FORMAT_VERSION;
use medlarlift::control::MAX_CHANGE_IDS;
use medlarlift::control::MAX_HISTORY;
use medlarlift::control::Outcome;
use medlarlift::control::Overrides;
use medlarlift::control::Parameters;
use medlarlift::control::Route;
use medlarlift::control::Sha256Hash;
use medlarlift::control::State;
use medlarlift::types::Patience;
use medlarlift::types::UnixMs;

/// One line of a script: a command, a name and `key=value` pairs.
struct Line<'a> {
    command: &'a str,
    name: &'a str,
    values: BTreeMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    fn parse(text: &'a str) -> Self {
        let mut words = text.split_whitespace();
        let command = words.next().unwrap_or("");
        let (pairs, plain): (Vec<&str>, Vec<&str>) = words.partition(|word| word.contains('='));
        Self {
            command,
            name: plain.first().copied().unwrap_or(""),
            values: pairs.iter().filter_map(|p| p.split_once('=')).collect(),
        }
    }

    fn text(&self, key: &str) -> &'a str {
        self.values.get(key).copied().unwrap_or("")
    }

    fn number<T: std::str::FromStr>(&self, key: &str) -> Option<T> {
        self.values.get(key).and_then(|text| text.parse().ok())
    }

    fn list(&self, key: &str) -> Option<Vec<&'a str>> {
        let text = self.values.get(key)?;
        Some(text.split(',').filter(|part| !part.is_empty()).collect())
    }

    fn hash(&self) -> Sha256Hash {
        Sha256Hash::of(self.text("key").as_bytes())
    }

    fn overrides(&self) -> Overrides {
        Overrides {
            max_keys: self.number("keys"),
            rate_tokens_per_s: self.number("rate"),
            burst_tokens: self.number("burst"),
            weight: self.number("weight"),
            adapter_sets: self
                .list("sets")
                .map(|sets| sets.into_iter().map(AdapterPattern::new).collect()),
            patience: self
                .list("patience")
                .map(|classes| classes.into_iter().filter_map(Patience::parse).collect()),
            when_cut_off: self.values.get("cutoff").map(|text| match *text {
                "refuse" => CutOffPolicy::Refuse,
                _ => CutOffPolicy::Serve,
            }),
        }
    }

    fn action(&self) -> Option<Action> {
        let name = self.name;
        Some(match self.command {
            "template" => Action::SetTemplate {
                name: name.into(),
                parameters: self.overrides().effective(&default_parameters()),
            },
            "create" => Action::CreateAccount {
                name: name.into(),
                template: self.text("template").into(),
                overrides: self.overrides(),
            },
            "set" => Action::SetAccount {
                name: name.into(),
                template: self.text("template").into(),
                overrides: self.overrides(),
            },
            "grant" => Action::GrantKey {
                account: name.into(),
                key_hash: self.hash(),
            },
            "withdraw" => Action::WithdrawKey {
                key_hash: self.hash(),
            },
            "route" => Action::SetRoute {
                name: name.into(),
                route: self.route(),
            },
            "unroute" => Action::RemoveRoute { name: name.into() },
            "shares" => Action::SetShares {
                account: name.into(),
                shares_ppm: self
                    .list("ppm")
                    .unwrap_or_default()
                    .iter()
                    .filter_map(|part| part.split_once(':'))
                    .map(|(dc, ppm)| (dc.into(), ppm.parse().expect("parts per million")))
                    .collect(),
            },
            "remove" => Action::RemoveVm {
                vm: name.into(),
                force: self.text("force") == "yes",
            },
            _ => return None,
        })
    }

    fn route(&self) -> Route {
        Route {
            service: self.text("service").into(),
            path_prefix: self.text("prefix").to_owned(),
            methods: self
                .list("methods")
                .unwrap_or_default()
                .iter()
                .map(|m| m.to_string())
                .collect(),
            access: match self.text("access") {
                "open" => Access::Open,
                _ => Access::Keyed,
            },
            repeatable: self.text("repeatable") == "yes",
        }
    }
}

fn default_parameters() -> Parameters {
    Parameters {
        max_keys: 2,
        rate_tokens_per_s: 1_000,
        burst_tokens: 5_000,
        weight: 1,
        adapter_sets: vec![AdapterPattern::new("base:*")],
        patience: BTreeSet::from([Patience::Urgent, Patience::Patient]),
        when_cut_off: CutOffPolicy::Serve,
    }
}

/// A state and the index of its last log entry.
#[derive(Default)]
struct Script {
    state: State,
    index: u64,
}

impl Script {
    fn apply(&mut self, command: &Command) -> String {
        self.index += 1;
        let command = Command::from_bytes(&command.to_bytes()).expect("a command is decodable");
        let outcome = self.state.apply(self.index, &command);
        let outcome = Outcome::from_bytes(&outcome.to_bytes()).expect("an outcome is decodable");
        match outcome {
            Outcome::Applied { revision, object } => format!("applied r{revision} {object}"),
            Outcome::Conflict {
                current_revision,
                winner_change_id,
            } => format!("conflict r{current_revision} winner {winner_change_id:?}"),
            Outcome::Invalid(error) => format!("invalid {error}"),
            other => format!("{other:?}"),
        }
    }

    fn run(&mut self, line: &Line<'_>) -> String {
        if let Some(action) = line.action() {
            let fallback = format!("c{}", self.index + 1);
            let change_id = line.values.get("id").copied().unwrap_or(&fallback);
            return self.apply(&Command::Change(Change {
                change_id: Arc::from(change_id),
                base_revision: line.number("base").unwrap_or(self.state.revision()),
                at: UnixMs(1_000),
                operator: Arc::from("op"),
                action,
            }));
        }
        let at = UnixMs(1_000);
        match line.command {
            "join" => self.apply(&Command::JoinVm {
                vm: line.name.into(),
                data_centre: line.text("dc").into(),
                at,
            }),
            "ack" => self.apply(&Command::AcknowledgeRoster {
                vm: line.name.into(),
                revision: line.number("revision").unwrap_or(self.state.revision()),
                at,
            }),
            "withdraw-gossiped" => self.apply(&Command::WithdrawGossiped {
                key_hash: line.hash(),
                at,
            }),
            "replay" => {
                self.index = 0;
                self.apply(&Command::Tick { now: UnixMs(1) })
            }
            _ => self.read(line),
        }
    }

    fn read(&mut self, line: &Line<'_>) -> String {
        let state = &self.state;
        match line.command {
            "auth" => match state.authenticate(&line.hash()) {
                Some(account) => account.name.to_string(),
                None => "refused".to_owned(),
            },
            "show" => state
                .account(line.name)
                .map_or("none".to_owned(), |account| {
                    serde_json::to_string(&*account.parameters).expect("parameters are plain data")
                }),
            "may-use" => {
                let adapter = line.text("adapter").parse().expect("a reference");
                let account = state.account(line.name).expect("an account");
                account.parameters.allows_adapter(&adapter).to_string()
            }
            "share" => state.share_ppm(line.name, line.text("dc")).to_string(),
            "find" => {
                let found = state.route(line.name, line.text("method"), line.text("path"));
                found.map_or("none".to_owned(), |route| {
                    format!(
                        "{} {:?} repeatable={}",
                        route.path_prefix, route.access, route.repeatable
                    )
                })
            }
            "roster" => {
                let vms = state.roster().vms_of(line.text("dc"));
                vms.map(|vm| vm.to_string()).collect::<Vec<_>>().join(" ")
            }
            "unacknowledged" => format!("{:?}", state.roster().unacknowledged_revision(line.name)),
            "history" => self.history(),
            "diff" => self.diff(line),
            "restore" => {
                let bytes = state.to_bytes();
                self.state = State::from_bytes(&bytes).expect("a snapshot is decodable");
                format!("equal bytes: {}", self.state.to_bytes() == bytes)
            }
            other => panic!("unknown command {other}"),
        }
    }

    fn history(&self) -> String {
        let entries = self.state.revisions().after(0);
        let texts = entries.map(|e| format!("r{} {} {}", e.revision, e.change_id, e.object));
        texts.collect::<Vec<_>>().join("; ")
    }

    fn diff(&self, line: &Line<'_>) -> String {
        let from = line.number("from").unwrap_or(0);
        let to = line.number("to").unwrap_or(self.state.revision());
        match self.state.revisions().diff(from, to) {
            Err(error) => error.to_string(),
            Ok(lines) => {
                let texts = lines.iter().map(|l| {
                    let old = l.before.as_deref().unwrap_or("-");
                    let new = l.after.as_deref().unwrap_or("-");
                    format!("{} {}: {old} -> {new}", l.object, l.field)
                });
                texts.collect::<Vec<_>>().join("; ")
            }
        }
    }
}

/// Guards against regressions of the behaviour that the scripts show: revision rules, effective
/// parameters, keys, routes, shares, the roster, history and diffs.
#[test]
fn scripts() {
    datadriven::walk("tests/data/control", |file| {
        let mut script = Script::default();
        file.run(|case| {
            let mut output = String::new();
            for text in case.input.lines() {
                let shown = script.run(&Line::parse(text));
                writeln!(output, "{text} => {shown}").expect("memory is writable");
            }
            output
        });
    });
}

/// Guards against decoding a snapshot of another format version, or a truncated or extended one.
#[test]
fn invalid_snapshots_are_refused() {
    let bytes = State::new().to_bytes();
    let mut other = bytes.clone();
    other[0] = FORMAT_VERSION + 1;
    assert_matches::assert_matches!(State::from_bytes(&other), Err(DecodeError::Version { .. }));
    assert_matches::assert_matches!(State::from_bytes(&[]), Err(DecodeError::Empty));
    for cut in 1..bytes.len() {
        assert_matches::assert_matches!(
            State::from_bytes(&bytes[..cut]),
            Err(DecodeError::Damaged { .. })
        );
    }
    let mut long = bytes;
    long.push(0);
    assert_matches::assert_matches!(State::from_bytes(&long), Err(DecodeError::Damaged { .. }));
}

/// Guards against controllers that cannot read the snapshots of the build before.
#[test]
fn snapshots_of_the_previous_format_are_read() {
    let bytes = State::new().to_bytes();
    // The list of software versions, a revision and a map without entries, is what that format lacks.
    let mut previous = bytes[..bytes.len() - 2].to_vec();
    previous[0] = FORMAT_VERSION - 1;
    let restored = State::from_bytes(&previous).unwrap();
    assert_eq!(restored.to_bytes(), bytes);
}

/// Guards against an unbounded history or an unbounded number of recorded change ids, against a
/// change that is applied again after its id was removed, and against a restore that takes longer
/// than its target of 1 s.
#[test]
fn history_is_bounded() {
    const CHANGES: u64 = MAX_CHANGE_IDS as u64 + 10;
    let mut script = Script::default();
    let line = |number: u64| {
        format!(
            "template gold rate={number} id=n{number} base={}",
            number - 1
        )
    };
    for number in 1..=CHANGES {
        script.run(&Line::parse(&line(number)));
    }
    let revisions = script.state.revisions();
    assert_eq!(revisions.current(), CHANGES);
    assert_eq!(revisions.after(0).count(), MAX_HISTORY);
    assert_matches::assert_matches!(revisions.diff(0, CHANGES), Err(_));
    let oldest = CHANGES - MAX_HISTORY as u64;
    assert_matches::assert_matches!(revisions.diff(oldest, CHANGES), Ok(lines) if lines.len() == 1);
    let bytes = script.state.to_bytes();
    let start = Instant::now();
    script.state = State::from_bytes(&bytes).expect("a snapshot is decodable");
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(
        script.run(&Line::parse(&line(11))),
        "applied r11 template/gold"
    );
    let outcome = script.run(&Line::parse(&line(10)));
    assert_eq!(outcome, format!("conflict r{CHANGES} winner None"));
}
