//! Command `explain`: tells from logs what happened to a request.

use std::fs::File;
use std::io;
use std::io::BufReader;
use std::path::Path;
use std::sync::Arc;

use crate::cli::command::ExplainOptions;
use crate::cli::error::CliError;
use crate::cli::output;
use crate::explain::line::for_each_line;
use crate::explain::search::Search;
use crate::explain::story;

/// Name of the process for lines of standard input without one.
const STANDARD_INPUT: &str = "-";

/// Prints what happened to a request.
///
/// Regular files are read twice, first for the request's own lines, then for those near it. Other
/// input is read once.
///
/// # Errors
/// Fails if input can't be read, or no line names the request.
pub fn explain(options: &ExplainOptions) -> Result<(), CliError> {
    let mut search = Search::new(&options.request);
    for file in &options.files {
        read_first(&mut search, file).map_err(|error| file_error(file, &error))?;
    }
    if options.files.is_empty() {
        let process = Arc::from(STANDARD_INPUT);
        let read = for_each_line(io::stdin().lock(), |line| search.take_once(line, &process));
        read.map_err(|error| file_error(Path::new(STANDARD_INPUT), &error))?;
    }
    if !search.is_found() {
        let (request, read) = (search.request(), search.counts().summary());
        return Err(CliError::Failed(format!("no line names request {request:?} ({read})")));
    }
    for file in options.files.iter().filter(|file| file.is_file()) {
        read_again(&mut search, file).map_err(|error| file_error(file, &error))?;
    }
    print(search)
}

fn print(search: Search) -> Result<(), CliError> {
    let (counts, left_out) = (search.counts(), search.left_out());
    let request = search.request().to_owned();
    let (events, near) = search.finish();
    let mut text = story::tell(&request, &events, &near);
    text.push_str(&format!("\n{}\n", counts.summary()));
    if left_out > 0 {
        text.push_str(&format!("{left_out} lines left out for want of room\n"));
    }
    output::write(&text)
}

fn read_first(search: &mut Search, file: &Path) -> io::Result<()> {
    let (reader, process) = (BufReader::new(File::open(file)?), process_name(file));
    match file.is_file() {
        true => for_each_line(reader, |line| search.take(line, &process)),
        false => for_each_line(reader, |line| search.take_once(line, &process)),
    }
}

fn read_again(search: &mut Search, file: &Path) -> io::Result<()> {
    let (reader, process) = (BufReader::new(File::open(file)?), process_name(file));
    for_each_line(reader, |line| search.take_again(line, &process))
}

/// Returns the name of the process for lines of a file without one: the name of the file.
fn process_name(file: &Path) -> Arc<str> {
    let name = file.file_stem().unwrap_or(file.as_os_str());
    Arc::from(name.to_string_lossy())
}

fn file_error(file: &Path, error: &io::Error) -> CliError {
    CliError::Failed(format!("can't read {}: {error}", file.display()))
}
