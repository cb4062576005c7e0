//! End-to-end tests of the request path: VMs, engines and services of one deployment in one
//! process.

#[path = "path/answers.rs"]
mod answers;
#[path = "path/callers.rs"]
mod callers;
#[path = "path/crashes.rs"]
mod crashes;
#[path = "path/deployment.rs"]
mod deployment;
#[path = "path/fake_engine.rs"]
mod fake_engine;
#[path = "path/input.rs"]
mod input;
#[path = "path/keys.rs"]
mod keys;
#[path = "path/outcomes.rs"]
mod outcomes;
#[path = "path/server_limits.rs"]
mod server_limits;
#[path = "path/server_rests.rs"]
mod server_rests;
#[path = "path/shutdown.rs"]
mod shutdown;
#[path = "path/stream.rs"]
mod stream;
