//! HTTP interfaces: the caller API and the administration API.

pub mod admin;
mod announcement;
mod answer;
mod body;
pub mod caller;
mod calls;
mod completion;
mod server;
mod stream;

pub use completion::AnswerHead;
pub use completion::whole_answer;
