//! A caller's connection, as the library's protocol code reads and writes it.
//!
//! The library reads nothing while a request is being handled, so it does not notice a caller that
//! hangs up, and its idle time is fixed when a connection begins. The link stands between it and the
//! socket. It tells the handler when the caller is gone, keeping what it had to read for that; it
//! ends connections that were idle for longer than the limit in force *now*; and it ends idle ones
//! when the node closes.

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

use super::Shell;
use crate::{shared, time};

/// Bytes read at once while the connection is idle: more than the head of most requests.
const HEAD: usize = 4096;
/// Bytes read at once while the handler runs; what comes then belongs to the next request.
const AHEAD: usize = 512;
/// Most bytes kept for later. A caller that sends more before it has its answer is not watched any
/// longer; whether it hangs up is then seen when the answer is written.
const AHEAD_MOST: usize = 64 << 10;
/// Longest time that an idle connection is kept when the configuration does not say.
const IDLE: clock::Millis = clock::Millis(15_000);
/// Part of the process's descriptors that connections of callers and hosts should take at most; beyond
/// it idle ones are ended. Servers have twice as much, and the rest needs little.
const DESCRIPTORS_PART: f64 = 0.3;
/// Least time that a connection is idle before it is ended to make room. A caller that has just connected
/// or had an answer may be about to send.
const IDLE_LEAST: clock::Millis = clock::Millis(1000);

/// See the module. Clones are the same link.
#[derive(Clone)]
pub(super) struct Link(Rc<Inner>);

pub(super) struct Inner {
    stream: TcpStream,
    shell: Rc<Shell>,
    address: net::SocketAddr,
    state: RefCell<State>,
    /// Told when an idle connection shall end.
    ending: Notify,
}

struct State {
    /// What was read ahead.
    ahead: BytesMut,
    /// The caller closed its side.
    is_ended: bool,
    /// A request is being read or handled.
    is_busy: bool,
    /// An answer said that the connection ends with it.
    is_closed: bool,
    /// When the connection last became idle.
    idle_since: clock::Millis,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.shell.links.borrow_mut().swap_remove(&self.address);
    }
}

impl Link {
    /// Marks the end of a request: the connection is idle from when its answer is written, or over if
    /// that `is_last`.
    pub(super) fn end(&self, is_last: bool) {
        let mut state = self.0.state.borrow_mut();
        state.is_busy = false;
        state.is_closed |= is_last;
        state.idle_since = self.0.shell.now();
    }

    /// Whether an earlier answer was the last one. The library goes on with what it has read already;
    /// behind a request that was turned away unread, those bytes need not be a request at all, and
    /// a caller takes whatever follows a last answer as not run.
    pub(super) fn is_closed(&self) -> bool {
        self.0.state.borrow().is_closed
    }

    /// Returns when the caller is gone. May be dropped at any time.
    pub(super) async fn gone(&self) {
        loop {
            let (is_ended, is_full) = {
                let state = self.0.state.borrow();
                (state.is_ended, state.ahead.len() >= AHEAD_MOST)
            };
            if is_ended {
                return;
            }
            if is_full {
                return std::future::pending().await;
            }
            let (result, bytes) = self.0.stream.read(BytesMut::with_capacity(AHEAD)).await;
            let mut state = self.0.state.borrow_mut();
            match result {
                Ok(0) | Err(_) => state.is_ended = true,
                Ok(_) => state.ahead.extend_from_slice(&bytes),
            }
        }
    }

    /// Waits for the begin of a request and reads it ahead; the end of the connection if none comes.
    async fn wait_idle(&self) -> io::Result<()> {
        let shared = &self.0.shell.shared;
        loop {
            let closing = shared.phase_changed.notified();
            let is_closing = shared.phase() >= shared::Phase::Closing;
            let left = if is_closing { clock::Millis::ZERO } else { self.idle_left() };
            tokio::select! {
                biased;
                (result, bytes) = self.0.stream.read(BytesMut::with_capacity(HEAD)) => {
                    let mut state = self.0.state.borrow_mut();
                    state.is_ended |= result? == 0;
                    state.is_busy = true;
                    state.ahead = bytes;
                    return Ok(());
                }
                () = sleep(time::duration(left)) => {
                    // The limit may have grown since the wait began.
                    if is_closing || self.idle_left() == clock::Millis::ZERO {
                        self.0.state.borrow_mut().is_ended = true;
                        return Ok(());
                    }
                }
                () = closing => {}
                () = self.0.ending.notified() => {
                    self.0.state.borrow_mut().is_ended = true;
                    return Ok(());
                }
            }
        }
    }

