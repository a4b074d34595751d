//! Placeholder until the first command lands.

fn main() {}
