//! Inbound connections, wrapped between the HTTP library and the socket.
//!
//! The library reads nothing while a request is being handled, so it does not detect a caller that
//! hangs up, and its idle timeout is fixed when a connection is accepted. The wrapper notifies the
//! handler when the caller hangs up, buffering what it has to read for that; it closes connections
//! that were idle for longer than the limit in force *now*; and it closes idle ones when the node
//! is closing.
//!
//! A connection that is closed stays open until its caller has acknowledged all that was sent. What the kernel still
//! holds is lost if a host is replaced, and a draining node exits once no connection is open.
//!
//! The wrapper also closes the connection of a caller that does not read its answer and, with a bound on memory, counts
//! what a connection holds; see [`output`](super::output).

use std::{
    cell::RefCell,
    convert::Infallible,
    io, net,
    rc::{Rc, Weak},
};

use bytes::{Buf, BytesMut};
use indexmap::IndexMap;
use shallothub_core::clock;
use tokio::{sync::Notify, time::sleep};
use xitca_io::{
    io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut},
    net::TcpStream,
};
use xitca_service::Service;

use super::{Shell, output};
use crate::{send_queue, shared, time};

/// Bytes per read while the connection is idle: more than the head of most requests.
const IDLE_READ_BYTES: usize = 4096;
/// Bytes per read while the handler runs; they belong to the next request.
const READ_AHEAD_BYTES: usize = 512;
/// Maximum bytes of read-ahead. Once a caller sends more before it has its answer, a hang-up is detected
/// only when the answer is written.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Idle timeout if the configuration gives none.
const DEFAULT_IDLE_TIMEOUT: clock::Millis = clock::Millis(15_000);
/// Fraction of the process's file descriptors for connections from callers and hosts; above it, idle ones
/// are closed. Connections to servers have twice as many, and the rest of the process needs few.
const DESCRIPTOR_FRACTION: f64 = 0.3;
/// Minimum idle time before a connection is closed to free its descriptor. A caller that has just
/// connected or received an answer may be about to send.
const MIN_IDLE_TIME: clock::Millis = clock::Millis(1000);
/// Interval at which a connection that is being closed checks for bytes that are not acknowledged.
const FLUSH_POLL_INTERVAL: clock::Millis = clock::Millis(20);

/// A wrapped inbound connection; see the module. Clones share its state.
#[derive(Clone)]
pub(super) struct Connection(Rc<Inner>);

pub(super) struct Inner {
    stream: TcpStream,
    shell: Rc<Shell>,
    address: net::SocketAddr,
    state: RefCell<State>,
    /// Notified to close the connection while it is idle.
    close: Notify,
    output: output::Output,
    /// Counts the connection as open; dropped after the socket.
    _open: shared::Guard,
}

struct State {
    /// Bytes read ahead for the next request.
    read_ahead: BytesMut,
    /// The end of the input was reached, or the connection is being closed.
    is_ended: bool,
    /// A request is being read or handled.
    is_busy: bool,
    /// An answer with `Connection: close` was given.
    has_sent_close: bool,
    /// Time at which the connection last became idle.
    idle_since: clock::Millis,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.shell.inbound.borrow_mut().swap_remove(&self.address);
    }
}

impl Connection {
    /// Marks the end of a request. The connection counts as idle from now on, and is not used again if the
    /// answer `is_last`.
    pub(super) fn finish_request(&self, is_last: bool) {
        let mut state = self.0.state.borrow_mut();
        state.is_busy = false;
        state.has_sent_close |= is_last;
        state.idle_since = self.0.shell.now();
    }

    /// Whether an earlier answer was the last one. The library continues with the bytes it has already
    /// read; after a request that was rejected unread, these need not be a request at all, and a caller
    /// assumes that whatever follows a last answer did not run.
    pub(super) fn has_sent_close(&self) -> bool {
        self.0.state.borrow().has_sent_close
    }

