//! Idle connections to backend servers.
//!
//! An attempt holds one connection, and the core bounds the attempts in flight at a server by this
//! lane's share. A connection is opened only when none is idle, so idle and busy ones together stay
//! within the share. hyper speaks the protocol on each connection; the table is ours, because a
//! ready-made pool has no bound on open connections and retries by itself.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use indexmap::IndexMap;
use shallothub_core::id;
use tokio::task;

/// A connection to a backend server. Dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    pub(crate) driver: task::AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug, Default)]
struct Pool {
    idle: Vec<Connection>,
    keep: Option<usize>,
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    pools: IndexMap<id::Server, Pool>,
}

impl Pools {
    /// Takes the most recently used idle connection that is still open.
    pub(crate) fn take(&mut self, server: id::Server) -> Option<Connection> {
        let pool = self.pools.get_mut(&server)?;
        while let Some(connection) = pool.idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection back, or closes it if the share has become smaller.
    pub(crate) fn put(&mut self, server: id::Server, connection: Connection) {
        let pool = self.pools.entry(server).or_default();
        if pool.keep.is_some_and(|keep| pool.idle.len() >= keep) {
            return;
        }
        pool.idle.push(connection);
    }

    /// Keeps at most `keep` connections.
    pub(crate) fn trim(&mut self, server: id::Server, keep: usize) {
        let pool = self.pools.entry(server).or_default();
        pool.keep = Some(keep);
        pool.idle.truncate(keep);
    }
}
