//! The components of a VM and their connections.

use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::watch;

use super::coordinator::Coordinator;
use super::coordinator::CoordinatorConfig;
use super::health::VmHealth;
use super::proposer::Proposer;
use super::state_machine::ControlStateMachine;
use super::state_machine::SharedControlState;
use super::transports::PeerBorrowTransport;
use super::transports::PeerFollowSource;
use super::transports::PeerGossipTransport;
use super::transports::PeerLeaseTransport;
use super::transports::PeerLogTransport;
use crate::backend::HttpEngine;
use crate::backend::NamedLimits;
use crate::configs::vm::VmSettings;
use crate::consensus;
use crate::consensus::FollowerConfig;
use crate::consensus::VoterConfig;
use crate::lease;
use crate::limits;
use crate::membership;
use crate::peer::PeerAddresses;
use crate::peer::PeerClients;
use crate::pipeline::Dispatcher;
use crate::pipeline::DispatcherConfig;
use crate::pipeline::RetryBudget;
use crate::scheduling::fair_queue::FairQueueConfig;
use crate::scheduling::placement::PlannerConfig;
use crate::scheduling::residency::ResidencyConfig;
use crate::types::Clock;
use crate::types::VmName;

/// Result of opening the components.
type Result<T, E = consensus::OpenError> = std::result::Result<T, E>;

/// Components that the request pipeline and the background tasks share.
pub(super) struct Components {
    pub(super) clock: Clock,
    pub(super) incarnation: u64,
    pub(super) state: SharedControlState,
    pub(super) peer_addresses: PeerAddresses,
    pub(super) peers: PeerClients,
    pub(super) log: consensus::Handle,
    pub(super) sources: watch::Sender<Vec<VmName>>,
    pub(super) retry_budget: Arc<RetryBudget>,
    pub(super) proposer: Proposer,
    pub(super) members: membership::Handle,
    pub(super) lease: lease::Handle,
    pub(super) token_server: limits::Server,
    pub(super) limits: limits::Client,
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) coordinator: Arc<Coordinator>,
    pub(super) health: Arc<VmHealth>,
}

pub(super) fn open_components(settings: &VmSettings) -> Result<Components> {
    let clock = Clock::start();
    // Increases with every start as long as the wall clock does not go back.
    let incarnation = clock.unix().0;
    let state: SharedControlState = Arc::new(Mutex::new(ControlStateMachine::default()));
    let known = settings.peers.iter();
    let peer_addresses = PeerAddresses::new(known.map(|peer| (peer.vm.clone(), peer.peer_address)));
    let peers = PeerClients::new(peer_addresses.clone());
    let (sources, sources_receiver) = watch::channel(follow_sources(settings));
    let log = open_log(settings, &state, &peers, sources_receiver)?;
    let members = spawn_members(settings, clock, incarnation, &peers, &peer_addresses);
    let lease = spawn_lease(settings, clock, incarnation, &peers);
    let token_server = spawn_token_server(settings, clock, &lease);
    let limits = spawn_limits(settings, clock, incarnation, &peers, &lease, &token_server);
    let dispatcher = spawn_dispatcher(settings, clock, incarnation);
    let coordinator = spawn_coordinator(settings, clock, &lease, &dispatcher);
    let health = Arc::new(VmHealth::new(log.clone(), lease.clone()));
    let proposer = Proposer::new(settings.vm.clone(), log.clone(), peers.clone());
    Ok(Components {
        clock,
        incarnation,
        state,
        peer_addresses,
        peers,
        log,
        sources,
        retry_budget: Arc::default(),
        proposer,
        members,
        lease,
        token_server,
        limits,
        dispatcher,
        coordinator,
        health,
    })
}

/// VMs to follow the log from, those of the own data centre first.
fn follow_sources(settings: &VmSettings) -> Vec<VmName> {
    let own = settings
        .peers
        .iter()
        .filter(|peer| peer.data_centre == settings.data_centre);
    let others = settings
        .peers
        .iter()
        .filter(|peer| peer.data_centre != settings.data_centre);
    own.chain(others)
        .filter(|peer| peer.vm != settings.vm)
        .map(|peer| peer.vm.clone())
        .collect()
}

