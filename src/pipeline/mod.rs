//! The path of a request, one stage per file.

mod authenticate;
mod classify;
mod request_id;

pub use authenticate::Caller;
pub use authenticate::Keys;
pub use authenticate::authenticate;
pub use authenticate::check_still_live;
pub use classify::Classified;
pub use classify::Completion;
pub use classify::Format;
pub use classify::classify;
pub use classify::read_completion;
pub use request_id::RequestId;
