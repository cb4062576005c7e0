//! Connections of clients, and the memory that they make the process hold.
//!
//! Decisions ([`byte_pool`], [`table`]) do no input or output; that is in [`body`], [`budget`] and [`server`].

pub mod activity;
pub mod body;
pub mod budget;
pub mod buffer;
pub mod byte_pool;
pub mod reports;
pub mod server;
pub mod stream;
pub mod table;
