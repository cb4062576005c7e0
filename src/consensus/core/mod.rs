//! Deterministic Raft core.
