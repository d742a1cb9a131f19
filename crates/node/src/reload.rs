//! Settings that change while the node runs.
//!
//! The file is read again on SIGHUP, and when its time of change shows that it is another one: a
//! platform may write it without a word. What can change in a running node is taken over; for the
//! rest a line says that it needs a restart. Settings with faults change nothing.

use std::{fs, sync::Arc, time};

use compact_str::format_compact;
use shallothub_settings::node;

use crate::{log, run, shared};

/// How often the file's time of change is looked at.
pub(crate) const LOOK: time::Duration = time::Duration::from_secs(5);

/// The settings file and what is in force of it.
pub(crate) struct Watch<'l> {
    shared: Arc<shared::Shared>,
    log: &'l log::Handle,
    path: &'l str,
    modified: Option<time::SystemTime>,
    in_force: node::Settings,
}

impl<'l> Watch<'l> {
    pub(crate) fn new(shared: Arc<shared::Shared>, log: &'l log::Handle, path: &'l str) -> Self {
        let in_force = shared.settings.clone();
        Self { shared, log, path, modified: modified(path), in_force }
    }

    /// Reads the file again if it changed.
    pub(crate) fn look(&mut self) {
        if modified(self.path) != self.modified {
            self.read("the file changed");
        }
    }

    /// Reads the file again.
    pub(crate) fn read(&mut self, cause: &str) {
        self.modified = modified(self.path);
        let settings = match run::settings(self.path) {
            Ok(settings) => settings,
            Err(error) => {
                tracing::warn!(cause, detail = %error, "the settings have faults; the old ones stay in force");
                return;
            }
        };
        if !self.log.set(&settings.log) {
            tracing::warn!(cause, filter = %settings.log, "the log filter cannot be read; the old one stays");
        }
        let seeds = settings.seeds.iter().map(|seed| format_compact!("{seed}")).collect();
        self.shared.control.send(shared::ToControl::Seeds(seeds)).ok();
        let needs_restart = self.needs_restart(&settings);
        tracing::info!(cause, filter = %settings.log, seeds = settings.seeds.len(), needs_restart, "settings read again");
        self.in_force.log = settings.log;
        self.in_force.seeds = settings.seeds;
    }

    /// Whether anything else differs from what is in force.
    fn needs_restart(&self, settings: &node::Settings) -> bool {
        let mut same = settings.clone();
        same.log = self.in_force.log.clone();
        same.seeds = self.in_force.seeds.clone();
        same != self.in_force
    }
}

fn modified(path: &str) -> Option<time::SystemTime> {
    fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
