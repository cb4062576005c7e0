//! Which requests were lost or late, when and why, from the structured logs of several processes.

mod adapters;
mod log_lines;
mod tables;

pub use adapters::AdapterState;
pub use adapters::Loads;
pub use log_lines::Lines;
pub use log_lines::OrderLine;
pub use log_lines::RequestLine;
pub use log_lines::read;
pub use tables::Fate;
pub use tables::Table;
pub use tables::tables;
