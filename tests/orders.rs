//! Orders and jobs: at most one dispatcher may run a call, even if commands are resent, delayed or
//! lost.

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use bytes::Bytes;
use medlarlift::control::Command;
use medlarlift::control::EARLIEST_TICK;
use medlarlift::control::JobAccept;
use medlarlift::control::JobClaim;
use medlarlift::control::JobCommand;
use medlarlift::control::JobReply;
use medlarlift::control::JobStatus;
use medlarlift::control::MAX_JOB_BYTES;
use medlarlift::control::MAX_JOB_REQUEST_BYTES;
use medlarlift::control::MAX_JOB_RESULT_BYTES;
use medlarlift::control::MAX_ORDER_LIFETIME_MS;
use medlarlift::control::MAX_ORDER_RESULT_BYTES;
use medlarlift::control::MAX_RELEASES;
use medlarlift::control::MAX_TICK_BACK_MS;
use medlarlift::control::MAX_TICK_STEP_MS;
use medlarlift::control::OrderCommand;
use medlarlift::control::OrderIntent;
use medlarlift::control::OrderKey;
use medlarlift::control::OrderReply;
use medlarlift::control::Outcome;
use medlarlift::control::Owner;
use medlarlift::control::RecordedResult;
use medlarlift::control::Sha256Hash;
use medlarlift::control::State;
use medlarlift::control::TOMBSTONE_MS;
use medlarlift::types::UnixMs;
use proptest::prelude::*;

const START_MS: u64 = EARLIEST_TICK.0 + 1_000_000;
const LIFE_MS: u64 = 50_000;

/// A state with helpers that apply commands.
#[derive(Default)]
struct Log {
    state: State,
    index: u64,
}

impl Log {
    fn started() -> Self {
        let mut log = Self::default();
        log.tick(START_MS);
        log
    }

    fn apply(&mut self, command: &Command) -> Outcome {
        self.index += 1;
        self.state.apply(self.index, command)
    }

    fn order(&mut self, command: &OrderCommand) -> OrderReply {
        match self.apply(&Command::Order(command.clone())) {
            Outcome::Order(reply) => reply,
            other => panic!("unexpected outcome {other:?}"),
        }
    }

    fn intend(&mut self, intent: &OrderIntent) -> OrderReply {
        self.order(&OrderCommand::Intent(intent.clone()))
    }

