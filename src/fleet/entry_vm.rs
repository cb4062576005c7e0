//! An entry VM: its gateway, its links to the controllers, and its shutdown.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::borrow_client::BorrowClient;
use super::control_links::link_address;
use super::controller_client::ControllerClient;
use super::controller_search;
use super::log_line::Lifecycle;
use super::state_questions;
use crate::gateway::Acceptor;
use crate::gateway::ControllerRequests;
use crate::gateway::Gateway;
use crate::gateway::GatewayConfig;
use crate::gateway::Quota;
use crate::gateway::Readiness;
use crate::link::Dialer;
use crate::link::Handler;
use crate::link::Hello;
use crate::mechanisms::Mechanism;
use crate::types::VmName;

/// Interval of the periodic tasks.
const TICK_MS: u64 = 150;
/// Interval at which the VM notes that it runs.
const OBSERVE_MS: u64 = 100;
/// Time for which uses of adapters and withdrawn demands are batched before they are sent.
const BATCH_DELAY_MS: u64 = 10;
/// Ticks between two repetitions of the demand for adapters.
const DEMAND_TICKS: u64 = 2;
/// Ticks between two repetitions of the limits of backend servers.
const LIMIT_TICKS: u64 = 24;
/// Ticks between two attempts to connect to servers that could not be connected to.
const PROBE_TICKS: u64 = 2;
/// Ticks between two prunings of idle connections.
const PRUNE_TICKS: u64 = 7;
/// Time for which new connections are accepted after the VM reported that it is not ready.
const ACCEPT_AFTER_DRAIN_MS: u64 = 2_300;
/// Time before the end of the drain at which requests without a server get their final response.
const FINAL_RESPONSE_MS: u64 = 600;
/// Time before the deadline that is reserved for flushing logs.
const FLUSH_MS: u64 = 200;

/// Settings of an entry VM.
pub struct EntryConfig {
    /// First message on its links.
    pub hello: Hello,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Address at which the platform checks whether the VM accepts new connections.
    pub readiness_address: SocketAddr,
    /// Controllers that the settings name, which may change.
    pub contacts: watch::Receiver<BTreeSet<VmName>>,
    /// Port at which every controller accepts links.
    pub link_port: u16,
    /// The request path.
    pub gateway: GatewayConfig,
}

/// A running entry VM.
pub struct EntryVm {
    acceptor: Acceptor,
    /// Takes requests of other entry VMs.
    relay_acceptor: Option<Acceptor>,
    readiness: Arc<Readiness>,
    gateway: Arc<Gateway>,
    _dialer: Dialer,
    periodic: JoinHandle<()>,
    /// Tasks that end once the work in progress is finished.
    tasks: [JoinHandle<()>; 7],
}

impl EntryVm {
    /// Starts serving. Must be called in a tokio runtime.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub fn spawn(config: EntryConfig) -> io::Result<Self> {
        let borrow_client = BorrowClient::default();
        let events = config.gateway.events.clone();
        let clock = config.gateway.clock;
        let dialect = Arc::clone(&config.gateway.dialect);
        if !config
            .gateway
            .mechanisms
            .is_enabled(Mechanism::OutageAllowance)
        {
            borrow_client.reach.disable_local_allowance();
        }
        let quota = Quota::spawn(
            config.hello.vm.clone(),
            config.hello.incarnation,
            clock,
            Arc::new(borrow_client.clone()),
            borrow_client.reach.clone(),
        );
        let controllers = Arc::new(ControllerClient::new(
            config.hello.clone(),
            clock,
            events.clone(),
            dialect,
            borrow_client,
        ));
        let contacts = (config.contacts, config.link_port);
        let requests: Arc<dyn ControllerRequests> =
            Arc::clone(&controllers) as Arc<dyn ControllerRequests>;
        let gateway = Arc::new(Gateway::new(config.gateway, quota, requests));
        controllers.set_gateway(Arc::clone(&gateway));
        let readiness = Arc::new(Readiness::bind(config.readiness_address, &gateway)?);
        let acceptor = Acceptor::bind(config.caller_address, Arc::clone(&gateway))?;
        let relay_acceptor = match config.hello.relay_address {
            Some(address) => Some(Acceptor::bind_for_peers(address, Arc::clone(&gateway))?),
            None => None,
        };
        let targets = controllers.targets();
        let handler: Arc<dyn Handler> = Arc::clone(&controllers) as Arc<dyn Handler>;
        let dialer = Dialer::spawn(config.hello, targets, handler);
        let tasks = spawn_tasks(&controllers, &gateway, contacts);
        let periodic =
            run_periodic_tasks(controllers, Arc::clone(&gateway), Arc::clone(&readiness));
        events.emit(&Lifecycle {
            phase: "started",
            detail: "entry".into(),
        });
        Ok(Self {
            acceptor,
            relay_acceptor,
            readiness,
            gateway,
            _dialer: dialer,
            periodic: tokio::spawn(periodic),
            tasks,
        })
    }

    /// The request path.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Reports that the VM is not ready, stops accepting connections after a delay, and finishes the
    /// work in progress, at most until `deadline`.
    pub async fn drain(self, deadline: Instant) {
        let events = self.gateway.events().clone();
        events.emit(&Lifecycle {
            phase: "draining",
            detail: "entry".into(),
        });
        self.periodic.abort();
        self.readiness.set(false);
        let last = deadline - Duration::from_millis(FLUSH_MS);
        let accept_until = Instant::now() + Duration::from_millis(ACCEPT_AFTER_DRAIN_MS);
        sleep_until(accept_until.min(last)).await;
        let answer_by = last - Duration::from_millis(FINAL_RESPONSE_MS);
        self.gateway.set_wait_deadline(answer_by);
        let drained = async {
            self.acceptor.drain().await;
            if let Some(acceptor) = &self.relay_acceptor {
                acceptor.drain().await;
            }
        };
        let is_done = timeout_at(last, drained).await.is_ok();
        for task in &self.tasks {
            task.abort();
        }
        let detail = if is_done {
            "all work ended"
        } else {
            "work cut off"
        };
        events.emit(&Lifecycle {
            phase: "stopped",
            detail: detail.into(),
        });
        events.flush(Duration::from_millis(FLUSH_MS));
    }
}

