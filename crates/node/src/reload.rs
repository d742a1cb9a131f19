//! Reloading of the settings while the node runs.
//!
//! The file is reloaded on SIGHUP and when its modification time changes, since a platform may
//! replace it without a signal. Changes to the log filter and the seeds are applied; for any other a
//! log line reports that a restart is needed. Settings with faults are not applied.

use std::{fs, sync::Arc, time};

use compact_str::format_compact;
use shallothub_settings::node;

use crate::{log, run, shared};

/// Interval at which the file's modification time is checked.
pub(crate) const POLL_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// The settings file and the settings in force.
pub(crate) struct Watcher<'l> {
    shared: Arc<shared::Shared>,
    log: &'l log::Handle,
    path: &'l str,
    modified_at: Option<time::SystemTime>,
    in_force: node::Settings,
}

impl<'l> Watcher<'l> {
    pub(crate) fn new(shared: Arc<shared::Shared>, log: &'l log::Handle, path: &'l str) -> Self {
        let in_force = shared.settings.clone();
        Self { shared, log, path, modified_at: modification_time(path), in_force }
    }

    /// Reloads the file if its modification time changed.
    pub(crate) fn poll(&mut self) {
        if modification_time(self.path) != self.modified_at {
            self.reload("the file changed");
        }
    }

    /// Reloads the file and applies the log filter and the seeds. `cause` is logged.
    pub(crate) fn reload(&mut self, cause: &str) {
        self.modified_at = modification_time(self.path);
        let settings = match run::settings(self.path) {
            Ok(settings) => settings,
            Err(error) => {
                tracing::warn!(cause, detail = %error, "the settings have faults; the old ones stay in force");
                return;
            }
        };
        if !self.log.set(&settings.log) {
            tracing::warn!(cause, filter = %settings.log, "cannot parse the log filter; the old one stays in force");
        }
        let seeds = settings.seeds.iter().map(|seed| format_compact!("{seed}")).collect();
        self.shared.control.send(shared::ToControl::Seeds(seeds)).ok();
        let needs_restart = self.needs_restart(&settings);
        tracing::info!(cause, filter = %settings.log, seeds = settings.seeds.len(), needs_restart, "settings read again");
        self.in_force.log = settings.log;
        self.in_force.seeds = settings.seeds;
    }

    /// Whether a setting other than the log filter and the seeds differs from the one in force.
    fn needs_restart(&self, settings: &node::Settings) -> bool {
        let mut expected = settings.clone();
        expected.log = self.in_force.log.clone();
        expected.seeds = self.in_force.seeds.clone();
        expected != self.in_force
    }
}

fn modification_time(path: &str) -> Option<time::SystemTime> {
    fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
