//! Writer that passes lines on to a thread, so that a slow reader holds up nothing else.
//!
//! The writer of tracing-appender, which does the same, prints to standard output as it ends if its
//! queue is full, and so waits without end for a reader that has stopped reading.

use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tracing_subscriber::fmt::MakeWriter;

/// Size of the thread's buffer, in bytes.
const BUFFER_BYTES: usize = 32 * 1024;
/// Interval at which the end of the queue is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Writer of whole lines; clones share the queue.
#[derive(Clone, Debug)]
pub(super) struct LineWriter {
    queue: SyncSender<Vec<u8>>,
    /// Maximum number of lines in the queue.
    max: usize,
    counts: Arc<Counts>,
}

/// Numbers of lines since the start.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicUsize,
    done: AtomicUsize,
    dropped: AtomicUsize,
}

impl LineWriter {
    /// Starts a thread that writes to `output`, with a queue of `max` lines.
    ///
    /// # Errors
    /// Fails if the thread can't be started.
    pub(super) fn start(output: impl Write + Send + 'static, max: usize) -> io::Result<Self> {
        let (queue, lines) = sync_channel(max);
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        let output = BufWriter::with_capacity(BUFFER_BYTES, output);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&lines, output, &shared))?;
        Ok(Self { queue, max, counts })
    }

    /// Returns the number of lines that found no room or could not be written.
    pub(super) fn dropped(&self) -> usize {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Returns whether the queue has room for a line of a thread that is the only one to write.
    pub(super) fn has_room(&self) -> bool {
        let done = self.counts.done.load(Ordering::Acquire);
        self.counts.queued.load(Ordering::Relaxed).saturating_sub(done) < self.max
    }

    /// Waits until all lines are written, for `limit` at most.
    pub(super) fn wait_written(&self, limit: Duration) {
        let until = Instant::now() + limit;
        let is_written = || {
            let done = self.counts.done.load(Ordering::Acquire);
            done >= self.counts.queued.load(Ordering::Relaxed)
        };
        while !is_written() && Instant::now() < until {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.queue.try_send(line.to_vec()) {
            Ok(()) => self.counts.queued.fetch_add(1, Ordering::Relaxed),
            Err(_) => self.counts.dropped.fetch_add(1, Ordering::Relaxed),
        };
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineWriter {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Writes lines until their senders are gone, and flushes whenever none waits.
fn write(lines: &Receiver<Vec<u8>>, mut output: impl Write, counts: &Counts) {
    while let Ok(first) = lines.recv() {
        let mut count = 0;
        let mut result = Ok(());
        for line in std::iter::once(first).chain(lines.try_iter()) {
            count += 1;
            result = result.and(output.write_all(&line));
        }
        if result.and(output.flush()).is_err() {
            counts.dropped.fetch_add(count, Ordering::Relaxed);
        }
        counts.done.fetch_add(count, Ordering::Release);
    }
}
