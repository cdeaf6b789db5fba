//! Large environment documents.

use std::fmt::Write;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Returns a document of `workspaces` workspaces whose values differ; the same at each call.
pub fn large(workspaces: u32) -> String {
    let mut rng = StdRng::seed_from_u64(1);
    let mut text = String::from("name = \"large\"\n");
    for number in 0..workspaces {
        let (weight, priority) = (rng.random_range(1..9), rng.random_range(0..4));
        let most = rng.random_range(10..400);
        let tail: u32 = rng.random_range(0..1_000_000);
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "\n[[workspace]]\nname = \"maker-{number}-{tail}\"\nweight = {weight}\n\
             priority = {priority}\nmax_requests = {most}\n"
        );
    }
    text
}
