//! Stand-ins for the systems around Medlarlift: engine, service, weight store and callers.

pub mod announcer;
pub mod answer;
pub mod client;
pub mod events;
pub mod http;
