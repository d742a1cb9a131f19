//! A simulated leaf, with slots, a bounded queue, periodic pauses and a pool of idle connections for each host.

use std::collections::VecDeque;

use indexmap::IndexMap;
use shallothub_core::id;

/// The host that sent a request, and its attempt.
pub type Sender = (usize, id::Attempt);

/// A queued request.
#[derive(Clone, Copy, Debug)]
struct Job {
    sender: Sender,
    /// Slot time that it needs, in ms.
    work: u64,
}

/// A request in a slot, and when it completes, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    pub sender: Sender,
    pub ends: u64,
}

#[derive(Debug)]
pub struct Leaf {
    slots: usize,
    queue: usize,
    /// The leaf pauses for `pause` ms once in every `pause_interval` ms, shifted by `pause_phase`.
    pause: u64,
    pause_interval: u64,
    pause_phase: u64,
    running: Vec<Run>,
    waiting: VecDeque<Job>,
    /// Idle connections by host, each with the time since which it is idle.
    idle: IndexMap<usize, Vec<u64>>,
    /// Time after which the leaf closes an idle connection, in ms.
    idle_timeout: u64,
}

impl Leaf {
    pub fn new(slots: usize, queue: usize, pause: u64, pause_interval: u64, pause_phase: u64) -> Self {
        Self {
            slots,
            queue,
            pause,
            pause_interval,
            pause_phase,
            running: Vec::new(),
            waiting: VecDeque::new(),
            idle: IndexMap::new(),
            idle_timeout: u64::MAX,
        }
    }

    pub fn with_idle_timeout(self, idle_timeout: u64) -> Self {
        Self { idle_timeout, ..self }
    }

    /// Number of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Takes the idle connection of `host` that was used last; returns `false` if it has to open one.
    pub fn connect(&mut self, now: u64, host: usize) -> bool {
        let idle = self.idle.entry(host).or_default();
        let timeout = self.idle_timeout;
        idle.retain(|since| now - since < timeout);
        idle.pop().is_some()
    }

    /// Queues a request. Returns the requests that start now, `None` if the queue is full.
    pub fn submit(&mut self, now: u64, sender: Sender, work: u64) -> Option<Vec<Run>> {
        if self.waiting.len() >= self.queue {
            return None;
        }
        self.waiting.push_back(Job { sender, work });
        Some(self.start_waiting(now))
    }

    /// Completes a request. Returns the requests that start now, `None` if the request was canceled before.
    pub fn complete(&mut self, now: u64, run: Run) -> Option<Vec<Run>> {
        let position = self.running.iter().position(|other| *other == run)?;
        self.running.swap_remove(position);
        self.idle.entry(run.sender.0).or_default().push(now);
        Some(self.start_waiting(now))
    }

    /// Drops the request of a sender that closed its connection. Returns the requests that start now.
    pub fn cancel(&mut self, now: u64, sender: Sender) -> Vec<Run> {
        self.waiting.retain(|job| job.sender != sender);
        self.running.retain(|run| run.sender != sender);
        self.start_waiting(now)
    }

    fn start_waiting(&mut self, now: u64) -> Vec<Run> {
        let mut started = Vec::new();
        while self.running.len() < self.slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            let run = Run { sender: job.sender, ends: self.completion_time(now, job.work.max(1)) };
            self.running.push(run);
            started.push(run);
        }
        started
    }

    /// When `work` that starts now completes, pauses included.
    fn completion_time(&self, now: u64, work: u64) -> u64 {
        let offset = (now + self.pause_phase) % self.pause_interval;
        let (begin, until_pause) = if offset < self.pause {
            (now + self.pause - offset, self.pause_interval - self.pause)
        } else {
            (now, self.pause_interval - offset)
        };
        begin + work + if self.pause > 0 { (work / until_pause.max(1)).min(1) * self.pause } else { 0 }
    }
}