    /// Completes when the caller hangs up. Cancel-safe.
    pub(super) async fn closed(&self) {
        loop {
            let (is_ended, read_ahead) = {
                let state = self.0.state.borrow();
                (state.is_ended, state.read_ahead.len())
            };
            let is_short = read_ahead >= READ_AHEAD_BYTES && self.0.shell.is_memory_short();
            let is_full = read_ahead >= MAX_READ_AHEAD_BYTES || is_short;
            if is_ended {
                return;
            }
            if is_full {
                return std::future::pending().await;
            }
            let (result, bytes) = self.0.stream.read(BytesMut::with_capacity(READ_AHEAD_BYTES)).await;
            let mut state = self.0.state.borrow_mut();
            match result {
                Ok(0) | Err(_) => state.is_ended = true,
                Ok(_) => {
                    state.read_ahead.extend_from_slice(&bytes);
                    self.0.output.set_read_ahead(state.read_ahead.capacity(), self.0.shell.now());
                }
            }
        }
    }

    /// Waits for the first bytes of a request and reads them ahead; marks the connection ended if none arrive.
    async fn wait_for_request(&self) -> io::Result<()> {
        let shared = &self.0.shell.shared;
        loop {
            let phase_changed = shared.phase_changed.notified();
            let is_closing = shared.phase() >= shared::Phase::Closing;
            let remaining = if is_closing { clock::Millis::ZERO } else { self.remaining_idle_time() };
            tokio::select! {
                biased;
                (result, bytes) = self.0.stream.read(BytesMut::with_capacity(IDLE_READ_BYTES)) => {
                    let mut state = self.0.state.borrow_mut();
                    state.is_ended |= result? == 0;
                    state.is_busy = true;
                    state.read_ahead = bytes;
                    return Ok(());
                }
                () = sleep(time::duration(remaining)) => {
                    // The limit may have been raised since the wait began.
                    if is_closing || self.remaining_idle_time() == clock::Millis::ZERO {
                        self.0.state.borrow_mut().is_ended = true;
                        return Ok(());
                    }
                }
                () = phase_changed => {}
                () = self.0.close.notified() => {
                    self.0.state.borrow_mut().is_ended = true;
                    return Ok(());
                }
            }
        }
    }

    /// Waits until the caller has acknowledged all bytes. Gives up if the connection breaks, if the caller acknowledges
    /// nothing for `answer_wait_ms`, or, unless the node drains, if there are too many connections; the kernel then sends
    /// the rest on its own.
    async fn flush(&self) {
        let shell = &self.0.shell;
        let socket = socket2::SockRef::from(&self.0.stream);
        // An aborted connection drops its bytes when it is closed.
        if socket.linger().is_ok_and(|linger| linger.is_some()) {
            return;
        }
        let mut unsent = usize::MAX;
        let mut progress_at = shell.now();
        loop {
            let Some(left) = send_queue::length(&self.0.stream) else {
                return;
            };
            let is_broken = !matches!(socket.take_error(), Ok(None));
            let is_surplus = shell.shared.phase() < shared::Phase::Draining && shell.surplus_connections() > 0;
            if left == 0 || is_broken || is_surplus {
                return;
            }
            if left < unsent {
                unsent = left;
                progress_at = shell.now();
            }
            if shell.now().since(progress_at) >= shell.shared.settings.answer_wait_ms {
                tracing::info!(unsent, caller = %self.0.address, "closed a connection whose caller does not read");
                return;
            }
            sleep(time::duration(FLUSH_POLL_INTERVAL)).await;
        }
    }

    /// Time until the idle timeout in force; zero once it has passed.
    fn remaining_idle_time(&self) -> clock::Millis {
        let limit = self.0.shell.limits().map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle);
        (self.0.state.borrow().idle_since + limit) - self.0.shell.now()
    }
}

impl AsyncBufRead for Connection {
    async fn read<B: BoundedBufMut>(&self, mut buffer: B) -> (io::Result<usize>, B) {
        let is_idle = {
            let state = self.0.state.borrow();
            !state.is_busy && state.read_ahead.is_empty() && !state.is_ended
        };
        if is_idle && let Err(error) = self.wait_for_request().await {
            return (Err(error), buffer);
        }
        {
            let mut state = self.0.state.borrow_mut();
            if !state.read_ahead.is_empty() {
                let room = buffer.bytes_total() - buffer.bytes_init();
                let count = room.min(state.read_ahead.len());
                buffer.put_slice(&state.read_ahead[..count]);
                state.read_ahead.advance(count);
                state.is_busy = true;
                return (Ok(count), buffer);
            }
            if state.is_ended {
                return (Ok(0), buffer);
            }
        }
        self.0.stream.read(buffer).await
    }
}

