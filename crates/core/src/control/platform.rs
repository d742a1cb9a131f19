//! Reads and watches of the platform: which hosts make them, and at which intervals.

use std::sync::Arc;

use compact_str::CompactString;
use rand::Rng;

use crate::{catalog, clock};

use super::{Core, Output};

/// Minimum delay before a failed watch is retried.
const WATCH_RETRY_DELAY: clock::Millis = clock::Millis(500);
/// Minimum pause between two reads of a host, in ms per listed host. With two catalogs and jitter, the fleet makes
/// at most about 133 reads a second, a fifteenth of what the platform allows.
const READ_PAUSE_PER_HOST: u64 = 10;
/// Factor by which a starting host that is not a seed waits longer before it reads.
const NON_SEED_WAIT_FACTOR: u64 = 10;

impl Core {
    /// Sends the reads and watches that are due.
    pub(super) fn poll_platform(&mut self) {
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
        let replica = &mut self.replicas[kind.index()];
        if replica.is_watching || replica.next_watch_at > now || replica.pending.is_some() && replica.next_read_at > now
        {
            return;
        }
        replica.is_watching = true;
        let after = replica.stamp.version;
        self.outputs.push(Output::Watch { kind, after });
    }

    /// Reads the platform if this host gets no updates from others: when it starts without peers, or when its last
    /// confirmation is too old. Jitter spreads the reads of hosts that start together.
    fn read_if_stale(&mut self, kind: catalog::Kind) {
        let now = self.now;
        let start_wait = self.start_wait();
        let start_jitter = self.random.random_range(0..=3 * start_wait.0);
        let read_pause = self.read_pause();
        let pause_jitter = self.random.random_range(0..=read_pause.0);
        let replica = &mut self.replicas[kind.index()];
        let is_new = replica.stamp.version == 0;
        if replica.next_read_at == clock::Millis::ZERO {
            replica.next_read_at = self.started_at + start_wait + clock::Millis(start_jitter);
        }
        let is_stale = replica.confirmed_at.is_none_or(|at| now.since(at) > self.policy.stale);
        if replica.next_read_at > now || !(is_new || is_stale) {
            return;
        }
        let pause = if is_new { self.policy.start_wait } else { read_pause };
        replica.next_read_at = now + pause + clock::Millis(pause_jitter);
        self.outputs.push(Output::ReadManifest(kind));
    }

    /// Minimum time between two reads of this host. During a long outage of the platform, all hosts become stale and
    /// keep reading. The pause grows with the number of hosts so that the load on a returning platform does not grow
    /// with the size of the fleet.
    fn read_pause(&self) -> clock::Millis {
        self.policy.read_pause.max(clock::Millis(self.peers.len() as u64 * READ_PAUSE_PER_HOST))
    }

    /// How long a starting host waits for others before it reads. When a whole fleet starts at once, no host has
    /// catalogs to send yet, and if all hosts read, the platform gets thousands of calls a second. So the seeds in
    /// the settings read first, and have sent the catalogs to the other hosts before these would read.
    pub(super) fn start_wait(&self) -> clock::Millis {
        let seeds = &self.identity.seeds;
        let is_seed = seeds.contains(&self.identity.peer);
        let has_others = seeds.iter().any(|seed| *seed != self.identity.peer);
        if is_seed || !has_others {
            return self.policy.start_wait;
        }
        clock::Millis(self.policy.start_wait.0 * NON_SEED_WAIT_FACTOR)
    }

    pub(super) fn on_manifest(&mut self, kind: catalog::Kind, is_watch: bool, text: Option<Arc<str>>) {
        let jitter = self.random.random_range(0..=3 * WATCH_RETRY_DELAY.0);
        let now = self.now;
        let replica = &mut self.replicas[kind.index()];
        if is_watch {
            replica.is_watching = false;
        }
        let Some(text) = text else {
            self.stats.platform_failures += 1;
            replica.next_watch_at = now + WATCH_RETRY_DELAY + clock::Millis(jitter);
            return;
        };
        let manifest = match (self.reader.manifest)(&text) {
            Ok(manifest) => manifest,
            Err(faults) => {
                replica.next_watch_at = now + WATCH_RETRY_DELAY + clock::Millis(jitter);
                let stamp =
                    crate::view::Stamp { digest: catalog::Digest::of(&text).0, ..crate::view::Stamp::default() };
                self.refuse(kind, stamp, faults);
                return;
            }
        };
        let stamp = manifest.stamp();
        if stamp < replica.stamp {
            self.stats.platform_stale += 1;
            replica.next_watch_at = now + WATCH_RETRY_DELAY + clock::Millis(jitter);
        }
        if stamp == replica.stamp {
            replica.confirmed_at = Some(now);
        }
        let is_refused = replica.refused == Some(stamp);
        if is_refused {
            replica.confirmed_at = Some(now);
            replica.next_watch_at = now + WATCH_RETRY_DELAY + clock::Millis(jitter);
        }
        if stamp <= replica.stamp && !crate::mutant::is(crate::mutant::Mutant::AcceptOlder) || is_refused {
            return;
        }
        self.collect(kind, manifest);
    }

    /// Reads the parts of a newer manifest that this host does not have.
    fn collect(&mut self, kind: catalog::Kind, manifest: catalog::Manifest) {
        let replica = &mut self.replicas[kind.index()];
        let missing: Vec<CompactString> =
            replica.current.missing_parts(&manifest).into_iter().map(|(key, _)| key.clone()).collect();
        replica.pending = Some(manifest);
        replica.next_read_at = self.now + WATCH_RETRY_DELAY;
        for key in missing {
            self.outputs.push(Output::ReadPart { kind, key });
        }
        if self.try_adopt(kind) {
            self.replicas[kind.index()].confirmed_at = Some(self.now);
        }
    }

    pub(super) fn on_part(&mut self, kind: catalog::Kind, key: CompactString, text: Option<Arc<str>>) {
        let replica = &mut self.replicas[kind.index()];
        let Some(text) = text else {
            self.stats.platform_failures += 1;
            return;
        };
        let digest = catalog::Digest::of(&text);
        let is_wanted = replica.pending.as_ref().is_some_and(|manifest| manifest.parts.get(&key) == Some(&digest));
        if !is_wanted {
            return;
        }
        replica.current.texts.insert(digest, text);
        if self.try_adopt(kind) {
            self.replicas[kind.index()].confirmed_at = Some(self.now);
        }
    }
}
