//! Orders on one VM: the intent is committed before the call and the outcome before the answer, and
//! a failure at any step causes neither a second run nor a wrong "not run".

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use assert_matches::assert_matches;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::pending;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use medlarlift::backend::HttpEngine;
use medlarlift::backend::NamedLimits;
use medlarlift::backend::pooled_client;
use medlarlift::backend::single_use_client;
use medlarlift::control::Access;
use medlarlift::control::Command;
use medlarlift::control::CutOffPolicy;
use medlarlift::control::Job;
use medlarlift::control::KeyHash;
use medlarlift::control::OrderCommand;
use medlarlift::control::OrderKey;
use medlarlift::control::OrderPhase;
use medlarlift::control::Outcome;
use medlarlift::control::Owner;
use medlarlift::control::Parameters;
use medlarlift::control::RecordedResult;
use medlarlift::control::Route;
use medlarlift::control::Sha256Hash;
use medlarlift::control::State;
use medlarlift::limits;
use medlarlift::membership::Fingerprint;
use medlarlift::membership::Verdict;
use medlarlift::metrics::Metrics;
use medlarlift::pipeline::Context;
use medlarlift::pipeline::Dispatcher;
use medlarlift::pipeline::DispatcherConfig;
use medlarlift::pipeline::Health;
use medlarlift::pipeline::KeyDirectory;
use medlarlift::pipeline::ProposalError;
use medlarlift::pipeline::Quarantine;
use medlarlift::pipeline::ReplicatedLog;
use medlarlift::pipeline::RetryBudget;
use medlarlift::pipeline::ServerDirectory;
use medlarlift::pipeline::ServerPermits;
use medlarlift::pipeline::ServiceRequest;
use medlarlift::pipeline::SuspectEngineReserver;
use medlarlift::pipeline::SuspectReservation;
use medlarlift::pipeline::run_service;
use medlarlift::scheduling::crash_evidence::Progress;
use medlarlift::scheduling::fair_queue::FairQueueConfig;
use medlarlift::scheduling::routing::LoadReport;
use medlarlift::scheduling::routing::Policy;
use medlarlift::scheduling::routing::ServerInfo;
use medlarlift::scheduling::routing::ServerKind;
use medlarlift::standin::server;
use medlarlift::standin::server::Body;
use medlarlift::standin::server::Connections;
use medlarlift::standin::server::Handler;
use medlarlift::standin::server::Server;
use medlarlift::types::AccountName;
use medlarlift::types::Clock;
use medlarlift::types::Patience;
use medlarlift::types::Refusal;
use medlarlift::types::RefusalCode;
use medlarlift::types::RequestFeatures;
use medlarlift::types::RunState;
use medlarlift::types::ServerName;
use medlarlift::types::UnixMs;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

const ACCOUNT: &str = "acme";
const SERVICE: &str = "records";
/// Proposals with a longer time to the deadline are the background proposals of the VM.
const BACKGROUND_THRESHOLD: Duration = Duration::from_secs(60);
/// Wait in which every background proposal of these tests ends.
const BACKGROUND_WAIT: Duration = Duration::from_millis(150);

/// Replicated log shared by all VMs.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<(State, u64)>>);

impl Log {
    fn apply(&self, command: &Command) -> Outcome {
        let (state, index) = &mut *self.0.lock().expect("log");
        *index += 1;
        state.apply(*index, command)
    }

    fn phase(&self, key: &str) -> Option<OrderPhase> {
        let order = OrderKey {
            account: ACCOUNT.into(),
            key_hash: Sha256Hash::of(key.as_bytes()),
        };
        let log = self.0.lock().expect("log");
        log.0
            .orders()
            .get(&order)
            .map(|record| record.phase.clone())
    }

    fn mark_owner_lost(&self, vm: &str) {
        self.apply(&Command::OwnerLost {
            vm: vm.into(),
            incarnation: 1,
        });
    }

