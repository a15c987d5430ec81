//! The `papayayard` program, which every entry host runs.

fn main() {}
