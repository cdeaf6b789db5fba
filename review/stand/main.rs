//! Stand-ins and scripts of the review. `stand CASE FOLDER` plays a case and writes FOLDER/record.txt.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! TROUBLE=0 in the environment it does the same without the disruption.

mod first_start;
mod fleet;
mod http;
mod json;
mod late_order;
mod long_stream;
mod odd_entry;
mod record;
mod runners;
mod stage_answers;

use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Longest time that a script may take.
const LIMIT: Duration = Duration::from_secs(115);

/// What a script found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else { exit(2) };
    record::begin(Path::new(folder));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        record::line("the script takes too long");
        fleet::end_all();
        exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    record::line(&format!("case {case}, trouble: {trouble}"));
    let verdict = match case.as_str() {
        "stage-answers" => stage_answers::play(trouble),
        "first-start" => first_start::play(trouble),
        "long-stream" => long_stream::play(trouble),
        "odd-entry" => odd_entry::play(trouble),
        "late-order" => late_order::play(trouble),
        _ => Verdict::NotRun("there is no such case".to_owned()),
    };
    fleet::end_all();
    let (code, text) = match verdict {
        Verdict::Held => (0, "held".to_owned()),
        Verdict::Broken => (1, "BROKEN".to_owned()),
        Verdict::NotRun(why) => (2, format!("not run: {why}")),
    };
    record::line(&format!("verdict: {text}"));
    println!("{case}: {text}");
    exit(code);
}
