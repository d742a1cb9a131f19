//! Connection pools for backend servers.
//!
//! An attempt holds one connection, and the core limits the attempts in flight at a server to this
//! lane's share. A connection is opened only when none is idle, so idle and busy ones together stay
//! within the share. hyper implements the protocol on each connection but not the pooling, because
//! existing pools do not limit open connections and retry on their own.
//!
//! A server may send a reply a second time, where the reply to a later request is expected. Attempts of one
//! request may share the id by which replies are matched, so the late copy of a rejection would pass for the
//! reply to the next attempt. Therefore a connection never carries two attempts of the same request.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::client::conn::http1;
use indexmap::IndexMap;
use prometheus::IntCounter;
use shallothub_core::{catalog, clock, id, traffic::event};
use tokio::task;

use crate::metered;

/// Idle timeout of a server that does not report its own.
const DEFAULT_IDLE_TIMEOUT: clock::Millis = clock::Millis(30_000);
/// Fraction of the server's idle timeout within which a connection is reused: a request sent while the
/// server closes the connection has an unknown outcome.
const IDLE_REUSE_FRACTION: f64 = 0.7;
/// Maximum idle time of a connection that is reused for a non-idempotent request. Connections break and
/// servers become unreachable without notice; a request sent then has an unknown outcome. A new connection
/// proves that the server is up, at the cost of one for most such requests: over 12 days with such
/// requests, 361 of them failed, against 399 with 1000 ms.
const MAX_IDLE_NON_IDEMPOTENT: clock::Millis = clock::Millis(200);

/// Maximum number of unanswered requests that a connection remembers; with more, it is not reused.
const MAX_UNANSWERED: usize = 64;

/// The id that all attempts of a request share, hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Identity(u64);

impl Identity {
    /// The identity of requests whose replies bear `reply_id`.
    pub(crate) fn new(reply_id: &[u8]) -> Self {
        Self(catalog::Digest::of_bytes(reply_id).0)
    }
}

/// The requests of a connection that ended there without an answer, and may be attempted again.
#[derive(Debug, Default)]
struct Unanswered(Vec<(Identity, clock::Millis)>);

impl Unanswered {
    /// Adds a request that is not attempted again after `deadline`.
    fn add(&mut self, request: Identity, deadline: clock::Millis, now: clock::Millis) {
        self.0.retain(|(_, deadline)| *deadline > now);
        self.0.push((request, deadline));
    }

    fn contains(&self, request: Identity) -> bool {
        self.0.iter().any(|(other, _)| *other == request)
    }

    fn is_full(&self) -> bool {
        self.0.len() >= MAX_UNANSWERED
    }
}

/// A connection to a backend server. Dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    pub(crate) driver: task::AbortHandle,
    pub(crate) _permit: Permit,
    /// The server's address, `IP:PORT`.
    pub(crate) address: CompactString,
    /// The time at which it last became idle.
    pub(crate) idle_since: clock::Millis,
    /// Time for which the server keeps it open while idle.
    pub(crate) idle_timeout: clock::Millis,
    unanswered: Unanswered,
    /// Bounds the bytes of each reply.
    pub(crate) budget: metered::Budget,
}

impl Connection {
    pub(crate) fn new(
        sender: http1::SendRequest<Full<Bytes>>,
        driver: task::AbortHandle,
        permit: Permit,
        address: CompactString,
        budget: metered::Budget,
    ) -> Self {
        let idle_since = clock::Millis::ZERO;
        Self {
            sender,
            driver,
            _permit: permit,
            address,
            idle_since,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            unanswered: Unanswered::default(),
            budget,
        }
    }

    /// Keeps later attempts of `request` off this connection until `deadline`, after which there are none.
    pub(crate) fn record_unanswered(&mut self, request: Identity, deadline: clock::Millis, now: clock::Millis) {
        self.unanswered.add(request, deadline, now);
    }

    fn is_usable(&self, now: clock::Millis, dispatch: &event::Dispatch) -> bool {
        let idle = now.since(self.idle_since);
        let max_idle = self.idle_timeout.scale(IDLE_REUSE_FRACTION);
        let max_idle = if dispatch.idempotent { max_idle } else { max_idle.min(MAX_IDLE_NON_IDEMPOTENT) };
        // After a server has moved, its old address may still answer with the server's old role.
        self.sender.is_ready() && idle <= max_idle && self.address == dispatch.address
    }
}

/// Counts one connection, to its server and in total, until dropped.
#[derive(Debug)]
pub(crate) struct Permit([Rc<Cell<usize>>; 2]);

