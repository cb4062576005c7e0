//! Connections of clients and the memory that they hold.

#[path = "connections/bodies.rs"]
mod bodies;
#[path = "connections/byte_pool.rs"]
mod byte_pool;
#[path = "connections/heads.rs"]
mod heads;
#[path = "connections/process_limits.rs"]
mod process_limits;
#[path = "connections/table.rs"]
mod table;
