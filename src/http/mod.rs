//! HTTP interfaces: the administration API.

pub mod admin;