impl AsyncBufWrite for Connection {
    async fn write<B: BoundedBuf>(&self, buffer: B) -> (io::Result<usize>, B) {
        self.0.output.write(&self.0.shell, &self.0.stream, buffer).await
    }

    async fn shutdown(self, direction: net::Shutdown) -> io::Result<()> {
        self.flush().await;
        socket2::SockRef::from(&self.0.stream).shutdown(direction)
    }
}

/// Wraps accepted connections. It takes the place of a TLS acceptor in the library's service.
#[derive(Clone)]
pub(super) struct Acceptor(pub(super) Rc<Shell>);

impl Service for Acceptor {
    type Response = Self;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Self, Infallible> {
        Ok(self.clone())
    }
}

impl Service<TcpStream> for Acceptor {
    type Response = Connection;
    type Error = ();

    async fn call(&self, stream: TcpStream) -> Result<Connection, ()> {
        let address = socket2::SockRef::from(&stream).peer_addr().ok().and_then(|address| address.as_socket());
        let Some(address) = address else {
            return Err(());
        };
        let shell = Rc::clone(&self.0);
        let state = State {
            read_ahead: BytesMut::new(),
            is_ended: false,
            is_busy: false,
            has_sent_close: false,
            idle_since: shell.now(),
        };
        let output = output::Output::new(&shell, &stream);
        let state = RefCell::new(state);
        let open = shell.shared.track_connection();
        let inner = Rc::new(Inner { stream, shell, address, state, close: Notify::new(), output, _open: open });
        self.0.inbound.borrow_mut().insert(address, Rc::downgrade(&inner));
        Ok(Connection(inner))
    }
}

impl Shell {
    /// The open connection from `address`; `None` if there is none.
    pub(super) fn inbound_connection(&self, address: net::SocketAddr) -> Option<Connection> {
        self.inbound.borrow().get(&address)?.upgrade().map(Connection)
    }

    /// Closes the connections that have been idle for longest if there are more than the limit. Busy ones
    /// stay regardless of their number: an immediate refusal is better than a connection not accepted.
    pub(super) fn close_idle_connections(&self) {
        let surplus = self.surplus_connections();
        if surplus == 0 {
            return;
        }
        for inner in self.idle_connections().into_iter().take(surplus) {
            inner.close.notify_one();
        }
    }

    /// Number of connections above the limit.
    fn surplus_connections(&self) -> usize {
        let lanes = self.shared.lanes.len().max(1);
        let limit = (f64::from(self.shared.settings.descriptors) * DESCRIPTOR_FRACTION) as usize / lanes;
        self.inbound.borrow().len().saturating_sub(limit)
    }

    /// Closes idle connections whose buffers the library keeps for the next answer, while more is held than the mark.
    pub(super) fn close_idle_buffers(&self) {
        if !self.is_memory_short() {
            return;
        }
        for inner in self.idle_connections() {
            if inner.output.has_large_buffer() {
                inner.close.notify_one();
            }
        }
    }

    /// The connections that have been idle for [`MIN_IDLE_TIME`], the longest first.
    fn idle_connections(&self) -> Vec<Rc<Inner>> {
        let connections = self.inbound.borrow();
        let now = self.now();
        let mut idle = Vec::new();
        for inner in connections.values().filter_map(Weak::upgrade) {
            let (is_busy, since) = {
                let state = inner.state.borrow();
                (state.is_busy || state.is_ended, state.idle_since)
            };
            if !is_busy && now.since(since) >= MIN_IDLE_TIME {
                idle.push((since, inner));
            }
        }
        idle.sort_by_key(|(since, _)| *since);
        idle.into_iter().map(|(_, inner)| inner).collect()
    }
}

/// Inbound connections by remote address.
pub(super) type Connections = RefCell<IndexMap<net::SocketAddr, Weak<Inner>>>;
