//! Command line: parsing, commands and exit codes.
