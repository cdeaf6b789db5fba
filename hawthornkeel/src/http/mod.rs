//! HTTP towards callers and operators: bounded reading, answers and refusals.
