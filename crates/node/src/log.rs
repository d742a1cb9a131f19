//! JSON lines on standard output, bounded and never blocking.
//!
//! One field name for each concept, everywhere: `request`, `class`, `query`, `outcome`, `code`,
//! `took_ms`, `stamp`, `catalog`, `promise`, `host`, `listen`, `peer`, `server`, `shard`, `detail`.
//!
//! Threads put finished lines into one buffer; a thread of its own writes it out a few times a
//! second, in one call each time. When the reader of the output is slow and the buffer is full, lines
//! are dropped and counted, and the count is written with the next line that finds room.

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread, time,
};

use compact_str::CompactString;
use snafu::{OptionExt, ResultExt};
use tracing_subscriber::{EnvFilter, Registry, fmt, layer::SubscriberExt, reload, util::SubscriberInitExt};

use crate::error;

/// Bytes of lines that wait to be written: some seconds of a host under twice its usual load.
const WAITING_MOST: usize = 256 << 10;
/// Time that lines are gathered before they are written. Each write costs a system call and a
/// wake-up; a crash loses what was gathered.
const GATHER: time::Duration = time::Duration::from_millis(250);

/// Changes the level of a running node.
#[derive(Clone, Debug)]
pub struct Handle {
    reload: reload::Handle<EnvFilter, Registry>,
    lines: Lines,
}

impl Handle {
    /// Puts another filter in force; `false` if it cannot be read, and the old one stays.
    pub fn set(&self, filter: &str) -> bool {
        let Ok(filter) = EnvFilter::try_new(filter) else {
            return false;
        };
        self.reload.reload(filter).is_ok()
    }

    /// Writes what waits; for the end of the process.
    pub fn flush(&self) {
        self.lines.write_out();
    }
}

/// Lines that wait to be written.
#[derive(Clone, Debug, Default)]
struct Lines(Arc<(Mutex<Waiting>, Condvar)>);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Lines {
    fn push(&self, line: &[u8]) {
        let (waiting, has_lines) = &*self.0;
        let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + line.len() > WAITING_MOST {
            waiting.dropped += 1;
            return;
        }
        let was_empty = waiting.bytes.is_empty();
        let dropped = mem::take(&mut waiting.dropped);
        if dropped > 0 {
            let note = format!("{{\"level\":\"WARN\",\"message\":\"lines were dropped\",\"dropped\":{dropped}}}\n");
            waiting.bytes.extend_from_slice(note.as_bytes());
        }
        waiting.bytes.extend_from_slice(line);
        if was_empty {
            has_lines.notify_one();
        }
    }

    fn wait(&self) {
        let (waiting, has_lines) = &*self.0;
        let guard = waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let is_empty = |waiting: &mut Waiting| waiting.bytes.is_empty();
        drop(has_lines.wait_while(guard, is_empty).unwrap_or_else(PoisonError::into_inner));
    }

    fn write_out(&self) {
        let bytes = {
            let mut waiting = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
            mem::take(&mut waiting.bytes)
        };
        // Nobody is left to be told that the log cannot be written.
        io::stdout().lock().write_all(&bytes).ok();
        io::stdout().lock().flush().ok();
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging with `filter`.
pub fn start(filter: &CompactString) -> Result<Handle, error::Error> {
    let parsed = EnvFilter::try_new(filter).ok().context(error::LogSnafu { filter: filter.as_str() })?;
    let (layer, reload) = reload::Layer::new(parsed);
    let lines = Lines::default();
    let writer = lines.clone();
    let json = fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(move || writer.clone());
    // A test may have started a log before; then that one stays.
    if tracing_subscriber::registry().with(layer).with(json).try_init().is_ok() {
        let lines = lines.clone();
        let writing = thread::Builder::new().name("log".to_owned()).spawn(move || {
            loop {
                lines.wait();
                thread::sleep(GATHER);
                lines.write_out();
            }
        });
        writing.context(error::ThreadSnafu)?;
    }
    Ok(Handle { reload, lines })
}
