//! The node's lifecycle as types, so that a transition out of order does not compile.
//!
//! `Starting -> Ready -> Draining -> Stopped`. Starting: not ready, no view yet. Ready: the load
//! balancer may send requests. Draining: not ready but still serving, first for the balancer's lag and
//! then until the last answer has reached its caller; listeners close in between. Stopped: no connection is open.
//!
//! An answer counts as delivered once its caller's kernel has acknowledged it, not once the HTTP library has it: a
//! caller that reads slowly takes seconds for bytes that the process would lose if it exited. Each connection stays
//! open until then (see `lane::inbound`), so draining waits for open connections as well as for requests.

use std::{marker::PhantomData, sync::Arc};

use shallothub_core::clock;
use tokio::time::sleep;

use crate::{shared, time};

/// Interval at which a waiting node polls its state.
const POLL_INTERVAL: clock::Millis = clock::Millis(20);
/// How long no request may be in flight before the node counts as idle: a request may still be arriving
/// on an idle connection.
const IDLE_PERIOD: clock::Millis = clock::Millis(200);

/// The stage before the first view is in force.
#[derive(Debug)]
pub struct Starting;
/// The stage in which the load balancer may send requests.
#[derive(Debug)]
pub struct Ready;
/// The stage after a stop was requested, until all answers are delivered or the drain times out.
#[derive(Debug)]
pub struct Draining;
/// The stage after draining; requests that exceeded the maximum drain time may still be in flight.
#[derive(Debug)]
pub struct Stopped;

/// A node in the lifecycle stage `S`.
#[derive(Debug)]
pub struct Node<S> {
    shared: Arc<shared::Shared>,
    stage: PhantomData<S>,
}

impl<S> Node<S> {
    fn transition<T>(self, phase: shared::Phase) -> Node<T> {
        self.shared.set_phase(phase);
        Node { shared: self.shared, stage: PhantomData }
    }
}

impl Node<Starting> {
    /// Wraps a node whose threads are already running.
    pub fn new(shared: Arc<shared::Shared>) -> Self {
        Self { shared, stage: PhantomData }
    }

    /// Waits until a view is in force.
    pub async fn ready(self) -> Node<Ready> {
        while !self.shared.has_view() {
            sleep(time::duration(POLL_INTERVAL)).await;
        }
        tracing::info!(host = %self.shared.settings.name, "ready");
        self.transition(shared::Phase::Ready)
    }

    /// Starts draining before a view is in force.
    pub fn abandon(self) -> Node<Draining> {
        self.transition(shared::Phase::Draining)
    }
}

impl Node<Ready> {
    /// Reports the node as not ready to the load balancer; requests that still arrive are served.
    pub fn drain(self) -> Node<Draining> {
        tracing::info!(host = %self.shared.settings.name, "draining");
        self.shared.control.send(shared::ToControl::Leaving).ok();
        self.transition(shared::Phase::Draining)
    }
}

impl Node<Draining> {
    /// Serves for the balancer's lag, closes the listeners, and waits until all answers are delivered or the drain
    /// times out.
    pub async fn stop(self) -> Node<Stopped> {
        let settings = &self.shared.settings;
        sleep(time::duration(settings.balancer_lag_ms)).await;
        self.shared.set_phase(shared::Phase::Closing);
        let end = self.shared.clock.now() + settings.drain_most_ms;
        let mut idle = clock::Millis::ZERO;
        while idle < IDLE_PERIOD && self.shared.clock.now() < end {
            sleep(time::duration(POLL_INTERVAL)).await;
            idle = if self.is_idle() { idle + POLL_INTERVAL } else { clock::Millis::ZERO };
        }
        let (in_flight, connections) = (self.shared.in_flight(), self.shared.open_connections());
        tracing::info!(host = %settings.name, in_flight, connections, "stopped");
        self.transition(shared::Phase::Stopped)
    }

    /// Whether no request is in flight and no caller's connection is open.
    fn is_idle(&self) -> bool {
        self.shared.in_flight() == 0 && self.shared.open_connections() == 0
    }
}

impl Node<Stopped> {
    /// Number of requests that were still in flight when the maximum drain time passed.
    pub fn unfinished(&self) -> u32 {
        self.shared.in_flight()
    }

    /// Number of connections that were still open then, with answers that their callers had not received completely.
    pub fn undelivered(&self) -> u32 {
        self.shared.open_connections()
    }
}
