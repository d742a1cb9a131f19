//! The life of a node as types: a step that is out of order does not compile.
//!
//! `Starting -> Ready -> Draining -> Stopped`. Starting: not ready, no view yet. Ready: the balancer
//! may send callers. Draining: not ready again but still serving, first for the balancer's lag and
//! then until the last request is answered; listeners close in between. Stopped: nothing in flight.

use std::{marker::PhantomData, sync::Arc};

use shallothub_core::clock;
use tokio::time::sleep;

use crate::{shared, time};

/// How often a waiting node looks again.
const LOOK: clock::Millis = clock::Millis(20);
/// How long no request must be in flight before the node counts as quiet: a request may be on its
/// way on a connection that was idle.
const QUIET: clock::Millis = clock::Millis(200);

/// No view yet.
#[derive(Debug)]
pub struct Starting;
/// Serving.
#[derive(Debug)]
pub struct Ready;
/// Asked to stop.
#[derive(Debug)]
pub struct Draining;
/// Nothing in flight.
#[derive(Debug)]
pub struct Stopped;

/// A node in one stage of its life.
#[derive(Debug)]
pub struct Node<S> {
    shared: Arc<shared::Shared>,
    stage: PhantomData<S>,
}

impl<S> Node<S> {
    fn enter<T>(self, phase: shared::Phase) -> Node<T> {
        self.shared.enter(phase);
        Node { shared: self.shared, stage: PhantomData }
    }
}

impl Node<Starting> {
    /// A node whose threads run.
    pub fn new(shared: Arc<shared::Shared>) -> Self {
        Self { shared, stage: PhantomData }
    }

    /// Waits for the first view.
    pub async fn ready(self) -> Node<Ready> {
        while !self.shared.has_view() {
            sleep(time::duration(LOOK)).await;
        }
        tracing::info!(host = %self.shared.settings.name, "ready");
        self.enter(shared::Phase::Ready)
    }

    /// Stops before there was a view.
    pub fn abandon(self) -> Node<Draining> {
        self.enter(shared::Phase::Draining)
    }
}

impl Node<Ready> {
    /// Turns the balancer away; callers that still come are served.
    pub fn drain(self) -> Node<Draining> {
        tracing::info!(host = %self.shared.settings.name, "draining");
        self.shared.control.send(shared::ToControl::Leaving).ok();
        self.enter(shared::Phase::Draining)
    }
}

impl Node<Draining> {
    /// Serves through the balancer's lag, closes the listeners, and waits for the last answer.
    pub async fn stop(self) -> Node<Stopped> {
        let settings = &self.shared.settings;
        sleep(time::duration(settings.balancer_lag_ms)).await;
        self.shared.enter(shared::Phase::Closing);
        let mut waited = clock::Millis::ZERO;
        let mut quiet = clock::Millis::ZERO;
        while quiet < QUIET && waited < settings.drain_most_ms {
            sleep(time::duration(LOOK)).await;
            waited = waited + LOOK;
            quiet = if self.shared.in_flight() == 0 { quiet + LOOK } else { clock::Millis::ZERO };
        }
        let in_flight = self.shared.in_flight();
        tracing::info!(host = %settings.name, in_flight, "stopped");
        self.enter(shared::Phase::Stopped)
    }
}

impl Node<Stopped> {
    /// Requests that were cut off because they outlasted the longest drain.
    pub fn cut_off(&self) -> u32 {
        self.shared.in_flight()
    }
}