    fn job(&mut self, command: JobCommand) -> JobReply {
        match self.apply(&Command::Job(command)) {
            Outcome::Job(reply) => reply,
            other => panic!("unexpected outcome {other:?}"),
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.apply(&Command::Tick {
            now: UnixMs(now_ms),
        });
    }

    /// Ticks until the state's time is `now_ms`; each tick moves it by a limited step.
    fn advance(&mut self, now_ms: u64) {
        while self.state.now() < UnixMs(now_ms) {
            self.tick(now_ms);
        }
    }

    fn lose(&mut self, vm: &str, incarnation: u64) -> Outcome {
        self.apply(&Command::OwnerLost {
            vm: vm.into(),
            incarnation,
        })
    }

    fn restore(&mut self) {
        let bytes = self.state.to_bytes();
        self.state = State::from_bytes(&bytes).expect("a snapshot is decodable");
        assert_eq!(self.state.to_bytes(), bytes);
    }
}

fn intent(dispatch_id: u64) -> OrderIntent {
    OrderIntent {
        key: OrderKey {
            account: "acme".into(),
            key_hash: Sha256Hash::of(b"idempotency key"),
        },
        body_hash: Sha256Hash::of(b"body"),
        owner: owner(dispatch_id),
        dispatch_id,
        at: UnixMs(START_MS),
        expires_unix_ms: UnixMs(START_MS + LIFE_MS),
    }
}

fn owner(dispatch_id: u64) -> Owner {
    Owner {
        vm: format!("vm{}", dispatch_id % 2).into(),
        incarnation: 1,
    }
}

fn result(text: &str) -> RecordedResult {
    RecordedResult {
        status: 200,
        content_type: Some("application/json".to_owned()),
        body: Some(Bytes::copy_from_slice(text.as_bytes())),
    }
}

fn outcome(dispatch_id: u64, text: &str) -> OrderCommand {
    OrderCommand::Outcome {
        key: intent(dispatch_id).key,
        dispatch_id,
        result: result(text),
    }
}

/// Guards against a grant for a second dispatcher, a second outcome, and a resend that is not
/// answered with the recorded response.
#[test]
fn resends_get_the_first_outcome() {
    let mut log = Log::started();
    assert_eq!(log.intend(&intent(1)), OrderReply::Granted);
    assert_eq!(log.intend(&intent(1)), OrderReply::Granted);
    let same_vm = OrderIntent {
        owner: owner(1),
        ..intent(3)
    };
    assert_matches!(log.intend(&same_vm), OrderReply::InProgress { .. });
    let other_body = OrderIntent {
        body_hash: Sha256Hash::of(b"other"),
        ..intent(2)
    };
    assert_eq!(log.intend(&other_body), OrderReply::BodyConflict);
    assert_eq!(log.order(&outcome(2, "wrong")), OrderReply::Stale);
    assert_eq!(
        log.order(&outcome(1, "first")),
        OrderReply::Recorded(result("first"))
    );
    assert_eq!(
        log.order(&outcome(1, "second")),
        OrderReply::Recorded(result("first"))
    );
    assert_eq!(
        log.intend(&intent(1)),
        OrderReply::Recorded(result("first"))
    );
    assert_eq!(
        log.intend(&intent(2)),
        OrderReply::Recorded(result("first"))
    );
    let release = OrderCommand::Release(intent(1));
    assert_eq!(log.order(&release), OrderReply::Recorded(result("first")));
    let mut other_account = intent(4);
    other_account.key.account = "other".into();
    assert_eq!(log.intend(&other_account), OrderReply::Granted);
}

/// Guards against a second run of an expired order while its tombstone is kept, and when a clock
/// that temporarily jumps ahead would remove the tombstone.
#[test]
fn expired_orders_do_not_run_again() {
    let mut log = Log::started();
    assert_eq!(log.intend(&intent(1)), OrderReply::Granted);
    log.advance(START_MS + LIFE_MS);
    log.restore();
    let late = OrderIntent {
        expires_unix_ms: UnixMs(START_MS + 2 * LIFE_MS),
        ..intent(2)
    };
    assert_eq!(log.intend(&late), OrderReply::Expired);
    assert_eq!(log.order(&outcome(1, "late")), OrderReply::Expired);
    log.tick(START_MS + 10 * TOMBSTONE_MS);
    assert_eq!(
        log.state.now().since(UnixMs(START_MS + LIFE_MS)),
        MAX_TICK_STEP_MS
    );
    log.tick(START_MS + LIFE_MS + 1);
    assert_eq!(log.state.now(), UnixMs(START_MS + LIFE_MS + 1));
    assert_eq!(log.intend(&late), OrderReply::Expired);
    log.advance(START_MS + LIFE_MS + TOMBSTONE_MS);
    assert_eq!(log.state.orders().tombstones(), 0);
    assert_eq!(log.intend(&late), OrderReply::Expired);
}

/// Guards against ticks of a leader with a wrong clock that move the state's time too far to
/// recover.
#[test]
fn ticks_of_a_wrong_clock_have_bounded_effect() {
    let mut log = Log::started();
    let now = |log: &Log| log.state.now().0;
    log.tick(START_MS + 3 * MAX_TICK_STEP_MS);
    assert_eq!(now(&log), START_MS + 3 * MAX_TICK_STEP_MS);
    log.tick(START_MS);
    assert_eq!(log.intend(&intent(1)), OrderReply::Granted);
    for far_back in [0, 1, EARLIEST_TICK.0 - 1] {
        log.tick(far_back);
        assert_eq!(now(&log), START_MS);
    }
    log.tick(START_MS + 3 * MAX_TICK_STEP_MS);
    assert_eq!(now(&log), START_MS + MAX_TICK_STEP_MS);
    log.tick(START_MS);
    assert_eq!(now(&log), START_MS);
    log.advance(START_MS + 2 * MAX_TICK_BACK_MS);
    log.tick(START_MS);
    assert_eq!(now(&log), START_MS + 2 * MAX_TICK_BACK_MS);
}

/// Guards against a second run of an order with an unknown outcome, and against a grant for a
/// process that is known to have ended.
#[test]
fn orders_of_lost_owners_are_unknown() {
    let mut log = Log::started();
    assert_eq!(log.intend(&intent(1)), OrderReply::Granted);
    assert_matches!(
        log.lose("vm1", 1),
        Outcome::OwnerLost {
            orders_unknown: 1,
            ..
        }
    );
    log.restore();
    assert_eq!(log.intend(&intent(1)), OrderReply::Unknown);
    assert_eq!(log.intend(&intent(2)), OrderReply::Unknown);
    let mut fresh = intent(3);
    fresh.key.key_hash = Sha256Hash::of(b"fresh");
    assert_eq!(log.intend(&fresh), OrderReply::OwnerGone);
    fresh.owner.incarnation = 2;
    assert_eq!(log.intend(&fresh), OrderReply::Granted);
    assert_eq!(
        log.order(&outcome(1, "late")),
        OrderReply::Recorded(result("late"))
    );
}

/// Guards against a delayed intent that is granted after its dispatcher has answered "not run", and
/// against an order that no dispatcher can run after it was released.
#[test]
fn released_orders_can_be_granted_to_another_dispatcher() {
    let mut log = Log::started();
    let release = |id| OrderCommand::Release(intent(id));
    assert_eq!(log.order(&release(1)), OrderReply::Released);
    assert_eq!(log.intend(&intent(1)), OrderReply::Released);
    for id in 2..=MAX_RELEASES as u64 {
        assert_eq!(log.intend(&intent(id)), OrderReply::Granted);
        assert_eq!(log.intend(&intent(1)), OrderReply::Released);
        assert_eq!(log.order(&release(id)), OrderReply::Released);
    }
    assert_matches!(log.intend(&intent(99)), OrderReply::Refused(_));
}

/// Guards against unlimited record lifetimes and response sizes, and against one account that uses
/// up the capacity of all others.
#[test]
fn limits_are_enforced() {
    let mut log = Log::started();
    let mut long = intent(1);
    long.expires_unix_ms = UnixMs(START_MS + MAX_ORDER_LIFETIME_MS + 1);
    assert_matches!(log.intend(&long), OrderReply::Refused(e) if e.field == "expires_unix_ms");
    assert_eq!(log.intend(&intent(1)), OrderReply::Granted);
    let large = "x".repeat(MAX_ORDER_RESULT_BYTES + 1);
    assert_matches!(
        log.order(&outcome(1, &large)),
        OrderReply::Recorded(RecordedResult {
            status: 200,
            body: None,
            ..
        })
    );
    let mut refused = None;
    let share = MAX_JOB_BYTES / 2 / MAX_JOB_RESULT_BYTES;
    for number in 0..=share {
        let mut accept = accept(&format!("job{number}"));
        accept.result_bytes = MAX_JOB_RESULT_BYTES as u32;
        if let JobReply::Refused(error) = log.job(JobCommand::Accept(accept)) {
            refused.get_or_insert((number, error));
        }
    }
    assert_matches!(refused, Some((_, error)) if error.field == "jobs" && error.value.contains("acme"));
    let mut other = accept("other");
    other.account = "other".into();
    assert_eq!(log.job(JobCommand::Accept(other)), JobReply::Accepted);
    let mut big = accept("big");
    big.account = "other".into();
    big.request = Bytes::from(vec![0; MAX_JOB_REQUEST_BYTES + 1]);
    assert_matches!(log.job(JobCommand::Accept(big)), JobReply::Refused(e) if e.field == "request");
}

fn accept(job: &str) -> JobAccept {
    JobAccept {
        job: job.into(),
        account: "acme".into(),
        request: Bytes::from_static(b"request"),
        result_bytes: 1_000,
        repeatable: true,
        at: UnixMs(START_MS),
        deadline_unix_ms: UnixMs(START_MS + LIFE_MS),
        keep_until_unix_ms: UnixMs(START_MS + 2 * LIFE_MS),
    }
}

fn job_claim(claim_id: u64, attempt: u32) -> JobClaim {
    JobClaim {
        owner: owner(claim_id),
        claim_id,
        attempt,
    }
}

fn claim(claim_id: u64, attempt: u32) -> JobCommand {
    JobCommand::Claim {
        job: "job".into(),
        claim: job_claim(claim_id, attempt),
    }
}

fn finish(claim_id: u64, attempt: u32) -> JobCommand {
    JobCommand::Finish {
        job: "job".into(),
        claim: job_claim(claim_id, attempt),
        result: result(&format!("attempt {attempt}")),
    }
}

/// Guards against two owners of one job, and against accepting the result of a stale attempt.
#[test]
fn stale_attempts_are_ignored() {
    let mut log = Log::started();
    assert_eq!(
        log.job(JobCommand::Accept(accept("job"))),
        JobReply::Accepted
    );
    assert_eq!(
        log.job(JobCommand::Accept(accept("job"))),
        JobReply::Accepted
    );
    let mut other = accept("job");
    other.request = Bytes::from_static(b"other");
    assert_eq!(log.job(JobCommand::Accept(other)), JobReply::Conflict);
    assert_matches!(log.job(claim(1, 2)), JobReply::NotClaimable { .. });
    assert_eq!(log.job(claim(1, 1)), JobReply::Claimed { attempt: 1 });
    assert_eq!(log.job(claim(1, 1)), JobReply::Claimed { attempt: 1 });
    assert_matches!(log.job(claim(3, 1)), JobReply::NotClaimable { .. });
    assert_matches!(log.job(claim(2, 2)), JobReply::NotClaimable { .. });
    assert_matches!(
        log.lose("vm1", 1),
        Outcome::OwnerLost {
            jobs_requeued: 1,
            ..
        }
    );
    assert_eq!(log.job(finish(1, 1)), JobReply::Stale { attempt: 1 });
    assert_eq!(log.job(claim(3, 2)), JobReply::OwnerGone);
    assert_eq!(log.job(claim(2, 2)), JobReply::Claimed { attempt: 2 });
    log.restore();
    assert_eq!(log.job(finish(1, 1)), JobReply::Stale { attempt: 2 });
    assert_eq!(log.job(finish(4, 2)), JobReply::Stale { attempt: 2 });
    assert_eq!(log.job(finish(2, 2)), JobReply::Finished);
    assert_eq!(
        log.job(claim(2, 3)),
        JobReply::NotClaimable {
            status: JobStatus::Done,
            attempt: 2
        }
    );
    let cancel = JobCommand::Cancel {
        job: "job".into(),
        account: "acme".into(),
    };
    assert_eq!(log.job(cancel), JobReply::Ended(JobStatus::Done));
    log.advance(START_MS + 2 * LIFE_MS);
    assert!(log.state.jobs().is_empty());
    assert_eq!(
        log.job(JobCommand::Accept(accept("job"))),
        JobReply::Expired
    );
}

/// Guards against cancellation by another account, a cancelled job that runs, a job that stays
/// queued after its deadline, and a second run of a job that may not be repeated.
#[test]
fn jobs_end_once() {
    let mut log = Log::started();
    let cancel = |account: &str| JobCommand::Cancel {
        job: "job".into(),
        account: account.into(),
    };
    assert_eq!(
        log.job(JobCommand::Accept(accept("job"))),
        JobReply::Accepted
    );
    assert_eq!(log.job(cancel("other")), JobReply::NotFound);
    assert_eq!(log.job(cancel("acme")), JobReply::Cancelled);
    assert_eq!(log.job(cancel("acme")), JobReply::Cancelled);
    assert_matches!(log.job(claim(1, 1)), JobReply::NotClaimable { .. });
    let mut once = accept("once");
    once.repeatable = false;
    assert_eq!(log.job(JobCommand::Accept(once)), JobReply::Accepted);
    assert_eq!(
        log.job(JobCommand::Accept(accept("late"))),
        JobReply::Accepted
    );
    let claim_once = JobCommand::Claim {
        job: "once".into(),
        claim: job_claim(1, 1),
    };
    assert_eq!(log.job(claim_once), JobReply::Claimed { attempt: 1 });
    assert_matches!(
        log.lose("vm1", 1),
        Outcome::OwnerLost {
            jobs_unknown: 1,
            ..
        }
    );
    assert_eq!(log.state.jobs().queued().count(), 1);
    log.advance(START_MS + LIFE_MS);
    let status = |log: &Log, id| log.state.jobs().get(id).map(|job| job.status());
    assert_eq!(status(&log, "once"), Some(JobStatus::Unknown));
    assert_eq!(status(&log, "late"), Some(JobStatus::Missed));
}

/// A step of the order simulation.
#[derive(Clone, Copy, Debug)]
enum Step {
    Intend { dispatcher: u64 },
    GiveUp { dispatcher: u64 },
    Finish { dispatcher: u64 },
    Redeliver { index: usize },
    Lose { vm: u64 },
    Tick { ms: u64 },
    Restore,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let dispatcher = 0..5u64;
    let step = prop_oneof![
        4 => dispatcher.clone().prop_map(|dispatcher| Step::Intend { dispatcher }),
        2 => dispatcher.clone().prop_map(|dispatcher| Step::GiveUp { dispatcher }),
        2 => dispatcher.prop_map(|dispatcher| Step::Finish { dispatcher }),
        5 => any::<prop::sample::Index>().prop_map(|i| Step::Redeliver { index: i.index(64) }),
        1 => (0..2u64).prop_map(|vm| Step::Lose { vm }),
        1 => (0..20_000u64).prop_map(|ms| Step::Tick { ms }),
        1 => Just(Step::Restore),
    ];
    prop::collection::vec(step, 1..60)
}

/// Dispatchers that resend, give up and resume after their process was declared lost. The log may
/// deliver any command any number of times.
#[derive(Default)]
struct Dispatchers {
    sent: Vec<OrderCommand>,
    granted: Vec<u64>,
    recorded: Option<RecordedResult>,
}

impl Dispatchers {
    fn deliver(&mut self, log: &mut Log, command: &OrderCommand) {
        let was_expired = log.state.orders().is_tombstone(&intent(0).key);
        let reply = log.order(command);
        if let OrderReply::Recorded(result) = &reply {
            let first = self.recorded.get_or_insert_with(|| result.clone());
            assert_eq!(first, result, "a resend got another response");
        }
        let OrderCommand::Intent(intent) = command else {
            return;
        };
        let dispatcher = intent.dispatch_id;
        if reply != OrderReply::Granted {
            return;
        }
        assert!(!was_expired, "an expired order was granted");
        assert!(
            self.recorded.is_none(),
            "an order with an outcome was granted"
        );
        let released = self
            .sent
            .iter()
            .any(|c| matches!(c, OrderCommand::Release(i) if i.dispatch_id == dispatcher));
        assert!(
            !released,
            "an order was granted to a dispatcher that released it"
        );
        if !self.granted.contains(&dispatcher) {
            self.granted.push(dispatcher);
        }
        assert!(
            self.granted.len() <= 1,
            "an order was granted to dispatchers {:?}",
            self.granted
        );
    }

