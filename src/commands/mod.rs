//! Commands of the `medlarlift` binary, one file each.

pub mod admin;
pub mod ask;
pub mod check;
pub mod losses;
pub mod serve;
pub mod standin;

use std::path::PathBuf;

use clap::Arg;
use clap::value_parser;

/// The `--settings` option, which takes the path of a settings file.
fn settings_argument() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("Settings file (YAML)")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}
