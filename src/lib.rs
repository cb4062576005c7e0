//! Medlarlift serves very many LoRA adapters through a small fleet of entry VMs.

pub mod scheduling;
pub mod types;
