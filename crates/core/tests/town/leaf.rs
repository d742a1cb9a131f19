//! A leaf of the town: slots, a queue, pauses, and connections that cost a moment of a slot when they are new.

use std::collections::VecDeque;

use indexmap::IndexMap;
use shallothub_core::id;

/// Who asked: a host and its attempt.
pub type Asker = (usize, id::Attempt);

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct Job {
    asker: Asker,
    /// Time of a slot that it needs, in ms.
    work: u64,
}

/// A request that has begun, and when it ends, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Begun {
    pub asker: Asker,
    pub ends: u64,
}

#[derive(Debug)]
pub struct Leaf {
    slots: usize,
    queue: usize,
    /// It stands still for `pause` ms once in `pause_every` ms, each leaf at its own time.
    pause: u64,
    pause_every: u64,
    pause_phase: u64,
    running: Vec<Begun>,
    waiting: VecDeque<Job>,
    /// Idle connections by host.
    idle: IndexMap<usize, u32>,
}

impl Leaf {
    pub fn new(slots: usize, queue: usize, pause: u64, pause_every: u64, pause_phase: u64) -> Self {
        Self {
            slots,
            queue,
            pause,
            pause_every,
            pause_phase,
            running: Vec::new(),
            waiting: VecDeque::new(),
            idle: IndexMap::new(),
        }
    }

    /// Requests that run and that wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Takes an idle connection of `host`; `false` if it has to open one.
    pub fn connect(&mut self, host: usize) -> bool {
        let idle = self.idle.entry(host).or_default();
        let is_there = *idle > 0;
        *idle = idle.saturating_sub(1);
        is_there
    }

    /// A request came. `None` if the queue is full; else what began at once because of it.
    pub fn take(&mut self, now: u64, asker: Asker, work: u64) -> Option<Vec<Begun>> {
        if self.waiting.len() >= self.queue {
            return None;
        }
        self.waiting.push_back(Job { asker, work });
        Some(self.begin(now))
    }

    /// The request ended and is answered. What began because of it; `None` if it had been given up.
    pub fn end(&mut self, now: u64, begun: Begun) -> Option<Vec<Begun>> {
        let place = self.running.iter().position(|row| *row == begun)?;
        self.running.swap_remove(place);
        *self.idle.entry(begun.asker.0).or_default() += 1;
        Some(self.begin(now))
    }

    /// The asker closed the connection: its request is dropped. What began because of it.
    pub fn drop_request(&mut self, now: u64, asker: Asker) -> Vec<Begun> {
        self.waiting.retain(|job| job.asker != asker);
        self.running.retain(|row| row.asker != asker);
        self.begin(now)
    }

    fn begin(&mut self, now: u64) -> Vec<Begun> {
        let mut begun = Vec::new();
        while self.running.len() < self.slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            let row = Begun { asker: job.asker, ends: self.end_of(now, job.work.max(1)) };
            self.running.push(row);
            begun.push(row);
        }
        begun
    }

    /// When `work` that begins now is done, with the pauses that it meets.
    fn end_of(&self, now: u64, work: u64) -> u64 {
        let into = (now + self.pause_phase) % self.pause_every;
        let (begin, until_pause) = if into < self.pause {
            (now + self.pause - into, self.pause_every - self.pause)
        } else {
            (now, self.pause_every - into)
        };
        begin + work + if self.pause > 0 { (work / until_pause.max(1)).min(1) * self.pause } else { 0 }
    }
}
