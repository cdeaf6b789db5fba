//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static FILE: Mutex<Option<File>> = Mutex::new(None);

/// Begins the record.
pub fn begin(folder: &Path) {
    START.get_or_init(Instant::now);
    *FILE.lock().unwrap() = File::create(folder.join("record.txt")).ok();
}

/// Returns the seconds since the start.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Appends a line.
pub fn line(text: &str) {
    let at = now();
    if let Some(file) = FILE.lock().unwrap().as_mut() {
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}