    /// Applies one tick per minute until `hours` from now have passed.
    fn advance_hours(&self, hours: u64) {
        let now = Clock::start().unix();
        for minute in 0..=hours * 60 {
            let now = now.plus(minute * 60_000);
            self.apply(&Command::Tick { now });
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Intent,
    Outcome,
}

/// Fault of the proposals of one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// No leader is reachable.
    Unavailable,
    /// Applied, but the answer is lost.
    AnswerLost,
    /// Applied only after the proposal has failed on the VM.
    AppliedLate,
    /// Never applied; the process crashes while it waits.
    CrashBeforeApply,
    /// Applied; the process crashes before it gets the answer.
    CrashAfterApply,
}

struct FakeLog {
    log: Log,
    vm: &'static str,
    fault: Arc<Mutex<Option<(Step, Fault)>>>,
}

impl FakeLog {
    fn fault_for(&self, command: &Command) -> Option<Fault> {
        let step = match command {
            Command::Order(OrderCommand::Intent(_)) => Step::Intent,
            Command::Order(OrderCommand::Outcome { .. }) => Step::Outcome,
            _ => return None,
        };
        let fault = *self.fault.lock().expect("fault");
        fault.filter(|(at, _)| *at == step).map(|(_, fault)| fault)
    }
}

impl ReplicatedLog for FakeLog {
    fn propose(
        &self,
        command: Command,
        deadline: Instant,
    ) -> BoxFuture<'_, Result<Outcome, ProposalError>> {
        async move {
            loop {
                match self.fault_for(&command) {
                    None => return Ok(self.log.apply(&command)),
                    Some(Fault::Unavailable)
                        if deadline < Instant::now() + BACKGROUND_THRESHOLD =>
                    {
                        return Err(ProposalError::Unavailable);
                    }
                    Some(Fault::Unavailable) => sleep(Duration::from_millis(10)).await,
                    Some(Fault::AnswerLost) => {
                        self.log.apply(&command);
                        return Err(ProposalError::Unknown);
                    }
                    Some(Fault::AppliedLate) => {
                        let log = self.log.clone();
                        tokio::spawn(async move {
                            sleep(BACKGROUND_WAIT / 2).await;
                            log.apply(&command);
                        });
                        return Err(ProposalError::Unknown);
                    }
                    Some(Fault::CrashBeforeApply) => pending().await,
                    Some(Fault::CrashAfterApply) => {
                        self.log.apply(&command);
                        pending().await
                    }
                }
            }
        }
        .boxed()
    }

    fn owner(&self) -> Owner {
        Owner {
            vm: self.vm.into(),
            incarnation: 1,
        }
    }

    fn route(&self, service: &str, method: &str, _: &str) -> Option<Route> {
        Some(Route {
            service: service.into(),
            path_prefix: "/".to_owned(),
            methods: BTreeSet::from([method.to_owned()]),
            access: Access::Keyed,
            repeatable: method == "GET",
        })
    }

    fn job(&self, _: &str) -> Option<Job> {
        None
    }
}

/// Stubs of the dependencies that these tests do not exercise.
struct Stubs;

impl KeyDirectory for Stubs {
    fn account_of(&self, _: &KeyHash) -> Option<(AccountName, Arc<Parameters>)> {
        let parameters = Parameters {
            max_keys: 1,
            rate_tokens_per_s: 1_000,
            burst_tokens: 1_000,
            weight: 1,
            adapter_sets: Vec::new(),
            patience: BTreeSet::from([Patience::Urgent]),
            when_cut_off: CutOffPolicy::Serve,
        };
        Some((ACCOUNT.into(), Arc::new(parameters)))
    }
}

impl Health for Stubs {
    fn check_open(&self, _: bool) -> Result<(), Refusal> {
        Ok(())
    }

    fn check_ready(&self) -> Result<(), Refusal> {
        Ok(())
    }
}

impl SuspectEngineReserver for Stubs {
    fn reserve(
        &self,
        _: &ServerName,
        _: Fingerprint,
    ) -> BoxFuture<'static, Option<SuspectReservation>> {
        async { None }.boxed()
    }
}

impl Quarantine for Stubs {
    fn verdict(&self, _: &Fingerprint) -> Verdict {
        Verdict::Clear
    }

    fn report(&self, _: Fingerprint, _: &ServerName, _: u64) {}

    fn refused_until(&self, _: &RequestFeatures) -> Option<UnixMs> {
        None
    }

    fn report_causes(&self, _: &RequestFeatures, _: Progress, _: &ServerName, _: u64) {}

    fn record_begun(&self, _: &RequestFeatures) {}
}

impl limits::BorrowPeers for Stubs {
    fn borrow(
        &self,
        _: medlarlift::types::DataCentre,
        _: limits::BorrowRequest,
    ) -> BoxFuture<'static, Result<limits::BorrowReply, limits::NoCoordinator>> {
        pending().boxed()
    }
}

struct OneServer(Arc<Mutex<SocketAddr>>);

impl ServerDirectory for OneServer {
    fn locate(&self, _: &ServerName) -> Option<(SocketAddr, u64)> {
        Some((*self.0.lock().expect("address"), 1))
    }
}

