//! Commands of the `medlarlift` binary, one file each.

pub mod check;
pub mod standin;
