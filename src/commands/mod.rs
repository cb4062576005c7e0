//! Commands of the `medlarlift` binary.

pub mod admin;
