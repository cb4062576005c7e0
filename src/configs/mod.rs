//! YAML settings. Each file is read by a [`Reader`] that reports every mistake in one run.

mod reader;

pub use reader::Mistake;
pub use reader::Reader;
pub use reader::SettingsError;
pub use reader::read_file;
pub use reader::read_text;
