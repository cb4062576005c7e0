//! Medlarlift serves very many LoRA adapters through a small fleet of entry VMs.

pub mod commands;
pub mod configs;
pub mod standin;
pub mod types;
