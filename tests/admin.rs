//! Tests of the administration API and of `medlarlift admin` with a fake control plane in memory.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::ready;
use medlarlift::commands::admin::EXIT_CONFLICT;
use medlarlift::commands::admin::EXIT_OK;
use medlarlift::commands::admin::EXIT_PENDING;
use medlarlift::commands::admin::EXIT_REFUSED;
use medlarlift::commands::admin::EXIT_UNREACHABLE;
use medlarlift::commands::admin::EXIT_USAGE;
use medlarlift::commands::admin::Report;
use medlarlift::commands::admin::command;
use medlarlift::commands::admin::execute;
use medlarlift::control::Command;
use medlarlift::control::KeyHash;
use medlarlift::control::Outcome;
use medlarlift::control::Sha256Hash;
use medlarlift::control::State;
use medlarlift::http::admin::AdminServer;
use medlarlift::http::admin::AdminSettings;
use medlarlift::http::admin::ControlPlane;
use medlarlift::http::admin::Operator;
use medlarlift::http::admin::ProposeError;
use medlarlift::http::admin::QuarantineEntry;
use medlarlift::http::admin::VmRevision;
use medlarlift::http::admin::openapi;
use medlarlift::types::Clock;
use medlarlift::types::UnixMs;
use serde_json::Value;
use tempfile::NamedTempFile;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const TOKEN: &str = "a token for tests";

/// Condition of a VM that does not apply changes at once.
#[derive(Clone, Copy)]
enum VmCondition {
    Behind,
    Unreachable,
}

/// Behaviour of the replicated log on a proposal.
#[derive(Clone, Copy)]
enum LogBehaviour {
    Outcome,
    NoQuorum,
    /// The command is applied but its outcome is lost.
    Lost,
}

/// Control state that all fake VMs share.
#[derive(Default)]
struct SharedState {
    state: Mutex<(State, u64)>,
    conditions: Mutex<Vec<(&'static str, VmCondition)>>,
    withdrawn: Mutex<Vec<KeyHash>>,
}

impl SharedState {
    fn apply(&self, command: &Command) -> Outcome {
        let (state, index) = &mut *self
            .state
            .lock()
            .expect("no test panics while it holds the lock");
        *index += 1;
        state.apply(*index, command)
    }

    fn revision(&self) -> u64 {
        self.state
            .lock()
            .expect("no test panics while it holds the lock")
            .0
            .revision()
    }

    fn withdrawn(&self) -> Vec<KeyHash> {
        self.withdrawn
            .lock()
            .expect("no test panics while it holds the lock")
            .clone()
    }

    fn set_conditions(&self, conditions: &[(&'static str, VmCondition)]) {
        *self
            .conditions
            .lock()
            .expect("no test panics while it holds the lock") = conditions.to_vec();
    }
}

struct FakeVm {
    shared: Arc<SharedState>,
    log_behaviour: LogBehaviour,
}

impl ControlPlane for FakeVm {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<Outcome, ProposeError>> {
        let result = match self.log_behaviour {
            LogBehaviour::Outcome => Ok(self.shared.apply(&command)),
            LogBehaviour::NoQuorum => Err(ProposeError::NoQuorum),
            LogBehaviour::Lost => {
                self.shared.apply(&command);
                Err(ProposeError::Uncertain)
            }
        };
        ready(result).boxed()
    }

    fn with_state(&self, read: &mut dyn FnMut(&State)) {
        read(
            &self
                .shared
                .state
                .lock()
                .expect("no test panics while it holds the lock")
                .0,
        );
    }

    fn vm_revisions(&self) -> BoxFuture<'_, Vec<VmRevision>> {
        let conditions = self
            .shared
            .conditions
            .lock()
            .expect("no test panics while it holds the lock")
            .clone();
        let (state, _) = &*self
            .shared
            .state
            .lock()
            .expect("no test panics while it holds the lock");
        let revision = |name: &str| match conditions.iter().find(|(vm, _)| *vm == name) {
            None => Some(state.revision()),
            Some((_, VmCondition::Behind)) => Some(0),
            Some((_, VmCondition::Unreachable)) => None,
        };
        let vms = state.roster().iter().map(|(name, vm)| VmRevision {
            vm: name.clone(),
            data_centre: vm.data_centre.clone(),
            revision: revision(name.as_str()),
        });
        ready(vms.collect()).boxed()
    }

    fn withdraw_locally(&self, key_hash: KeyHash) -> BoxFuture<'_, ()> {
        let withdrawn = &self.shared.withdrawn;
        withdrawn
            .lock()
            .expect("no test panics while it holds the lock")
            .push(key_hash);
        ready(()).boxed()
    }

