//! Medlarlift serves very many LoRA adapters through a small fleet of entry VMs.

pub mod commands;
pub mod control;
pub mod http;
pub mod types;
