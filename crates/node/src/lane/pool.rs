//! Idle connections to backend servers.
//!
//! An attempt holds one connection, and the core bounds the attempts in flight at a server by this
//! lane's share. A connection is opened only when none is idle, so idle and busy ones together stay
//! within the share. hyper speaks the protocol on each connection; the table is ours, because a
//! ready-made pool has no bound on open connections and retries by itself.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::client::conn::http1;
use indexmap::IndexMap;
use shallothub_core::{clock, id, traffic::event};
use tokio::task;

/// Longest time that a connection is kept idle when the server does not say how long it does.
const IDLE: clock::Millis = clock::Millis(30_000);
/// Part of the time that the server keeps an idle connection in which it is used: a request that
/// crosses the server's close comes to an unknown end.
const IDLE_USED: f64 = 0.7;
/// Longest idle time of a connection that gets a request which may run once only. Connections are lost
/// without a word, and servers go dark; what was sent then comes to an unknown end. Opening a connection
/// proves that the server is there, and costs one in most such requests: of 12 days with such requests, 361
/// of them failed in place of 399 with 1000.
const IDLE_ONCE: clock::Millis = clock::Millis(200);

/// A connection to a backend server. Dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    pub(crate) driver: task::AbortHandle,
    pub(crate) _counted: Counted,
    /// Where it leads.
    pub(crate) address: CompactString,
    /// When it became idle.
    pub(crate) idle_since: clock::Millis,
    /// How long the server keeps it idle.
    pub(crate) idle_most: clock::Millis,
}

impl Connection {
    pub(crate) fn new(
        sender: http1::SendRequest<Full<Bytes>>,
        driver: task::AbortHandle,
        counted: Counted,
        address: CompactString,
    ) -> Self {
        let idle_since = clock::Millis::ZERO;
        Self { sender, driver, _counted: counted, address, idle_since, idle_most: IDLE }
    }

    fn is_usable(&self, now: clock::Millis, dispatch: &event::Dispatch) -> bool {
        let idle = now.since(self.idle_since);
        let most = self.idle_most.scale(IDLE_USED);
        let most = if dispatch.idempotent { most } else { most.min(IDLE_ONCE) };
        // A server that moved may still answer where it was, as whatever it was then.
        self.sender.is_ready() && idle <= most && self.address == dispatch.address
    }
}

/// One in the counts of connections to a server and to all, until dropped.
#[derive(Debug)]
pub(crate) struct Counted([Rc<Cell<usize>>; 2]);

impl Counted {
    fn new(counts: [Rc<Cell<usize>>; 2]) -> Self {
        for count in &counts {
            count.set(count.get() + 1);
        }
        Self(counts)
    }
}

impl Drop for Counted {
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
    keep: usize,
    open: Rc<Cell<usize>>,
}

/// Part of the process's descriptors that connections to servers take at most; callers, hosts and the
/// rest need theirs.
const DESCRIPTORS_PART: f64 = 0.6;

/// Idle connections by server.
#[derive(Debug)]
pub(crate) struct Pools {
    pools: IndexMap<id::Server, Pool>,
    /// Connections to all servers, and the most that there may be.
    open: Rc<Cell<usize>>,
    most: usize,
}

impl Pools {
    /// Pools of one of `lanes` lanes of a process that may have `descriptors` open.
    pub(crate) fn new(descriptors: u32, lanes: usize) -> Self {
        let most = (f64::from(descriptors) * DESCRIPTORS_PART) as usize / lanes.max(1);
        Self { pools: IndexMap::new(), open: Rc::default(), most: most.max(1) }
    }

    /// Takes the most recently used idle connection to the server's address that is still open and young
    /// enough for the request; others are closed on the way.
    pub(crate) fn take(&mut self, dispatch: &event::Dispatch, now: clock::Millis) -> Option<Connection> {
        let pool = self.pools.get_mut(&dispatch.server)?;
        while let Some(connection) = pool.idle.pop() {
            if connection.is_usable(now, dispatch) {
                return Some(connection);
            }
        }
        None
    }

    /// Counts a connection that is about to be opened, and hands out its place in the count to keep.
    /// `None` if it would be one more than the share, which the core's bound on attempts excludes.
    pub(crate) fn open(&mut self, server: id::Server) -> Option<Counted> {
        if self.open.get() >= self.most {
            self.close_oldest();
        }
        let pool = self.pools.entry(server).or_default();
        if pool.open.get() >= pool.keep {
            return None;
        }
        Some(Counted::new([Rc::clone(&pool.open), Rc::clone(&self.open)]))
    }

    /// Closes the connection that has been idle for longest, to make room for one that is needed. Without
    /// an idle one there is one more than there should be, which the reserve bears.
    fn close_oldest(&mut self) {
        let idle = self.pools.values_mut().filter(|pool| !pool.idle.is_empty());
        if let Some(pool) = idle.min_by_key(|pool| pool.idle[0].idle_since) {
            pool.idle.remove(0);
        }
    }

    /// Puts a connection back, or closes it if the share has become smaller.
    pub(crate) fn put(&mut self, server: id::Server, connection: Connection) {
        let pool = self.pools.entry(server).or_default();
        if pool.open.get() > pool.keep {
            return;
        }
        pool.idle.push(connection);
    }

    /// Keeps at most `keep` connections; busy ones that are too many close when they come back.
    pub(crate) fn trim(&mut self, server: id::Server, keep: usize) {
        let pool = self.pools.entry(server).or_default();
        pool.keep = keep;
        while pool.open.get() > keep && pool.idle.pop().is_some() {}
        if keep == 0 && pool.open.get() == 0 {
            self.pools.swap_remove(&server);
        }
    }
}
