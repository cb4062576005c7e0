//! Registry of backend servers, built from their heartbeats to several controllers.

mod announcement;
mod table;

pub use announcement::Announcement;
pub use announcement::ServerState;
pub use table::Change;
pub use table::Record;
pub use table::Table;
