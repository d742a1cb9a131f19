//! Structured logging: JSON lines on standard output, with bounded memory and without blocking callers.
//!
//! Each concept has one field name in all log lines: `request`, `class`, `query`, `outcome`, `code`,
//! `took_ms`, `stamp`, `catalog`, `promise`, `host`, `listen`, `peer`, `server`, `shard`, `detail`.
//!
//! Threads append formatted lines to one buffer; a dedicated thread writes it a few times per second,
//! in one call each time. When the reader of the output is slow and the buffer is full, lines are
//! dropped, and their number is logged with the next line that fits.

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, PoisonError, mpsc},
    thread, time,
};

use compact_str::CompactString;
use snafu::{OptionExt, ResultExt};
use tracing_subscriber::{EnvFilter, Registry, fmt, layer::SubscriberExt, reload, util::SubscriberInitExt};

use crate::error;

/// Capacity of the buffer in bytes: several seconds of log output of a host at twice its usual load.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Time for which lines are buffered before they are written. Each write costs a system call and a
/// wake-up; a crash loses the buffered lines.
const FLUSH_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time for which an exiting process waits for the reader of its output.
const EXIT_FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Changes the filter of a running node and flushes its log.
#[derive(Clone, Debug)]
pub struct Handle {
    reload: reload::Handle<EnvFilter, Registry>,
    queue: Queue,
}

impl Handle {
    /// Replaces the filter. Returns `false` and keeps the old one if `filter` is invalid.
    pub fn set(&self, filter: &str) -> bool {
        let Ok(filter) = EnvFilter::try_new(filter) else {
            return false;
        };
        self.reload.reload(filter).is_ok()
    }

    /// Writes the buffered lines, or drops them if the output is not read for [`EXIT_FLUSH_TIMEOUT`]; called before the
    /// process exits.
    pub fn flush(&self) {
        let (written, is_written) = mpsc::channel();
        let queue = self.queue.clone();
        let writer = thread::Builder::new().name("log-flush".to_owned()).spawn(move || {
            queue.write_out();
            written.send(()).ok();
        });
        if writer.is_ok() {
            is_written.recv_timeout(EXIT_FLUSH_TIMEOUT).ok();
        }
    }
}

/// Lines waiting to be written, shared by all threads.
#[derive(Clone, Debug, Default)]
struct Queue(Arc<(Mutex<Buffer>, Condvar)>);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Queue {
    fn push(&self, line: &[u8]) {
        let (buffer, has_lines) = &*self.0;
        let mut buffer = buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
            return;
        }
        let was_empty = buffer.bytes.is_empty();
        let dropped = mem::take(&mut buffer.dropped);
        if dropped > 0 {
            let warning = format!("{{\"level\":\"WARN\",\"message\":\"lines were dropped\",\"dropped\":{dropped}}}\n");
            buffer.bytes.extend_from_slice(warning.as_bytes());
        }
        buffer.bytes.extend_from_slice(line);
        if was_empty {
            has_lines.notify_one();
        }
    }

    fn wait_for_lines(&self) {
        let (buffer, has_lines) = &*self.0;
        let guard = buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let is_empty = |buffer: &mut Buffer| buffer.bytes.is_empty();
        drop(has_lines.wait_while(guard, is_empty).unwrap_or_else(PoisonError::into_inner));
    }

    fn write_out(&self) {
        let bytes = {
            let mut buffer = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
            mem::take(&mut buffer.bytes)
        };
        // A failure to write the log cannot be reported anywhere.
        io::stdout().lock().write_all(&bytes).ok();
        io::stdout().lock().flush().ok();
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Initialises logging with `filter`, in `EnvFilter` syntax.
pub fn start(filter: &CompactString) -> Result<Handle, error::Error> {
    let parsed = EnvFilter::try_new(filter).ok().context(error::LogSnafu { filter: filter.as_str() })?;
    let (layer, reload) = reload::Layer::new(parsed);
    let queue = Queue::default();
    let writer = queue.clone();
    let json = fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(move || writer.clone());
    // Within a test process, logging may already be initialised; the first subscriber stays.
    if tracing_subscriber::registry().with(layer).with(json).try_init().is_ok() {
        let queue = queue.clone();
        let spawned = thread::Builder::new().name("log".to_owned()).spawn(move || {
            loop {
                queue.wait_for_lines();
                thread::sleep(FLUSH_INTERVAL);
                queue.write_out();
            }
        });
        spawned.context(error::ThreadSnafu)?;
    }
    Ok(Handle { reload, queue })
}