    fn quarantine(&self) -> BoxFuture<'_, Vec<QuarantineEntry>> {
        let entry = QuarantineEntry {
            fingerprint: "f00d".to_owned(),
            crashes: 2,
            until_unix_ms: Some(7),
        };
        ready(vec![entry]).boxed()
    }
}

/// Administration servers on one state, and the file with the operator's token.
struct Fleet {
    shared: Arc<SharedState>,
    servers: Vec<AdminServer>,
    token: NamedTempFile,
}

impl Fleet {
    /// Starts three VMs in each of two data centres, and one server for each log behaviour.
    fn start(log_behaviours: &[LogBehaviour]) -> Self {
        let shared = Arc::new(SharedState::default());
        for name in ["a1", "a2", "a3", "b1", "b2", "b3"] {
            let at = UnixMs(1);
            shared.apply(&Command::JoinVm {
                vm: name.into(),
                data_centre: name[..1].into(),
                at,
            });
            for vm in ["a1", "a2", "b1", "b2"] {
                let revision = shared.revision();
                shared.apply(&Command::AcknowledgeRoster {
                    vm: vm.into(),
                    revision,
                    at,
                });
            }
        }
        let servers = log_behaviours
            .iter()
            .map(|log_behaviour| serve(&shared, *log_behaviour))
            .collect();
        let mut token = NamedTempFile::new().expect("a temporary file");
        writeln!(token, "{TOKEN}").expect("the file is writable");
        Self {
            shared,
            servers,
            token,
        }
    }

    fn one() -> Self {
        Self::start(&[LogBehaviour::Outcome])
    }

    async fn run(&self, line: &str) -> Report {
        let mut words = vec!["admin".to_owned(), "--token-file".to_owned()];
        words.push(self.token.path().display().to_string());
        for server in &self.servers {
            words.extend(["--server".to_owned(), server.local_addr().to_string()]);
        }
        words.extend(line.split_whitespace().map(str::to_owned));
        let matches = command()
            .try_get_matches_from(words)
            .expect("the line is well-formed");
        execute(&matches).await
    }

    /// Runs a command line that must succeed and returns its output.
    async fn ok(&self, line: &str) -> String {
        let report = self.run(line).await;
        assert_eq!(
            (report.code, report.error.as_str()),
            (EXIT_OK, ""),
            "{line}"
        );
        report.output
    }

    async fn json(&self, line: &str) -> Value {
        serde_json::from_str(&self.ok(&format!("{line} --json")).await).expect("JSON")
    }

    async fn with_account(self) -> Self {
        self.ok("template set gold --rate-tokens-per-s 100 --burst-tokens 500 --adapters base:*")
            .await;
        self.ok("account create acme --template gold").await;
        self
    }

    /// Sends a raw request to the first server and returns the status line and the body.
    async fn raw(&self, request: &str, path: &str, body: &str) -> (String, Value) {
        let address = self.servers[0].local_addr();
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the server listens");
        let head = format!(
            "{request} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer {TOKEN}\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the server reads");
        let mut text = String::new();
        stream
            .read_to_string(&mut text)
            .await
            .expect("the server answers");
        let (head, body) = text.split_once("\r\n\r\n").expect("a head and a body");
        let status = head.lines().next().unwrap_or("").to_owned();
        (status, serde_json::from_str(body).expect("JSON"))
    }
}

fn serve(shared: &Arc<SharedState>, log_behaviour: LogBehaviour) -> AdminServer {
    let settings = AdminSettings {
        bind_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        operators: vec![
            Operator {
                name: "someone".to_owned(),
                token_sha256: Sha256Hash::of(b"another token"),
            },
            Operator {
                name: "tester".to_owned(),
                token_sha256: Sha256Hash::of(TOKEN.as_bytes()),
            },
        ],
    };
    let vm = FakeVm {
        shared: Arc::clone(shared),
        log_behaviour,
    };
    AdminServer::bind(settings, Arc::new(vm), Clock::start()).expect("a free port")
}

