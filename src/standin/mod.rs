//! Stand-ins for the systems around Medlarlift in tests and trials: simulated inference engine,
//! plain service and weight store, and a load tool that simulates callers.

pub mod announcer;
pub mod answer;
mod asked_rest;
pub mod caller_api;
pub mod callers;
mod callers_orders;
pub mod callers_plan;
pub mod callers_report;
pub mod callers_run;
pub mod client;
pub mod engine;
pub mod engine_cache;
pub mod engine_commands;
pub mod engine_counts;
pub mod engine_state;
pub mod engine_stream;
pub mod events;
mod request_limit;
pub mod server;
pub mod service;
pub mod store;