/// Service that counts runs by body and calls without a committed intent.
struct CountingService {
    log: Log,
    drops_responses: Mutex<bool>,
    runs: Mutex<HashMap<String, u64>>,
    premature_calls: Mutex<u64>,
}

impl Handler for CountingService {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let has_id = request.headers().contains_key("x-order-id");
        let body = server::read_body(request).await?;
        let body = String::from_utf8(body.to_vec()).expect("text");
        // The body is the idempotency key, with the suffix `!` for a different body under the same
        // key.
        let key = body.trim_end_matches('!').to_owned();
        let committed = self.log.phase(&key) == Some(OrderPhase::InProgress);
        *self.premature_calls.lock().expect("premature calls") += u64::from(!(committed && has_id));
        *self.runs.lock().expect("runs").entry(body).or_default() += 1;
        sleep(Duration::from_millis(30)).await;
        let drops_response = *self.drops_responses.lock().expect("drops");
        (!drops_response).then(|| server::json(StatusCode::OK, &json!({ "ran": key })))
    }
}

/// Two VMs that share a replicated log and a service.
struct Fleet {
    log: Log,
    service: Arc<CountingService>,
    server: Server,
    address: Arc<Mutex<SocketAddr>>,
    fault: Arc<Mutex<Option<(Step, Fault)>>>,
    vms: [Context; 2],
}