/// Guards against commands that the API rejects, and against output that lacks the values.
#[tokio::test]
async fn every_command_reaches_the_state() {
    let fleet = Fleet::one().with_account().await;
    fleet
        .ok("template set gold --burst-tokens 900 --patience patient")
        .await;
    fleet.ok("account set acme --weight 4 --max-keys 3").await;
    fleet.ok("account set acme --follow weight").await;
    fleet.ok("share set acme a=700000 b=300000").await;
    let route = "route set orders --service records --path-prefix /orders --access keyed";
    fleet
        .ok(&format!("{route} --method POST --method PUT"))
        .await;
    let account = fleet.json("account show acme").await;
    assert_eq!(account["parameters"]["burst_tokens"], 900);
    assert_eq!(account["parameters"]["weight"], 1);
    assert_eq!(account["overrides"], serde_json::json!({"max_keys": 3}));
    assert_eq!(
        account["shares_ppm"],
        serde_json::json!({"a": 700_000, "b": 300_000})
    );
    for (line, part) in [
        ("template show gold", "parameters.rate_tokens_per_s: 100"),
        ("template list", "gold  100"),
        ("account list", "acme  gold"),
        ("key list acme", "no keys"),
        ("route list", "orders  records  /orders"),
        ("roster list", "a1  a"),
        ("history --limit 1", "tester"),
        ("diff 7 9", "account/acme"),
        ("jobs --after x-1 --limit 5", "total: 0"),
        ("quarantine list", "f00d"),
        ("status", "in_force"),
    ] {
        let output = fleet.ok(line).await;
        assert!(output.contains(part), "{line}: {output}");
    }
    fleet.ok("share set acme").await;
    assert_eq!(
        fleet.json("account show acme").await["shares_ppm"]["a"],
        500_000
    );
    fleet.ok("route remove orders").await;
    assert!(fleet.ok("route list").await.contains("no routes"));
    fleet.ok("roster remove a3").await;
    assert!(
        fleet
            .ok("roster list")
            .await
            .contains("a3  a            true")
    );
}

