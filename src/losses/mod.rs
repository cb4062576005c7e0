//! Analysis of lost and late requests, by time and cause, from the structured logs of several
//! processes.

mod adapters;
mod log_lines;
mod tables;

pub use adapters::AdapterHistories;
pub use adapters::AdapterState;
pub use log_lines::LogLines;
pub use log_lines::OrderLine;
pub use log_lines::RequestLine;
pub use log_lines::read;
pub use tables::Outcome;
pub use tables::Table;
pub use tables::tables;