fn open_log(
    settings: &VmSettings,
    state: &SharedControlState,
    peers: &PeerClients,
    sources: watch::Receiver<Vec<VmName>>,
) -> Result<consensus::Handle> {
    let vm = settings.vm.clone();
    match &settings.data_folder {
        Some(folder) => {
            let config = VoterConfig::new(vm, folder.clone(), settings.founders.clone());
            let transport = Arc::new(PeerLogTransport::new(peers.clone()));
            consensus::Handle::open_voter(config, state.clone(), transport)
        }
        None => {
            let config = FollowerConfig { vm, sources };
            let source = Arc::new(PeerFollowSource::new(peers.clone()));
            Ok(consensus::Handle::spawn_follower(
                config,
                state.clone(),
                source,
            ))
        }
    }
}

fn spawn_members(
    settings: &VmSettings,
    clock: Clock,
    incarnation: u64,
    peers: &PeerClients,
    peer_addresses: &PeerAddresses,
) -> membership::Handle {
    let contacts = settings.peers.iter().filter(|peer| peer.vm != settings.vm);
    let config = membership::Config {
        table: membership::TableConfig {
            vm: settings.vm.clone(),
            incarnation,
            payload: super::self_entry::payload(settings, false, false),
            seed: incarnation,
        },
        contacts: contacts
            .map(|peer| membership::Contact {
                vm: peer.vm.clone(),
                data_centre: peer.data_centre.clone(),
                address: peer.peer_address.to_string(),
            })
            .collect(),
        clock,
    };
    let transport = PeerGossipTransport::new(peers.clone(), peer_addresses.clone());
    membership::spawn(config, Arc::new(transport))
}

fn spawn_lease(
    settings: &VmSettings,
    clock: Clock,
    incarnation: u64,
    peers: &PeerClients,
) -> lease::Handle {
    let config = lease::Config {
        identity: lease::Identity {
            vm: settings.vm.clone(),
            incarnation,
        },
        data_centre: settings.data_centre.clone(),
        timing: lease::Timing::default(),
        clock,
    };
    lease::spawn(config, Arc::new(PeerLeaseTransport::new(peers.clone())))
}

fn spawn_token_server(
    settings: &VmSettings,
    clock: Clock,
    lease: &lease::Handle,
) -> limits::Server {
    let lease = lease.clone();
    let held = Arc::new(move || lease.current());
    limits::Server::spawn(settings.data_centre.clone(), clock, held)
}

fn spawn_limits(
    settings: &VmSettings,
    clock: Clock,
    incarnation: u64,
    peers: &PeerClients,
    lease: &lease::Handle,
    token_server: &limits::Server,
) -> limits::Client {
    let lease = lease.clone();
    let token_server = token_server.clone();
    let transport = PeerBorrowTransport {
        vm: settings.vm.clone(),
        peers: peers.clone(),
        coordinator_of: Arc::new(move |data_centre| lease.coordinator_of(data_centre)),
        local: Arc::new(move |request| token_server.receive(&request)),
    };
    let config = limits::ClientConfig {
        vm: settings.vm.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        clock,
    };
    limits::Client::spawn(config, Arc::new(transport))
}

fn spawn_dispatcher(settings: &VmSettings, clock: Clock, incarnation: u64) -> Arc<Dispatcher> {
    let config = DispatcherConfig {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        policy: settings.policy,
        queue: FairQueueConfig {
            max_items: usize::try_from(settings.queue_items).unwrap_or(usize::MAX),
            ..FairQueueConfig::default()
        },
    };
    let dispatcher = Dispatcher::spawn(config, clock);
    for link in &settings.links {
        dispatcher.set_link(link.data_centre.clone(), link.round_trip_ms, link.paid);
    }
    dispatcher
}

fn spawn_coordinator(
    settings: &VmSettings,
    clock: Clock,
    lease: &lease::Handle,
    dispatcher: &Arc<Dispatcher>,
) -> Arc<Coordinator> {
    let config = CoordinatorConfig {
        data_centre: settings.data_centre.clone(),
        policy: settings.policy,
        planner: PlannerConfig {
            residency: ResidencyConfig {
                longest_request_ms: settings.longest_request_ms,
                ..ResidencyConfig::default()
            },
            ..PlannerConfig::default()
        },
    };
    let engine = Arc::new(HttpEngine::new(Arc::new(NamedLimits::new(clock))));
    Coordinator::spawn(config, clock, lease.clone(), engine, dispatcher.clone())
}
