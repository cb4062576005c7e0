//! Durable state of a voter.
