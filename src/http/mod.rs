//! HTTP servers: the caller API and the administration API.

pub mod admin;
mod announcement;
mod body;
pub mod caller;
mod completion;
mod handlers;
mod response;
mod server;
mod stream;

pub use completion::CompletionMetadata;
pub use completion::completion_object;
