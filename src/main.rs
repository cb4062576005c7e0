//! Entry point: builds the commands and dispatches.

fn main() {}