impl Permit {
    fn new(counts: [Rc<Cell<usize>>; 2]) -> Self {
        for count in &counts {
            count.set(count.get() + 1);
        }
        Self(counts)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        for count in &self.0 {
            count.set(count.get().saturating_sub(1));
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug, Default)]
struct Pool {
    idle: Vec<Connection>,
    limit: usize,
    open_count: Rc<Cell<usize>>,
}

/// Fraction of the process's file descriptors for connections to servers; callers, other hosts and the
/// rest of the process need the others.
const DESCRIPTOR_FRACTION: f64 = 0.6;

/// The pools of one lane, by server.
#[derive(Debug)]
pub(crate) struct Pools {
    pools: IndexMap<id::Server, Pool>,
    /// The number of connections to all servers, and its limit.
    open_count: Rc<Cell<usize>>,
    limit: usize,
    /// Idle connections that an attempt did not use because they had carried its request before.
    reuses_avoided: IntCounter,
}

impl Pools {
    /// Creates the pools of one of `lanes` lanes in a process limited to `descriptors` file descriptors.
    pub(crate) fn new(descriptors: u32, lanes: usize, reuses_avoided: IntCounter) -> Self {
        let limit = (f64::from(descriptors) * DESCRIPTOR_FRACTION) as usize / lanes.max(1);
        Self { pools: IndexMap::new(), open_count: Rc::default(), limit: limit.max(1), reuses_avoided }
    }

    /// Takes the most recently used idle connection that is open, leads to the server's current address, has not
    /// been idle too long for the request and carried no other attempt of it. Closes the unusable ones before it.
    pub(crate) fn take(
        &mut self,
        dispatch: &event::Dispatch,
        request: Option<Identity>,
        now: clock::Millis,
    ) -> Option<Connection> {
        let pool = self.pools.get_mut(&dispatch.server)?;
        for index in (0..pool.idle.len()).rev() {
            let connection = &pool.idle[index];
            if !connection.is_usable(now, dispatch) {
                pool.idle.remove(index);
                continue;
            }
            if request.is_some_and(|request| connection.unanswered.contains(request)) {
                self.reuses_avoided.inc();
                continue;
            }
            return Some(pool.idle.remove(index));
        }
        None
    }

    /// Closes an idle connection to `server` that an attempt cannot use, if its new one would exceed the share.
    pub(crate) fn make_room(&mut self, server: id::Server) {
        let Some(pool) = self.pools.get_mut(&server) else {
            return;
        };
        if pool.open_count.get() >= pool.limit && !pool.idle.is_empty() {
            pool.idle.remove(0);
        }
    }

    /// Counts a connection that is about to be opened; the permit must live as long as the connection.
    /// `None` if it would exceed the share, which the core's limit on attempts rules out.
    pub(crate) fn acquire(&mut self, server: id::Server) -> Option<Permit> {
        if self.open_count.get() >= self.limit {
            self.close_longest_idle();
        }
        let pool = self.pools.entry(server).or_default();
        if pool.open_count.get() >= pool.limit {
            return None;
        }
        Some(Permit::new([Rc::clone(&pool.open_count), Rc::clone(&self.open_count)]))
    }

    /// Closes the connection that has been idle for longest, to make room for a new one. If none is idle,
    /// the new one exceeds the limit, which the reserve of descriptors allows for.
    fn close_longest_idle(&mut self) {
        let idle = self.pools.values_mut().filter(|pool| !pool.idle.is_empty());
        if let Some(pool) = idle.min_by_key(|pool| pool.idle[0].idle_since) {
            pool.idle.remove(0);
        }
    }

    /// Returns a connection to its pool, or closes it if the share has shrunk or it remembers too many requests.
    pub(crate) fn put(&mut self, server: id::Server, connection: Connection) {
        let pool = self.pools.entry(server).or_default();
        if pool.open_count.get() > pool.limit || connection.unanswered.is_full() {
            return;
        }
        pool.idle.push(connection);
    }

    /// Limits the connections to `server`. Surplus busy ones are closed when they are returned.
    pub(crate) fn trim(&mut self, server: id::Server, limit: usize) {
        let pool = self.pools.entry(server).or_default();
        pool.limit = limit;
        while pool.open_count.get() > limit && pool.idle.pop().is_some() {}
        if limit == 0 && pool.open_count.get() == 0 {
            self.pools.swap_remove(&server);
        }
    }
}
