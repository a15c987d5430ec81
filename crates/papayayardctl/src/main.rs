//! The `papayayardctl` program, for operators and for trying papayayard out.

fn main() {}
