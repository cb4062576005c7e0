//! Tests of the fair queue.

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use datadriven::TestCase;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use medlarlift::scheduling::fair_queue::DispatchDecision;
use medlarlift::scheduling::fair_queue::FairQueue;
use medlarlift::scheduling::fair_queue::FairQueueConfig;
use medlarlift::scheduling::fair_queue::QueueFull;
use medlarlift::scheduling::fair_queue::QueueItem;
use medlarlift::types::AccountName;
use medlarlift::types::MonoMs;
use medlarlift::types::Patience;

use crate::adapter;

const CONFIG: FairQueueConfig = FairQueueConfig {
    max_items: 400,
    patient_percent: 75,
    account_min_items: 4,
    promote_slack_ms: 1_000,
    service_base_ms: 100,
    service_us_per_token: 0,
    catch_up_tokens: 1_000,
    group_items: 3,
};

fn item(account: &str, class: Patience, on: &str, deadline: u64, id: u64) -> QueueItem<u64> {
    QueueItem {
        account: AccountName::from(account),
        weight: 1,
        class,
        tokens: 100,
        deadline: MonoMs(deadline),
        adapter: adapter(on),
        payload: id,
    }
}

/// Guards against items that are lost, served twice, served late or expired early, and against work
/// that runs on an adapter other than the one it requires.
#[test]
fn every_item_is_removed_once_and_in_time() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut queue = FairQueue::new(CONFIG);
        let mut held = BTreeMap::new();
        let mut now = 0;
        for id in 0..2_000_u64 {
            now += rng.random_range(0..20);
            let class = if rng.random() {
                Patience::Urgent
            } else {
                Patience::Patient
            };
            let account = format!("account-{}", rng.random_range(0..4));
            let on = format!("a{}", rng.random_range(0..6));
            let deadline = now + rng.random_range(50..3_000);
            let pushed = item(&account, class, &on, deadline, id);
            if let Ok(item_id) = queue.push(pushed.clone(), MonoMs(now)) {
                held.insert(id, (item_id, pushed));
            }
            let blocked = adapter(&format!("a{}", rng.random_range(0..6)));
            match rng.random_range(0..10) {
                0 if !held.is_empty() => {
                    let (item_id, expected) = held.pop_first().expect("not empty").1;
                    assert_eq!(queue.cancel(item_id), Some(expected), "seed {seed}");
                }
                1..7 => {
                    for late in queue.expired(MonoMs(now)) {
                        assert!(
                            late.deadline < MonoMs(now + CONFIG.service_base_ms),
                            "seed {seed}"
                        );
                        assert_eq!(held.remove(&late.payload).map(|held| held.1), Some(late));
                    }
                    let popped = queue.pop(MonoMs(now), |candidate| {
                        match candidate.adapter == blocked {
                            true => DispatchDecision::SkipAdapter,
                            false => DispatchDecision::Take,
                        }
                    });
                    let open = held.values().any(|(_, item)| item.adapter != blocked);
                    assert_eq!(
                        popped.is_some(),
                        open,
                        "seed {seed}: open work is not served"
                    );
                    if let Some(popped) = popped {
                        assert!(MonoMs(now + CONFIG.service_base_ms) <= popped.deadline);
                        assert_eq!(
                            held.remove(&popped.payload).map(|held| held.1),
                            Some(popped)
                        );
                    }
                }
                _ => {}
            }
            assert_eq!(queue.len(), held.len(), "seed {seed}");
            if id % 50 != 0 {
                continue;
            }
            let waiting: u32 = queue
                .waiting(MonoMs(now))
                .iter()
                .map(|w| w.urgent + w.patient)
                .sum();
            assert_eq!(waiting as usize, held.len(), "seed {seed}");
        }
    }
}

/// Guards against starvation of an account while others send more, larger or blocked work.
#[test]
fn no_account_starves() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut queue = FairQueue::new(CONFIG);
        let weights = [1_u32, 1, 2, 4];
        let mut served = [0.0_f64; 4];
        for round in 0..4_000 {
            for (index, weight) in weights.iter().enumerate() {
                // Account 0 floods with large items; the others keep a short backlog.
                let (pushes, tokens) = if index == 0 { (5, 500) } else { (1, 50) };
                let first = if round == 0 { 20 } else { 0 };
                for _ in 0..first + rng.random_range(0..=pushes * 2) {
                    let on = format!("a{}", rng.random_range(0..9));
                    let mut pushed = item(&format!("{index}"), Patience::Urgent, &on, u64::MAX, 0);
                    pushed.weight = *weight;
                    pushed.tokens = rng.random_range(1..=tokens);
                    let _ = queue.push(pushed, MonoMs(0));
                }
            }
            let popped = queue
                .pop(MonoMs(0), |_| DispatchDecision::Take)
                .expect("a backlog");
            let index: usize = popped.account.as_str().parse().expect("an index");
            served[index] += popped.tokens as f64 / f64::from(weights[index]);
            let lag = served.iter().fold(0.0_f64, |most, s| most.max(*s))
                - served.iter().fold(f64::INFINITY, |least, s| least.min(*s));
            // Start-time fair queueing bounds the lag by one item of each of the two accounts.
            assert!(lag <= 550.0, "seed {seed}: an account lags by {lag} tokens");
        }
    }
}

