//! JSON lines on standard output.
//!
//! One field name for each concept, everywhere: `class`, `query`, `outcome`, `code`, `took_ms`,
//! `stamp`, `catalog`, `promise`, `host`, `listen`, `peer`, `detail`.

use compact_str::CompactString;
use snafu::OptionExt;
use tracing_subscriber::{EnvFilter, Registry, fmt, layer::SubscriberExt, reload, util::SubscriberInitExt};

use crate::error;

/// Changes the level of a running node.
#[derive(Clone, Debug)]
pub struct Handle {
    reload: reload::Handle<EnvFilter, Registry>,
}

impl Handle {
    /// Puts another filter in force; `false` if it cannot be read, and the old one stays.
    pub fn set(&self, filter: &str) -> bool {
        let Ok(filter) = EnvFilter::try_new(filter) else {
            return false;
        };
        self.reload.reload(filter).is_ok()
    }
}

/// Starts logging with `filter`.
pub fn start(filter: &CompactString) -> Result<Handle, error::Error> {
    let parsed = EnvFilter::try_new(filter).ok().context(error::LogSnafu { filter: filter.as_str() })?;
    let (layer, reload) = reload::Layer::new(parsed);
    let json = fmt::layer().json().flatten_event(true).with_current_span(false).with_span_list(false);
    // A test may have started a log before; then that one stays.
    tracing_subscriber::registry().with(layer).with(json).try_init().ok();
    Ok(Handle { reload })
}
