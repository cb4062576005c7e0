//! An account far above its rate while the fleet's token buckets move to another VM: the buckets and what the VMs
//! grant by themselves in between stay within the limit.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::join_all;
use medlarlift::gateway::BucketReachability;
use medlarlift::gateway::Quota;
use medlarlift::gateway::account_limit_history;
use medlarlift::gateway::deployment::Account;
use medlarlift::gateway::deployment::QuotaUnit;
use medlarlift::gateway::fleet_share;
use medlarlift::lease::HeldLease;
use medlarlift::limits::BorrowPeers;
use medlarlift::limits::BorrowReply;
use medlarlift::limits::BorrowRequest;
use medlarlift::limits::NoCoordinator;
use medlarlift::limits::Server;
use medlarlift::types::AccountName;
use medlarlift::types::Clock;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::VmName;
use tokio::time::sleep;

const VMS: usize = 78;
const RATE_TOKENS_PER_S: u64 = 285_000;
const REQUEST_TOKENS: u64 = 1_500;
/// Requests of the usual demand that each VM gets per second, and times as many in the flood.
const USUAL_PER_S: f64 = 1.0;
const FLOOD_FACTOR: f64 = 6.0;
/// Time for which a request waits for tokens while the buckets are not reached, and time between two attempts.
const WAIT_MS: u64 = 1_200;
const RETRY_MS: u64 = 100;
/// Times since the start at which the buckets' holder fails, the flood begins, and the next holder has the buckets.
const FAILS_MS: u64 = 2_650;
const FLOOD_MS: u64 = 2_110;
const MOVES_MS: u64 = 3_400;
/// Begin and length of the period in which the granted tokens are counted.
const WINDOW_MS: u64 = 1_600;
const WINDOW_LENGTH_MS: u64 = 8_000;
/// Overage that operators tolerate on rate and burst, and tokens in addition to it.
const TOLERANCE: f64 = 1.1;
const SLACK_TOKENS: f64 = 17_000.0;

fn account() -> Account {
    Account {
        name: AccountName::from("acme"),
        rate_per_s: RATE_TOKENS_PER_S,
        burst: RATE_TOKENS_PER_S,
        priority: None,
        unit: QuotaUnit::Tokens { plain_tokens: 200 },
    }
}

/// A holder of the buckets, with the lease of `term`, which began when it is created.
fn holder(clock: Clock, term: u64) -> Server {
    let since = clock.mono();
    let lease = move || {
        Some(HeldLease {
            term,
            since,
            deadline: clock.mono().plus(1_000),
            required_index: 0,
            settled_index: 0,
        })
    };
    let server = Server::spawn(fleet_share(), clock, Arc::new(lease));
    let account = account();
    server.set_history(account.name.clone(), account_limit_history(&account, 1));
    server
}

/// The present holder of the buckets, if there is one.
#[derive(Clone, Default)]
struct Holder(Arc<Mutex<Option<Server>>>);

impl Holder {
    fn set(&self, server: Option<Server>) {
        *self.0.lock().unwrap() = server;
    }
}

struct Peers {
    holder: Holder,
    reachability: BucketReachability,
}

impl BorrowPeers for Peers {
    fn borrow(
        &self,
        data_centre: DataCentre,
        request: BorrowRequest,
    ) -> BoxFuture<'static, Result<BorrowReply, NoCoordinator>> {
        let reply = self
            .holder
            .0
            .lock()
            .unwrap()
            .as_ref()
            .map(|holder| holder.receive(&request));
        self.reachability.set(reply.is_some());
        async move {
            reply.ok_or(NoCoordinator {
                data_centre,
                reason: "down".to_owned(),
            })
        }
        .boxed()
    }
}

/// One request, which waits for tokens as long as the buckets are not reached. Returns the tokens that were granted
/// to it in the window.
async fn request(clock: Clock, quota: Arc<Quota>) -> u64 {
    let account = account();
    let give_up = clock.mono().plus(WAIT_MS);
    while quota.take(&account, REQUEST_TOKENS).await.is_err() {
        if quota.is_reached() || clock.mono() >= give_up {
            return 0;
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
    match clock.mono() >= MonoMs(WINDOW_MS) {
        true => REQUEST_TOKENS,
        false => 0,
    }
}

/// Sends the requests of one VM until the end; returns the tokens that were granted in the window.
async fn send_requests(number: usize, clock: Clock, quota: Arc<Quota>) -> u64 {
    let mut requests = Vec::new();
    sleep(Duration::from_millis(10 * number as u64)).await;
    loop {
        let now = clock.mono();
        if now.since(MonoMs(WINDOW_MS)) >= WINDOW_LENGTH_MS {
            break;
        }
        requests.push(tokio::spawn(request(clock, Arc::clone(&quota))));
        let factor = if now < MonoMs(FLOOD_MS) {
            1.0
        } else {
            FLOOD_FACTOR
        };
        sleep(Duration::from_secs_f64(1.0 / (USUAL_PER_S * factor))).await;
    }
    let granted = join_all(requests).await;
    granted.into_iter().map(Result::unwrap).sum()
}

/// Guards against a limit that is exceeded by what each VM grants while the buckets are out of reach and filling.
#[tokio::test]
async fn an_account_in_a_flood_stays_within_its_limit_while_the_buckets_move() {
    let clock = Clock::start();
    let present = Holder::default();
    present.set(Some(holder(clock, 1)));
    let mut reachabilities = Vec::new();
    let vms = (0..VMS).map(|number| {
        let reachability = BucketReachability::default();
        reachabilities.push(reachability.clone());
        let peers = Arc::new(Peers {
            holder: present.clone(),
            reachability: reachability.clone(),
        });
        let vm = VmName::from(format!("entry-{number}"));
        let quota = Quota::spawn(vm, 1, clock, peers, reachability);
        quota.set_entry_vms(VMS as u32);
        quota.set_account(&account(), 1);
        tokio::spawn(send_requests(number, clock, Arc::new(quota)))
    });
    let vms: Vec<_> = vms.collect();
    sleep(Duration::from_millis(FAILS_MS)).await;
    present.set(None);
    sleep(Duration::from_millis(MOVES_MS - FAILS_MS)).await;
    present.set(Some(holder(clock, 2)));
    for reachability in &reachabilities {
        reachability.on_bucket_moved(clock.mono());
    }
    let granted = join_all(vms)
        .await
        .into_iter()
        .map(Result::unwrap)
        .sum::<u64>();
    let seconds = WINDOW_LENGTH_MS as f64 / 1_000.0 + 1.0;
    let allowed = RATE_TOKENS_PER_S as f64 * seconds * TOLERANCE + SLACK_TOKENS;
    println!("{granted} of {allowed} tokens");
    assert!(granted as f64 <= allowed, "{granted} of {allowed} tokens");
}