/// Guards against an account at five times its rate that fills the queue and blocks the others.
#[test]
fn one_account_cannot_fill_the_queue() {
    let mut queue = FairQueue::new(CONFIG);
    let mut refused = None;
    for id in 0..1_000 {
        let pushed = item("flood", Patience::Urgent, "a", 10_000, id);
        if let Err(rejected) = queue.push(pushed, MonoMs(0)) {
            refused = Some(rejected.reason);
        }
    }
    assert_matches!(
        refused,
        Some(QueueFull::Account {
            queued: 200,
            limit: 200,
            ..
        })
    );
    for account in ["b", "c", "d"] {
        for id in 0..20 {
            let pushed = item(account, Patience::Urgent, "a", 10_000, id);
            assert!(
                queue.push(pushed, MonoMs(0)).is_ok(),
                "{account} is refused item {id}"
            );
        }
    }
}

/// Guards against an overnight batch that leaves no room for urgent work of its own account.
#[test]
fn patient_work_leaves_room_for_urgent_work() {
    let mut queue = FairQueue::new(CONFIG);
    for id in 0..1_000 {
        let _ = queue.push(item("a", Patience::Patient, "x", u64::MAX, id), MonoMs(0));
    }
    for id in 0..50 {
        let pushed = item("a", Patience::Urgent, "x", 10_000, id);
        assert!(
            queue.push(pushed, MonoMs(0)).is_ok(),
            "urgent item {id} is refused"
        );
    }
}

/// Guards against an account that accumulates credit while its work is blocked by loads and patient
/// work of others is served, so that its excess overtakes the urgent work of others.
#[test]
fn patient_service_gives_no_credit_to_blocked_urgent_work() {
    let mut queue = FairQueue::new(CONFIG);
    for id in 0..50 {
        let pushed = item("flood", Patience::Urgent, &format!("cold{id}"), 9_000, id);
        queue.push(pushed, MonoMs(0)).expect("room");
        let pushed = item("batch", Patience::Patient, "warm", u64::MAX, id);
        queue.push(pushed, MonoMs(0)).expect("room");
    }
    let is_warm = |candidate: &QueueItem<u64>| match candidate.adapter == adapter("warm") {
        true => DispatchDecision::Take,
        false => DispatchDecision::SkipAdapter,
    };
    while queue.pop(MonoMs(0), is_warm).is_some() {}
    let pushed = item("other", Patience::Urgent, "needed", 9_000, 99);
    queue.push(pushed, MonoMs(0)).expect("room");
    let waiting = queue.waiting(MonoMs(0));
    let rank = waiting
        .iter()
        .position(|entry| entry.adapter == adapter("needed"));
    assert!(
        rank < Some(2),
        "the other account's adapter is number {rank:?} of {}",
        waiting.len()
    );
}

/// Guards against fairness by reserved tokens when most of them are not used.
#[test]
fn unused_tokens_are_credited_on_settlement() {
    let mut queue = FairQueue::new(CONFIG);
    for id in 0..4 {
        for account in ["a", "b"] {
            let pushed = item(account, Patience::Urgent, "x", 9_000, id);
            queue.push(pushed, MonoMs(0)).expect("room");
        }
    }
    let mut order = String::new();
    for _ in 0..5 {
        let popped = queue
            .pop(MonoMs(0), |_| DispatchDecision::Take)
            .expect("an item");
        order.push_str(popped.account.as_str());
        if popped.account.as_str() == "a" {
            queue.settle(&popped.account, popped.class, 100, 10);
        }
    }
    assert_eq!(
        order, "abaaa",
        "four items of account a cost less than one of b"
    );
}

/// Guards against changes of the serving order: classes, promotion, grouping and blocked adapters.
#[test]
fn scripts() {
    datadriven::walk("tests/data/load/fair_queue", |file| {
        let mut queue = FairQueue::new(CONFIG);
        file.run(|case| run(case, &mut queue));
    });
}

fn run(case: &TestCase, queue: &mut FairQueue<u64>) -> String {
    let number = |name: &str| -> u64 {
        let value = case.args.get(name).and_then(|values| values.first());
        value.map_or(0, |text| text.parse().expect("a number"))
    };
    let now = MonoMs(number("now"));
    match case.directive.as_str() {
        // Lines of: id account class adapter deadline
        "push" => {
            for line in case.input.lines() {
                let words: Vec<&str> = line.split_whitespace().collect();
                let class = Patience::parse(words[2]).expect("a class");
                let deadline = words[4].parse().expect("a deadline");
                let id = words[0].parse().expect("an id");
                let pushed = item(words[1], class, words[3], deadline, id);
                queue.push(pushed, now).expect("room");
            }
            format!("{} queued\n", queue.len())
        }
        "pop" => {
            let blocked = case.args.get("blocked").cloned().unwrap_or_default();
            let mut ids = Vec::new();
            for _ in 0..number("count").max(1) {
                let popped = queue.pop(now, |candidate| {
                    match blocked
                        .iter()
                        .any(|name| name == candidate.adapter.adapter())
                    {
                        true => DispatchDecision::SkipAdapter,
                        false => DispatchDecision::Take,
                    }
                });
                ids.push(popped.map_or("-".to_owned(), |item| item.payload.to_string()));
            }
            format!("{}\n", ids.join(" "))
        }
        "expired" => {
            let ids = queue.expired(now).into_iter();
            let ids: Vec<String> = ids.map(|item| item.payload.to_string()).collect();
            format!(
                "{}\n",
                if ids.is_empty() {
                    "-".to_owned()
                } else {
                    ids.join(" ")
                }
            )
        }
        "waiting" => {
            let waiting = queue.waiting(now).into_iter();
            let lines = waiting.map(|w| {
                format!(
                    "{} urgent={} patient={} slack={}\n",
                    w.adapter, w.urgent, w.patient, w.slack_ms
                )
            });
            lines.collect()
        }
        other => panic!("unknown directive {other}"),
    }
}
