//! Reading the platform: who watches, who reads, and how seldom.

use std::sync::Arc;

use compact_str::CompactString;
use rand::Rng;

use crate::{catalog, clock};

use super::{Core, Output};

/// Least wait before a watch that failed is tried again.
const WATCH_PAUSE: clock::Millis = clock::Millis(500);
/// Part of the pause between two reads for each listed host, in ms: with two catalogs and jitter
/// the fleet makes some 133 reads a second at most, a fifteenth of what the platform gives.
const READ_PAUSE_BY_HOST: u64 = 10;
/// How many times longer a starting host that is no seed waits before it reads.
const OTHERS_WAIT: u64 = 10;

impl Core {
    /// Sends the reads and watches that are due.
    pub(super) fn ask_platform(&mut self) {
        for kind in catalog::Kind::ALL {
            if self.is_watcher() {
                self.watch(kind);
                continue;
            }
            self.read_if_stale(kind);
        }
    }

    fn watch(&mut self, kind: catalog::Kind) {
        let now = self.now;
        let shelf = &mut self.shelves[kind.index()];
        if shelf.is_watching || shelf.watch_at > now || shelf.pending.is_some() && shelf.read_at > now {
            return;
        }
        shelf.is_watching = true;
        let after = shelf.stamp.version;
        self.outputs.push(Output::Watch { kind, after });
    }

    /// A host that nobody tells anything reads for itself: when it starts without peers, or when
    /// its last confirmation is too old. Jitter spreads many hosts that wake together.
    fn read_if_stale(&mut self, kind: catalog::Kind) {
        let now = self.now;
        let start_wait = self.start_wait();
        let start_jitter = self.random.random_range(0..=3 * start_wait.0);
        let read_pause = self.read_pause();
        let pause_jitter = self.random.random_range(0..=read_pause.0);
        let shelf = &mut self.shelves[kind.index()];
        let is_new = shelf.stamp.version == 0;
        if shelf.read_at == clock::Millis::ZERO {
            shelf.read_at = self.started_at + start_wait + clock::Millis(start_jitter);
        }
        let is_stale = shelf.fresh_at.is_none_or(|at| now.since(at) > self.policy.stale);
        if shelf.read_at > now || !(is_new || is_stale) {
            return;
        }
        let pause = if is_new { self.policy.start_wait } else { read_pause };
        shelf.read_at = now + pause + clock::Millis(pause_jitter);
        self.outputs.push(Output::ReadManifest(kind));
    }

    /// Least time between two reads of this host. When the platform is away for long, every host
    /// becomes stale, and all of them read in turn; the pause grows with the list of hosts so that a
    /// platform that comes back is not met by more calls the larger the fleet is.
    fn read_pause(&self) -> clock::Millis {
        self.policy.read_pause.max(clock::Millis(self.peers.len() as u64 * READ_PAUSE_BY_HOST))
    }

    /// How long a starting host waits for others before it reads. When a whole fleet starts at once
    /// there is nobody to learn from yet, and if all read, the platform gets thousands of calls a
    /// second. So the hosts that the settings name as seeds read first; by the time that the rest
    /// would, the seeds have told them.
    pub(super) fn start_wait(&self) -> clock::Millis {
        let seeds = &self.identity.seeds;
        let is_seed = seeds.contains(&self.identity.peer);
        let has_others = seeds.iter().any(|seed| *seed != self.identity.peer);
        if is_seed || !has_others {
            return self.policy.start_wait;
        }
        clock::Millis(self.policy.start_wait.0 * OTHERS_WAIT)
    }

    pub(super) fn on_manifest(&mut self, kind: catalog::Kind, watched: bool, text: Option<Arc<str>>) {
        let jitter = self.random.random_range(0..=3 * WATCH_PAUSE.0);
        let now = self.now;
        let shelf = &mut self.shelves[kind.index()];
        if watched {
            shelf.is_watching = false;
        }
        let Some(text) = text else {
            self.stats.platform_failures += 1;
            shelf.watch_at = now + WATCH_PAUSE + clock::Millis(jitter);
            return;
        };
        let manifest = match (self.reader.manifest)(&text) {
            Ok(manifest) => manifest,
            Err(faults) => {
                shelf.watch_at = now + WATCH_PAUSE + clock::Millis(jitter);
                let stamp =
                    crate::view::Stamp { digest: catalog::Digest::of(&text).0, ..crate::view::Stamp::default() };
                self.refuse(kind, stamp, faults);
                return;
            }
        };
        let stamp = manifest.stamp();
        if stamp < shelf.stamp {
            self.stats.platform_stale += 1;
            shelf.watch_at = now + WATCH_PAUSE + clock::Millis(jitter);
        }
        if stamp == shelf.stamp {
            shelf.fresh_at = Some(now);
        }
        let is_refused = shelf.refused == Some(stamp);
        if is_refused {
            shelf.fresh_at = Some(now);
            shelf.watch_at = now + WATCH_PAUSE + clock::Millis(jitter);
        }
        if stamp <= shelf.stamp && !crate::mutant::is(crate::mutant::Mutant::AcceptOlder) || is_refused {
            return;
        }
        self.collect(kind, manifest);
    }

    /// Fetches the parts that a newer manifest of the platform names and this host lacks.
    fn collect(&mut self, kind: catalog::Kind, manifest: catalog::Manifest) {
        let shelf = &mut self.shelves[kind.index()];
        let lacking: Vec<CompactString> =
            shelf.current.missing_parts(&manifest).into_iter().map(|(key, _)| key.clone()).collect();
        shelf.pending = Some(manifest);
        shelf.read_at = self.now + WATCH_PAUSE;
        for key in lacking {
            self.outputs.push(Output::ReadPart { kind, key });
        }
        if self.try_adopt(kind) {
            self.shelves[kind.index()].fresh_at = Some(self.now);
        }
    }

    pub(super) fn on_part(&mut self, kind: catalog::Kind, key: CompactString, text: Option<Arc<str>>) {
        let shelf = &mut self.shelves[kind.index()];
        let Some(text) = text else {
            self.stats.platform_failures += 1;
            return;
        };
        let digest = catalog::Digest::of(&text);
        let is_wanted = shelf.pending.as_ref().is_some_and(|manifest| manifest.parts.get(&key) == Some(&digest));
        if !is_wanted {
            return;
        }
        shelf.current.texts.insert(digest, text);
        if self.try_adopt(kind) {
            self.shelves[kind.index()].fresh_at = Some(self.now);
        }
    }
}