impl Fleet {
    async fn start() -> Self {
        let log = Log::default();
        log.advance_hours(0);
        let service = Arc::new(CountingService {
            log: log.clone(),
            drops_responses: Mutex::default(),
            runs: Mutex::default(),
            premature_calls: Mutex::default(),
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, service.clone(), Connections::new()).await;
        let server = server.expect("service starts");
        let address = Arc::new(Mutex::new(server.address()));
        let fault = Arc::default();
        let vms = ["vm0", "vm1"].map(|vm| context(vm, &log, &address, &fault));
        Self {
            log,
            service,
            server,
            address,
            fault,
            vms,
        }
    }

    /// Injects `fault` at the proposals of `step`, on both VMs.
    fn inject(&self, step: Step, fault: Fault) {
        *self.fault.lock().expect("fault") = Some((step, fault));
    }

    fn clear_faults(&self) {
        *self.fault.lock().expect("fault") = None;
        *self.service.drops_responses.lock().expect("drops") = false;
        *self.address.lock().expect("address") = self.server.address();
    }

    async fn order(&self, vm: usize, key: &str) -> Result<RecordedResult, Refusal> {
        run_service(&self.vms[vm], request(Some(key), key)).await
    }

    /// Sends an order through a VM that crashes at the injected fault.
    async fn order_until_crash(&self, vm: usize, key: &str) {
        let sent = tokio::time::timeout(BACKGROUND_WAIT, self.order(vm, key)).await;
        assert!(sent.is_err(), "the VM answered: {sent:?}");
        self.clear_faults();
        self.log.mark_owner_lost(["vm0", "vm1"][vm]);
    }

    fn runs(&self, body: &str) -> u64 {
        assert_eq!(
            *self
                .service
                .premature_calls
                .lock()
                .expect("premature calls"),
            0,
            "sent before its intent was committed"
        );
        let runs = self.service.runs.lock().expect("runs");
        runs.get(body).copied().unwrap_or(0)
    }

    /// Waits until background proposals have ended and checks that the order has not run.
    async fn assert_not_run(&self, key: &str, sent: Result<RecordedResult, Refusal>) {
        assert_matches!(sent, Err(refusal) if refusal.run == RunState::NotRun);
        assert_eq!(self.runs(key), 0);
        sleep(BACKGROUND_WAIT).await;
        assert_eq!(self.runs(key), 0);
    }
}

fn context(
    vm: &'static str,
    log: &Log,
    address: &Arc<Mutex<SocketAddr>>,
    fault: &Arc<Mutex<Option<(Step, Fault)>>>,
) -> Context {
    let clock = Clock::start();
    let config = DispatcherConfig {
        vm: vm.into(),
        data_centre: "dc1".into(),
        incarnation: 1,
        policy: Policy::default(),
        queue: FairQueueConfig::default(),
    };
    let dispatcher = Dispatcher::spawn(config, clock);
    let info = ServerInfo {
        name: "service1".into(),
        data_centre: "dc1".into(),
        kind: ServerKind::Service {
            service: SERVICE.into(),
        },
        incarnation: 1,
        batch_slots: 64,
        leaving: false,
    };
    dispatcher.observe(info, LoadReport::default());
    let config = limits::ClientConfig {
        vm: vm.into(),
        incarnation: 1,
        data_centre: "dc1".into(),
        clock,
    };
    let limits = limits::Client::spawn(config, Arc::new(Stubs));
    let named_limits = Arc::new(NamedLimits::new(clock));
    let permits = ServerPermits::new(named_limits.clone(), limits.clone(), dispatcher.clone());
    Context {
        clock,
        keys: Arc::new(Stubs),
        health: Arc::new(Stubs),
        limits,
        dispatcher,
        replicated_log: Arc::new(FakeLog {
            log: log.clone(),
            vm,
            fault: fault.clone(),
        }),
        pooled_client: pooled_client(),
        single_use_client: single_use_client(),
        engine: Arc::new(HttpEngine::new(named_limits)),
        server_permits: Arc::new(permits),
        servers: Arc::new(OneServer(address.clone())),
        quarantine: Arc::new(Stubs),
        suspects: Arc::new(Stubs),
        metrics: Arc::new(Metrics::open(None).expect("no socket is needed")),
        retry_budget: Arc::new(RetryBudget::default()),
        longest_request_ms: 10_000,
    }
}

fn request(key: Option<&str>, body: &str) -> ServiceRequest {
    let mut headers = HeaderMap::new();
    headers.insert("authorization", "Bearer k".parse().expect("header"));
    if let Some(key) = key {
        headers.insert("idempotency-key", key.parse().expect("header"));
    }
    ServiceRequest {
        service: SERVICE.to_owned(),
        method: Method::POST,
        path: "/orders".to_owned(),
        query: None,
        headers,
        body: body.as_bytes().to_vec().into(),
    }
}

/// Guards against a call that is sent before its intent is committed, an answer that is given
/// before the outcome is committed, and a resend that runs again or gets a different answer.
#[tokio::test]
async fn intent_precedes_the_call_and_outcome_precedes_the_answer() {
    let fleet = Fleet::start().await;
    let first = fleet.order(0, "a").await.expect("answer");
    assert_matches!(fleet.log.phase("a"), Some(OrderPhase::Done(kept)) if kept == first);
    assert_eq!(fleet.order(1, "a").await, Ok(first));
    assert_eq!(fleet.runs("a"), 1);
}

/// Guards against an order that runs although its caller got `not_run`: the intent was not
/// committed, was committed but the answer was lost, or was committed after the proposal timed out.
#[tokio::test]
async fn order_without_known_intent_stays_not_run() {
    for fault in [Fault::Unavailable, Fault::AnswerLost, Fault::AppliedLate] {
        let fleet = Fleet::start().await;
        fleet.inject(Step::Intent, fault);
        let sent = fleet.order(0, "a").await;
        fleet.assert_not_run("a", sent).await;
        fleet.clear_faults();
        fleet.order(1, "a").await.expect("a resend runs");
        assert_eq!(fleet.runs("a"), 1, "{fault:?}");
    }
}

/// Guards against an order that stays blocked or runs twice after a provider refused the
/// connection.
#[tokio::test]
async fn refused_connection_releases_the_order() {
    let fleet = Fleet::start().await;
    *fleet.address.lock().expect("address") = closed_address().await;
    let sent = fleet.order(0, "a").await;
    fleet.assert_not_run("a", sent).await;
    assert_eq!(fleet.log.phase("a"), Some(OrderPhase::Released));
    fleet.clear_faults();
    fleet.order(1, "a").await.expect("a resend runs");
    assert_eq!(fleet.runs("a"), 1);
}

async fn closed_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    listener.local_addr().expect("bound")
}

/// Guards against a second run of an order whose answer was lost on the way from the service.
#[tokio::test]
async fn lost_call_is_unknown_and_never_repeated() {
    let fleet = Fleet::start().await;
    *fleet.service.drops_responses.lock().expect("drops") = true;
    let sent = fleet.order(0, "a").await;
    assert_matches!(sent, Err(refusal) if refusal.run == RunState::Unknown);
    fleet.clear_faults();
    for vm in [0, 1] {
        let resent = fleet.order(vm, "a").await;
        assert_matches!(resent, Err(refusal) if refusal.run == RunState::Unknown);
    }
    assert_eq!(fleet.runs("a"), 1);
}