/// Controllers that the settings name, and the port at which they accept links.
type Contacts = (watch::Receiver<BTreeSet<VmName>>, u16);

fn spawn_tasks(
    controllers: &Arc<ControllerClient>,
    gateway: &Arc<Gateway>,
    contacts: Contacts,
) -> [JoinHandle<()>; 7] {
    let client = || Arc::clone(controllers);
    let search = controller_search::run(client(), Arc::clone(gateway), contacts.1);
    [
        tokio::spawn(follow_contacts(client(), contacts)),
        tokio::spawn(search),
        tokio::spawn(report_uses(client(), Arc::clone(gateway))),
        tokio::spawn(withdraw_demands(client(), Arc::clone(gateway))),
        tokio::spawn(report_streams(client(), Arc::clone(gateway))),
        tokio::spawn(observe_time(Arc::clone(gateway))),
        tokio::spawn(state_questions::ask_periodically(client())),
    ]
}

/// Dials the controllers that the settings name, whenever these change.
async fn follow_contacts(controllers: Arc<ControllerClient>, (mut contacts, link_port): Contacts) {
    loop {
        let named = contacts.borrow_and_update().clone();
        let addresses = named.iter().filter_map(|vm| link_address(vm, link_port));
        controllers.set_contacts(addresses.collect());
        if contacts.changed().await.is_err() {
            return;
        }
    }
}

/// Notes periodically that the process runs, also while the VM drains.
async fn observe_time(gateway: Arc<Gateway>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(OBSERVE_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        gateway.observe_time();
    }
}

/// Reports adapters that came into use or went out of use to the holders, after a delay that batches
/// further changes.
async fn report_uses(controllers: Arc<ControllerClient>, gateway: Arc<Gateway>) {
    let changed = gateway.adapter_usage().changed();
    loop {
        changed.notified().await;
        sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
        controllers.send_uses();
    }
}

/// Reports streams that have begun to the controllers, after a delay that batches further streams.
async fn report_streams(controllers: Arc<ControllerClient>, gateway: Arc<Gateway>) {
    let begun = gateway.streams_begun();
    loop {
        begun.notified().await;
        sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
        controllers.send_streams_begun(gateway.take_streams_begun());
    }
}

/// Withdraws the demand for adapters that no request waits for any more, after a delay that batches
/// further withdrawals.
async fn withdraw_demands(controllers: Arc<ControllerClient>, gateway: Arc<Gateway>) {
    let abandoned = gateway.adapter_waits.abandoned();
    while gateway.is_enabled(Mechanism::LoadRequestWithdrawal) {
        abandoned.notified().await;
        sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
        controllers.withdraw_demands();
    }
}

async fn run_periodic_tasks(
    controllers: Arc<ControllerClient>,
    gateway: Arc<Gateway>,
    readiness: Arc<Readiness>,
) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        ticks.tick().await;
        count += 1;
        controllers.tick(count.is_multiple_of(DEMAND_TICKS));
        controllers.serve_unconfirmed_if_due();
        if count.is_multiple_of(LIMIT_TICKS) {
            controllers.send_server_limits(gateway.server_limits());
        }
        if count.is_multiple_of(PROBE_TICKS) {
            tokio::spawn(Arc::clone(&gateway).probe_unreached());
            gateway.update_cut_off();
        }
        if count.is_multiple_of(PRUNE_TICKS) {
            gateway.prune_pool();
            gateway.update_contact_metrics();
            gateway.update_memory_metrics();
        }
        if !readiness.get() && gateway.deployment().is_some() && controllers.knows_servers() {
            readiness.set(true);
        }
        if !controllers.is_linked() {
            // Separate tasks dial the links; there is nothing to do here until one is open.
            sleep(Duration::from_millis(TICK_MS)).await;
        }
    }
}