/// Guards against the status `accepted` while a data centre that may serve lacks the change, and
/// against a single unreachable VM that blocks every change.
#[tokio::test]
async fn responses_report_which_vms_have_applied_a_change() {
    let fleet = Fleet::one().with_account().await;
    let cases: [(&[(&'static str, VmCondition)], u8); 5] = [
        (&[], EXIT_OK),
        (&[("b3", VmCondition::Unreachable)], EXIT_OK),
        (&[("b3", VmCondition::Behind)], EXIT_PENDING),
        (
            &[
                ("b2", VmCondition::Unreachable),
                ("b3", VmCondition::Unreachable),
            ],
            EXIT_PENDING,
        ),
        (
            &[
                ("b1", VmCondition::Unreachable),
                ("b2", VmCondition::Unreachable),
                ("b3", VmCondition::Unreachable),
            ],
            EXIT_PENDING,
        ),
    ];
    for (number, (conditions, code)) in cases.into_iter().enumerate() {
        fleet.shared.set_conditions(conditions);
        let line = format!("account set acme --weight {} --json", number + 2);
        let report = fleet.run(&line).await;
        assert_eq!(report.code, code, "{}", report.output);
        let answer: Value = serde_json::from_str(&report.output).expect("JSON");
        let vms = answer["vms"].as_array().expect("a list of VMs");
        let pending = vms.iter().filter(|vm| vm["state"] == "pending").count();
        assert_eq!((vms.len(), pending), (6, conditions.len()));
    }
}

/// Guards against a change that is lost when two operators make changes concurrently, and against a
/// change that is applied twice when it is resent.
#[tokio::test]
async fn conflicts_are_refused_and_resends_return_the_first_outcome() {
    let fleet = Fleet::one().with_account().await;
    let base = fleet.shared.revision();
    let line = |id: &str, weight| {
        format!("account set acme --weight {weight} --change-id {id} --base-revision {base}")
    };
    fleet.ok(&line("first", 2)).await;
    let report = fleet.run(&line("second", 3)).await;
    assert_eq!(report.code, EXIT_CONFLICT);
    assert!(
        report.error.contains("first came first"),
        "{}",
        report.error
    );
    let again = fleet.json(&line("first", 2)).await;
    assert_eq!(again["revision"], base + 1);
    assert_eq!(fleet.shared.revision(), base + 1);
    assert_eq!(
        fleet.json("account show acme").await["parameters"]["weight"],
        2
    );
}

/// Guards against a change that is applied twice or abandoned when the first servers fail or their
/// response is lost.
#[tokio::test]
async fn the_next_server_is_tried_with_the_same_change() {
    let fleet = Fleet::start(&[
        LogBehaviour::NoQuorum,
        LogBehaviour::Lost,
        LogBehaviour::Outcome,
    ]);
    let before = fleet.shared.revision();
    fleet
        .ok("template set gold --rate-tokens-per-s 9 --burst-tokens 9 --adapters base:*")
        .await;
    assert_eq!(fleet.shared.revision(), before + 1);
    let mut fleet = Fleet::start(&[LogBehaviour::Lost, LogBehaviour::NoQuorum]);
    let report = fleet
        .run("account create x --template none --change-id mine")
        .await;
    assert_eq!(report.code, EXIT_UNREACHABLE);
    assert!(
        report.error.contains("--change-id mine"),
        "{}",
        report.error
    );
    assert!(
        report.error.contains("quorum is out of reach"),
        "{}",
        report.error
    );
    for server in std::mem::take(&mut fleet.servers) {
        let address = server.local_addr();
        server.close().await;
        let line = format!("status --server {address}");
        assert_eq!(fleet.run(&line).await.code, EXIT_UNREACHABLE);
    }
}

/// Guards against a key that is stored in plain text, shown twice or not valid, and against a
/// withdrawal that waits for the log.
#[tokio::test]
async fn keys_are_shown_once_and_withdrawn_at_once() {
    let fleet = Fleet::start(&[LogBehaviour::Outcome]).with_account().await;
    let granted = fleet.json("key grant acme --change-id g").await;
    let key = granted["key"].as_str().expect("the key").to_owned();
    let hash = Sha256Hash::of(key.as_bytes());
    let read = |shared: &SharedState| {
        let state = &shared
            .state
            .lock()
            .expect("no test panics while it holds the lock")
            .0;
        let is_stored = state
            .to_bytes()
            .windows(key.len())
            .any(|part| part == key.as_bytes());
        (state.authenticate(&hash).is_some(), is_stored)
    };
    assert_eq!(read(&fleet.shared), (true, false));
    let body = r#"{"change": {"change_id": "drawn"}}"#;
    let (_, first) = fleet.raw("POST", "/v1/accounts/acme/keys", body).await;
    let (_, second) = fleet.raw("POST", "/v1/accounts/acme/keys", body).await;
    assert!(first["key"].is_string());
    assert_eq!(
        (&second["key"], &second["key_id"]),
        (&Value::Null, &first["key_id"])
    );
    let key_id = granted["key_id"].as_str().expect("the id");
    fleet
        .ok(&format!("key withdraw --key-id {key_id} --base-revision 0"))
        .await;
    assert_eq!(read(&fleet.shared), (false, false));
    assert!(
        fleet
            .ok("key list acme")
            .await
            .contains(&format!("{key_id}  true"))
    );

    let cut_off = Fleet::start(&[LogBehaviour::NoQuorum]);
    let line = format!("key withdraw --key-sha256 {} --json", hash.to_hex());
    let report = cut_off.run(&line).await;
    assert_eq!(report.code, EXIT_PENDING);
    assert!(
        report.output.contains(r#""status": "local""#),
        "{}",
        report.output
    );
    assert_eq!(cut_off.shared.withdrawn(), [hash]);
}

/// Guards against errors that do not name the field, the invalid value and the allowed values.
#[tokio::test]
async fn refusals_name_field_value_and_what_is_allowed() {
    let fleet = Fleet::one().with_account().await;
    for (line, code, parts) in [
        (
            "account create acme --template gold",
            EXIT_REFUSED,
            ["name", "acme", "no existing account"],
        ),
        (
            "account set acme --weight 0",
            EXIT_REFUSED,
            ["weight", "\"0\"", "from 1 to 1000"],
        ),
        (
            "account show none",
            EXIT_REFUSED,
            ["account", "none", "an existing account"],
        ),
        (
            "share set acme a=x",
            EXIT_USAGE,
            ["share", "a=x", "DATA_CENTRE=PPM"],
        ),
        (
            "template set new --weight 2",
            EXIT_USAGE,
            ["--rate-tokens-per-s", "missing", "needs it"],
        ),
        ("account show a/b", EXIT_USAGE, ["name", "a/b", "letters"]),
        (
            "history --limit 0",
            EXIT_REFUSED,
            ["limit", "0", "from 1 to 1000"],
        ),
        ("diff 5 99", EXIT_REFUSED, ["from", "5 to 99", "0 to 8"]),
        (
            "key withdraw --key-sha256 xyz",
            EXIT_REFUSED,
            ["key_sha256", "xyz", "64 hexadecimal"],
        ),
    ] {
        let report = fleet.run(line).await;
        assert_eq!(report.code, code, "{line}: {}", report.error);
        for part in parts {
            assert!(report.error.contains(part), "{line}: {}", report.error);
        }
    }
}

/// Guards against errors on malformed bodies that do not name the field, and against errors that
/// show a key.
#[tokio::test]
async fn malformed_bodies_are_refused_by_field() {
    let fleet = Fleet::one().with_account().await;
    let (status, answer) = fleet
        .raw(
            "POST",
            "/v1/accounts/acme/keys",
            r#"{"change": {"change_id": "k"}, "key": "secret!"}"#,
        )
        .await;
    assert!(
        status.contains("400") && !answer.to_string().contains("secret!"),
        "{answer}"
    );
    let body = r#"{"change": {"change_id": "m"}, "shares_ppm": {"a": "much"}}"#;
    let (status, answer) = fleet.raw("PUT", "/v1/accounts/acme/shares", body).await;
    assert!(status.contains("400"), "{status}");
    assert!(
        answer["error"]["field"]
            .as_str()
            .is_some_and(|f| f.contains("shares_ppm")),
        "{answer}"
    );
    let body = r#"{"change": {"change_id": "auto:m"}, "key": "some key"}"#;
    let (_, answer) = fleet.raw("POST", "/v1/withdrawals", body).await;
    assert_eq!(answer["error"]["field"], "change_id", "{answer}");
    let body = r#"{"change": {"change_id": "m"}, "force": true, "farce": 1}"#;
    let (_, answer) = fleet.raw("POST", "/v1/roster/a1/removal", body).await;
    assert!(answer.to_string().contains("farce"), "{answer}");
}

/// Guards against commands that succeed without the token of an operator.
#[tokio::test]
async fn every_command_needs_a_token() {
    let fleet = Fleet::one().with_account().await;
    let before = fleet.shared.revision();
    let wrong = Fleet {
        token: {
            let mut file = NamedTempFile::new().expect("a temporary file");
            write!(file, "wrong").expect("the file is writable");
            file
        },
        ..fleet
    };
    let route = "route set r --service s --path-prefix / --access open --method GET";
    for line in [
        "account create x --template gold",
        "account list",
        "account set acme --weight 9",
        "diff 0",
        "history",
        "jobs",
        "key grant acme",
        "key list acme",
        "key withdraw --key-id k",
        "quarantine list",
        "quarantine lift 00",
        "metrics",
        "roster list",
        "roster remove a1",
        "route list",
        "route remove r",
        route,
        "share set acme",
        "status",
        "template list",
        "template set gold --weight 9",
        "template show gold",
    ] {
        let report = wrong.run(line).await;
        assert_eq!(report.code, EXIT_REFUSED, "{line}");
        assert!(
            report.error.contains("unauthorized"),
            "{line}: {}",
            report.error
        );
    }
    assert!(wrong.shared.withdrawn().is_empty());
    let (status, _) = wrong.raw("GET", "/v1/nothing", "").await;
    assert!(status.contains("404"), "{status}");
    assert_eq!(wrong.shared.revision(), before);
}

/// Guards against an OpenAPI document that differs from the endpoints. `REWRITE=1` regenerates it.
#[test]
fn the_openapi_document_is_up_to_date() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/openapi-admin.json");
    let current = format!("{:#}\n", openapi());
    if std::env::var_os("REWRITE").is_some() {
        std::fs::write(path, &current).expect("the document is writable");
    }
    let committed = std::fs::read_to_string(path).expect("the document exists");
    assert!(
        committed == current,
        "run this test with REWRITE=1 and commit docs/openapi-admin.json"
    );
}