/// Guards against an answer whose outcome is not recorded, and an outcome that is lost while the
/// log cannot be reached.
#[tokio::test]
async fn outcome_is_answered_only_after_it_is_recorded() {
    for fault in [Fault::Unavailable, Fault::AnswerLost] {
        let fleet = Fleet::start().await;
        fleet.inject(Step::Outcome, fault);
        let sent = fleet.order(0, "a").await;
        assert_matches!(sent, Err(refusal) if refusal.run == RunState::Ran);
        fleet.clear_faults();
        sleep(BACKGROUND_WAIT).await;
        assert_matches!(fleet.log.phase("a"), Some(OrderPhase::Done(_)));
        fleet.order(1, "a").await.expect("the recorded answer");
        assert_eq!(fleet.runs("a"), 1, "{fault:?}");
    }
}

/// Guards against a second run and a wrong "not run" after the process crashed between commit and
/// dispatch, between dispatch and record, or between record and answer.
#[tokio::test]
async fn order_of_a_crashed_dispatcher_is_not_repeated() {
    let crashes = [
        (Step::Intent, Fault::CrashAfterApply, 0),
        (Step::Outcome, Fault::CrashBeforeApply, 1),
        (Step::Outcome, Fault::CrashAfterApply, 1),
    ];
    for (step, fault, runs) in crashes {
        let fleet = Fleet::start().await;
        fleet.inject(step, fault);
        fleet.order_until_crash(0, "a").await;
        let resent = fleet.order(1, "a").await;
        if (step, fault) == (Step::Outcome, Fault::CrashAfterApply) {
            resent.expect("the recorded answer");
        } else {
            assert_matches!(resent, Err(refusal) if refusal.run == RunState::Unknown);
        }
        assert_eq!(fleet.runs("a"), runs, "{step:?} {fault:?}");
    }
}

/// Guards against granting an intent of a crashed process that is applied after the crash was
/// recorded.
#[tokio::test]
async fn lost_process_gets_no_grant() {
    let fleet = Fleet::start().await;
    fleet.log.mark_owner_lost("vm0");
    let sent = fleet.order(0, "a").await;
    fleet.assert_not_run("a", sent).await;
    fleet.order(1, "a").await.expect("another VM runs it");
    assert_eq!(fleet.runs("a"), 1);
}

/// Guards against two runs or two answers when several VMs receive the same order at the same time.
#[tokio::test]
async fn order_sent_to_two_vms_together_runs_once() {
    let fleet = Fleet::start().await;
    for round in 0..20 {
        let key = format!("order{round}");
        let sends = [0, 1, 0, 1].map(|vm| fleet.order(vm, &key));
        let answers = futures::future::join_all(sends).await;
        let first = answers[0].clone().expect("answer");
        assert!(answers.iter().all(|answer| *answer == Ok(first.clone())));
        assert_eq!(fleet.runs(&key), 1);
    }
}

/// Guards against running a different body under a used key, and a call without a key on a route
/// that is not repeatable.
#[tokio::test]
async fn wrong_keys_are_refused_without_a_run() {
    let fleet = Fleet::start().await;
    fleet.order(0, "a").await.expect("answer");
    let other = run_service(&fleet.vms[1], request(Some("a"), "a!")).await;
    assert_matches!(&other, Err(refusal) if refusal.code == RefusalCode::IdempotencyConflict);
    fleet.assert_not_run("a!", other).await;
    for key in [None, Some("")] {
        let sent = run_service(&fleet.vms[0], request(key, "b")).await;
        assert_matches!(&sent, Err(refusal) if refusal.field.as_deref() == Some("Idempotency-Key"));
        fleet.assert_not_run("b", sent).await;
    }
    assert_eq!(fleet.runs("a"), 1);
}

/// Guards against a second run of an order that is resent after its record has expired.
#[tokio::test]
async fn resend_after_expiry_does_not_run() {
    let fleet = Fleet::start().await;
    fleet.order(0, "a").await.expect("answer");
    fleet.log.advance_hours(13);
    assert_eq!(fleet.log.phase("a"), None);
    let resent = fleet.order(1, "a").await;
    assert_matches!(resent, Err(refusal) if refusal.run == RunState::Unknown);
    assert_eq!(fleet.runs("a"), 1);
}

/// Guards against an order that is abandoned when its caller closes the connection.
#[tokio::test]
async fn order_completes_after_its_caller_disconnects() {
    let fleet = Fleet::start().await;
    let left = tokio::time::timeout(Duration::from_millis(10), fleet.order(0, "a")).await;
    assert!(left.is_err(), "answered before the caller left");
    fleet.order(1, "a").await.expect("the recorded answer");
    assert_eq!(fleet.runs("a"), 1);
}