    /// How long an idle connection may still wait.
    fn idle_left(&self) -> clock::Millis {
        let limit = self.0.shell.limits().map_or(IDLE, |limits| limits.idle);
        (self.0.state.borrow().idle_since + limit) - self.0.shell.now()
    }
}

impl AsyncBufRead for Link {
    async fn read<B: BoundedBufMut>(&self, mut buffer: B) -> (io::Result<usize>, B) {
        let is_idle = {
            let state = self.0.state.borrow();
            !state.is_busy && state.ahead.is_empty() && !state.is_ended
        };
        if is_idle && let Err(error) = self.wait_idle().await {
            return (Err(error), buffer);
        }
        {
            let mut state = self.0.state.borrow_mut();
            if !state.ahead.is_empty() {
                let room = buffer.bytes_total() - buffer.bytes_init();
                let count = room.min(state.ahead.len());
                buffer.put_slice(&state.ahead[..count]);
                state.ahead.advance(count);
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

impl AsyncBufWrite for Link {
    async fn write<B: BoundedBuf>(&self, buffer: B) -> (io::Result<usize>, B) {
        self.0.stream.write(buffer).await
    }

    async fn shutdown(self, direction: net::Shutdown) -> io::Result<()> {
        socket2::SockRef::from(&self.0.stream).shutdown(direction)
    }
}

/// Makes links of accepted connections. The library calls this where others put TLS.
#[derive(Clone)]
pub(super) struct Linker(pub(super) Rc<Shell>);

impl Service for Linker {
    type Response = Self;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Self, Infallible> {
        Ok(self.clone())
    }
}

impl Service<TcpStream> for Linker {
    type Response = Link;
    type Error = ();

    async fn call(&self, stream: TcpStream) -> Result<Link, ()> {
        let address = socket2::SockRef::from(&stream).peer_addr().ok().and_then(|address| address.as_socket());
        let Some(address) = address else {
            return Err(());
        };
        let shell = Rc::clone(&self.0);
        let state = State {
            ahead: BytesMut::new(),
            is_ended: false,
            is_busy: false,
            is_closed: false,
            idle_since: shell.now(),
        };
        let inner = Rc::new(Inner { stream, shell, address, state: RefCell::new(state), ending: Notify::new() });
        self.0.links.borrow_mut().insert(address, Rc::downgrade(&inner));
        Ok(Link(inner))
    }
}

impl Shell {
    /// The connection from `address`.
    pub(super) fn link(&self, address: net::SocketAddr) -> Option<Link> {
        self.links.borrow().get(&address)?.upgrade().map(Link)
    }

    /// Ends connections that have been idle for longest if there are more than should be. Busy ones stay
    /// however many they are: a refusal at once is better than a connection that is not taken.
    pub(super) fn end_idle_links(&self) {
        let lanes = self.shared.lanes.len().max(1);
        let most = (f64::from(self.shared.settings.descriptors) * DESCRIPTORS_PART) as usize / lanes;
        let links = self.links.borrow();
        let surplus = links.len().saturating_sub(most);
        if surplus == 0 {
            return;
        }
        let now = self.now();
        let mut idle = Vec::new();
        for inner in links.values().filter_map(Weak::upgrade) {
            let (is_busy, since) = {
                let state = inner.state.borrow();
                (state.is_busy || state.is_ended, state.idle_since)
            };
            if !is_busy && now.since(since) >= IDLE_LEAST {
                idle.push((since, inner));
            }
        }
        idle.sort_by_key(|(since, _)| *since);
        for (_, inner) in idle.into_iter().take(surplus) {
            inner.ending.notify_one();
        }
    }
}

/// Connections by the caller's address.
pub(super) type Links = RefCell<IndexMap<net::SocketAddr, Weak<Inner>>>;
