//! Medlarlift is a serving layer for very many LoRA adapters on a small fleet of entry VMs.

pub mod accept;
pub mod backend;
pub mod commands;
pub mod configs;
pub mod consensus;
pub mod control;
pub mod event_stream;
pub mod events;
pub mod fleet;
pub mod gateway;
pub mod http;
pub mod lease;
pub mod limits;
pub mod link;
pub mod losses;
pub mod mechanisms;
pub mod membership;
pub mod metrics;
pub mod metrics_page;
pub mod node;
pub mod peer;
pub mod pipeline;
pub mod registry;
pub mod scheduling;
pub mod standin;
pub mod types;
