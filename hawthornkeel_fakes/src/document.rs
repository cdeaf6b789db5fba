//! Large environment documents for tests and benches.

use std::fmt::Write;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Returns a document of `workspaces` workspaces with varied values, the same for every call.
pub fn large(workspaces: u32) -> String {
    let mut rng = StdRng::seed_from_u64(1);
    let mut text = String::from("name = \"large\"\n");
    for number in 0..workspaces {
        let (weight, priority) = (rng.random_range(1..9), rng.random_range(0..4));
        let max_requests = rng.random_range(10..400);
        let suffix: u32 = rng.random_range(0..1_000_000);
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "\n[[workspace]]\nname = \"maker-{number}-{suffix}\"\nweight = {weight}\n\
             priority = {priority}\nmax_requests = {max_requests}\n"
        );
    }
    text
}
