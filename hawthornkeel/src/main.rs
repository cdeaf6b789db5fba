//! Entry point of the `hawthornkeel` command.

fn main() {}
