//! Placeholder until the measurement lands.

fn main() {}