    fn step(&mut self, log: &mut Log, step: Step) {
        match step {
            Step::Intend { dispatcher } => self.send(log, OrderCommand::Intent(intent(dispatcher))),
            Step::GiveUp { dispatcher } if !self.granted.contains(&dispatcher) => {
                self.send(log, OrderCommand::Release(intent(dispatcher)));
            }
            Step::Finish { dispatcher } if self.granted.contains(&dispatcher) => {
                let text = format!("response {}", self.sent.len());
                self.send(log, outcome(dispatcher, &text));
            }
            Step::GiveUp { .. } | Step::Finish { .. } => {}
            Step::Redeliver { index } if !self.sent.is_empty() => {
                let command = self.sent[index % self.sent.len()].clone();
                self.deliver(log, &command);
            }
            Step::Redeliver { .. } => {}
            Step::Lose { vm } => {
                log.lose(&format!("vm{vm}"), 1);
            }
            Step::Tick { ms } => log.tick(log.state.now().0 + ms),
            Step::Restore => log.restore(),
        }
    }

    fn send(&mut self, log: &mut Log, command: OrderCommand) {
        self.sent.push(command.clone());
        self.deliver(log, &command);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Guards against a second run of an order when commands are resent, delayed or lost and when
    /// the state is restored.
    #[test]
    fn an_order_runs_at_most_once(steps in steps()) {
        let mut log = Log::started();
        let mut dispatchers = Dispatchers::default();
        for step in steps {
            dispatchers.step(&mut log, step);
        }
    }

    /// Guards against two claims of one attempt, against a result that changes, and against a
    /// second run of a job that may not be repeated.
    #[test]
    fn a_job_attempt_has_one_claim(
        repeatable in any::<bool>(),
        steps in prop::collection::vec((0..6u8, 0..4u64, 1..4u32), 1..60),
    ) {
        let mut log = Log::started();
        let mut job = accept("job");
        job.repeatable = repeatable;
        log.job(JobCommand::Accept(job));
        let mut claimed: BTreeMap<u32, u64> = BTreeMap::new();
        let mut finished = None;
        for (kind, dispatcher, attempt) in steps {
            match kind {
                0..=1 => if log.job(claim(dispatcher, attempt)) == (JobReply::Claimed { attempt }) {
                    prop_assert_eq!(*claimed.entry(attempt).or_insert(dispatcher), dispatcher);
                    prop_assert!(finished.is_none());
                },
                2 => if log.job(finish(dispatcher, attempt)) == JobReply::Finished {
                    prop_assert_eq!(claimed.get(&attempt), Some(&dispatcher));
                    prop_assert_eq!(claimed.keys().last(), Some(&attempt));
                    prop_assert!(finished.replace(attempt).is_none());
                },
                3 => { log.lose(&format!("vm{}", dispatcher % 2), 1); }
                4 => log.tick(log.state.now().0 + 5_000),
                _ => log.restore(),
            }
        }
        prop_assert!(repeatable || claimed.len() <= 1);
    }
}
