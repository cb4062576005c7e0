//! Grants of the fleet's retry bucket over restarts of controllers and changes of the leader, in virtual
//! time.

use medlarlift::lease::HeldLease;
use medlarlift::limits::Ask;
use medlarlift::limits::BORROW_FORMAT;
use medlarlift::limits::BorrowRequest;
use medlarlift::limits::History;
use medlarlift::limits::LeasedIssuer;
use medlarlift::limits::RetryLimit;
use medlarlift::limits::retry_bucket;
use medlarlift::types::AccountName;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::ServiceName;
use medlarlift::types::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LIMIT: RetryLimit = RetryLimit {
    per_request: 0.2,
    reserve: 50.0,
    window_ms: WINDOW_MS,
};
/// Share of the reserve that the bucket may grant within a window.
const GRANTED_SHARE: f64 = 0.4;
const WINDOW_MS: u64 = 10_000;
const RUN_MS: u64 = 60_000;
const STEP_MS: u64 = 50;
const LEASE_MS: u64 = 200;
/// When the service is added to the configuration.
const ADDED_MS: u64 = 3_000;
const CONTROLLERS: usize = 3;
const SEEDS: u64 = 200;

/// A controller's view.
struct Controller {
    issuer: LeasedIssuer,
    /// Time from which it has the configuration with the service.
    configured_from: MonoMs,
    is_configured: bool,
}

impl Controller {
    fn start(configured_from: MonoMs) -> Self {
        Self {
            issuer: LeasedIssuer::new(share()),
            configured_from,
            is_configured: false,
        }
    }

    fn configure(&mut self, now: MonoMs) {
        if self.is_configured || now < self.configured_from {
            return;
        }
        self.is_configured = true;
        let history = History::new(LIMIT.bucket_limits(share()));
        self.issuer.set_history(now, bucket(), history);
    }
}

fn share() -> DataCentre {
    DataCentre::new("fleet")
}

fn bucket() -> AccountName {
    retry_bucket(&ServiceName::from("desk"))
}

fn ask() -> BorrowRequest {
    BorrowRequest {
        format: BORROW_FORMAT,
        vm: VmName::from("vm"),
        incarnation: 1,
        asks: vec![Ask {
            account: bucket(),
            need_tokens: 100,
            ahead_tokens: 0,
        }],
        return_sequence: 0,
        returns: Vec::new(),
    }
}

/// Retries granted in each step. VMs always ask for more; controllers restart and lead in random order, and
/// apply the configuration with the service some time after their start.
fn play(seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let added = MonoMs(ADDED_MS);
    let mut controllers: Vec<Controller> =
        (0..CONTROLLERS).map(|_| Controller::start(added)).collect();
    let (mut leader, mut since, mut term) = (0, MonoMs(0), 1);
    let mut granted = Vec::new();
    for now in (0..RUN_MS).step_by(STEP_MS as usize) {
        let now = MonoMs(now);
        if rng.random_bool(0.02) {
            let all = rng.random_bool(0.5);
            for controller in &mut controllers {
                if all || rng.random_bool(0.4) {
                    let delay_ms = rng.random_range(0..1_000);
                    *controller = Controller::start(now.plus(delay_ms).max(added));
                }
            }
            (leader, since, term) = (rng.random_range(0..CONTROLLERS), now, term + 1);
        }
        for (number, controller) in controllers.iter_mut().enumerate() {
            controller.configure(now);
            let held = (number == leader && now >= since).then(|| HeldLease {
                term,
                since,
                deadline: now.plus(LEASE_MS),
                required_index: 0,
                settled_index: 0,
            });
            let reply = controller.issuer.receive(now, held, &ask());
            if number == leader {
                granted.push(reply.grants.iter().map(|grant| grant.tokens).sum());
            }
        }
    }
    granted
}

/// Guards against a bucket that begins full again after a restart or with another leader.
#[test]
fn a_service_that_was_added_later_gets_no_full_bucket_from_each_leader() {
    let allowed = GRANTED_SHARE * LIMIT.reserve;
    let worst = |seed| {
        let granted = play(seed);
        assert!(
            granted.iter().sum::<u64>() > 0,
            "seed {seed}: nothing granted"
        );
        let windows = granted.windows((WINDOW_MS / STEP_MS) as usize);
        windows.map(|window| window.iter().sum::<u64>()).max()
    };
    let worst = (0..SEEDS).filter_map(worst).max().unwrap_or(0);
    assert!(
        worst as f64 <= allowed,
        "{worst} granted in a window, {allowed} allowed"
    );
}
