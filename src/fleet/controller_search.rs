//! Search of an entry VM that is linked to no controller, or only to such as have no leader: it asks other entry
//! VMs which ones they are linked to, and dials these for a while.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde::Serialize;
use tokio::time::sleep;

use super::control_links::link_address;
use super::controller_client::ControllerClient;
use crate::events::Event;
use crate::events::Severity;
use crate::gateway::Gateway;
use crate::types::MonoMs;
use crate::types::VmName;

/// Interval at which the links are looked at.
const POLL_INTERVAL_MS: u64 = 250;
/// Time without a controller that is up to date after which others are asked for the first time.
const OUTDATED_MS: u64 = 1_000;
/// Delay before others are asked again; doubles each time.
const MIN_DELAY_MS: u64 = 500;
/// Greatest delay.
const MAX_DELAY_MS: u64 = 4_000;
/// VMs that are asked at a time.
const MAX_ASKED: usize = 3;
/// Most controllers that are taken from the answers.
const MAX_NAMED: usize = 8;
/// Time for which a controller that others named is dialed without a link.
const DIAL_MS: u64 = 10_000;

/// Log line: other entry VMs were asked for controllers.
#[derive(Clone, Debug, Serialize)]
struct ControllerSearch {
    asked: Vec<SocketAddr>,
    /// How many of them answered.
    answers: usize,
    named: BTreeSet<VmName>,
}

impl Event for ControllerSearch {
    const KIND: &'static str = "controller_search";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// When others are asked next.
struct Schedule {
    due: MonoMs,
    delay_ms: u64,
}

impl Schedule {
    fn starting(now: MonoMs) -> Self {
        Self {
            due: now.plus(OUTDATED_MS),
            delay_ms: MIN_DELAY_MS,
        }
    }

    fn defer(&mut self, now: MonoMs) {
        self.due = now.plus(self.delay_ms);
        self.delay_ms = (self.delay_ms * 2).min(MAX_DELAY_MS);
    }
}

/// Searches for controllers whenever no linked one is up to date. `link_port` is the port at which they accept links.
pub(super) async fn run(controllers: Arc<ControllerClient>, gateway: Arc<Gateway>, link_port: u16) {
    let mut schedule: Option<Schedule> = None;
    loop {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let now = controllers.clock.mono();
        controllers.forget_heard(now);
        if gateway.is_up_to_date() {
            schedule = None;
            continue;
        }
        let schedule = schedule.get_or_insert_with(|| Schedule::starting(now));
        if now < schedule.due {
            continue;
        }
        let named = ask(&gateway).await;
        let now = controllers.clock.mono();
        schedule.defer(now);
        let addresses = named.iter().filter_map(|vm| link_address(vm, link_port));
        controllers.hear(addresses.collect(), now.plus(DIAL_MS));
    }
}

/// Asks some other entry VMs which controllers they are linked to.
async fn ask(gateway: &Gateway) -> BTreeSet<VmName> {
    let asked = gateway.draw_other_entry_vms(MAX_ASKED);
    if asked.is_empty() {
        return BTreeSet::new();
    }
    let questions = asked
        .iter()
        .map(|address| gateway.ask_for_controllers(*address));
    let answers: Vec<Vec<VmName>> = join_all(questions).await.into_iter().flatten().collect();
    let named: BTreeSet<VmName> = answers.iter().flatten().take(MAX_NAMED).cloned().collect();
    gateway.events().emit(&ControllerSearch {
        asked,
        answers: answers.len(),
        named: named.clone(),
    });
    named
}
