//! Values shared by all modules: names, time, adapter references, patience classes and refusals.

pub mod pause;
pub mod shared_bytes;

mod adapter;
mod clock;
mod final_status;
mod name;
mod patience;
mod refusal;
mod request_features;
mod request_rate;
mod stream_key;

pub use adapter::AdapterRef;
pub use adapter::ParseAdapterError;
pub use clock::Clock;
pub use clock::MonoMs;
pub use clock::UnixMs;
pub use final_status::is_final;
pub use name::AccountName;
pub use name::DataCentre;
pub use name::ModelName;
pub use name::ServerName;
pub use name::ServiceName;
pub use name::SoftwareVersion;
pub use name::TemplateName;
pub use name::VmName;
pub use patience::Patience;
pub use refusal::Refusal;
pub use refusal::RefusalCode;
pub use refusal::RunState;
pub use request_features::Feature;
pub use request_features::RequestFeatures;
pub use request_rate::RequestRate;
pub use stream_key::StreamKey;

/// A number of tokens; prompt and output tokens count the same.
pub type Tokens = u64;
