//! Commands of the `medlarlift` binary, one file each.

pub mod admin;
pub mod ask;
pub mod check;
pub mod serve;
pub mod standin;
