//! YAML settings. Each file is read by a [`Reader`] that reports all invalid settings in one run.

pub mod connections;
pub mod standin_callers;
pub mod standin_engine;
pub mod standin_service;
pub mod standin_store;
pub mod vm;

mod reader;

pub use reader::InvalidSetting;
pub use reader::Reader;
pub use reader::SettingsError;
pub use reader::read_file;
pub use reader::read_text;
