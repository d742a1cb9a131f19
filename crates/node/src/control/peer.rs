//! Messages between hosts over nng: one pull socket to receive, and one push socket per destination
//! host.
//!
//! A push socket silently drops messages that exceed its buffer. This is harmless because messages
//! carry only state that is sent again later.

use std::{net, rc::Rc};

use compact_str::CompactString;
use indexmap::IndexMap;
use nng::options::{LocalAddr, Options, RecvMaxSize, SendBufferSize};
use shallothub_core::{catalog, control::message};
use shallothub_wire as wire;
use snafu::ResultExt;
use tokio::sync::mpsc;

use crate::{error, shared};

/// Maximum size of a message in bytes: a full catalog of the target size.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Messages buffered for a host while the connection to it is being opened.
const SEND_BUFFER_MESSAGES: i32 = 4;
/// Maximum number of open connections to other hosts.
const MAX_SENDERS: usize = 64;

/// Receives messages from other hosts until it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    socket: nng::Socket,
    address: net::SocketAddr,
    /// Receiving stops when this is dropped.
    _receive: nng::Aio,
}

impl Listener {
    pub(crate) fn new(
        address: net::SocketAddr,
        sender: mpsc::UnboundedSender<shared::ToControl>,
    ) -> Result<Self, error::Error> {
        Self::open(address, sender).context(error::ListenPeerSnafu { address })
    }

    fn open(address: net::SocketAddr, sender: mpsc::UnboundedSender<shared::ToControl>) -> nng::Result<Self> {
        let socket = nng::Socket::new(nng::Protocol::Pull0)?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        let receiver = socket.clone();
        let aio = nng::Aio::new(move |aio, result| match result {
            nng::AioResult::Recv(Ok(message)) => {
                sender.send(shared::ToControl::Peer(message.as_slice().to_vec())).ok();
                receiver.recv_async(&aio).ok();
            }
            nng::AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => {}
            _ => {
                receiver.recv_async(&aio).ok();
            }
        })?;
        let listener = nng::Listener::new(&socket, &format!("tcp://{address}"))?;
        let address = match listener.get_opt::<LocalAddr>()? {
            // nng returns the port in network byte order.
            nng::SocketAddr::Inet(bound) => net::SocketAddr::from((*bound.ip(), u16::from_be(bound.port()))),
            nng::SocketAddr::Inet6(bound) => net::SocketAddr::from((*bound.ip(), u16::from_be(bound.port()))),
            _ => address,
        };
        socket.recv_async(&aio)?;
        Ok(Self { socket, address, _receive: aio })
    }

    /// The address in use, with the assigned port if the settings contain port 0.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.socket.close();
    }
}

/// Push sockets by address, the least recently opened first.
#[derive(Debug, Default)]
pub(crate) struct Senders {
    sockets: IndexMap<CompactString, nng::Socket>,
    /// The last full catalog of each kind that was sent, compressed.
    compressed: Vec<(CatalogKey, Rc<[u8]>)>,
}

/// Identifies the full catalog in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CatalogKey {
    kind: catalog::Kind,
    version: u64,
    digest: u64,
}

impl CatalogKey {
    /// Returns `None` unless the message is a catalog with all its texts and without a base.
    fn of(message: &message::Message) -> Option<Self> {
        let message::Body::Catalog(update) = &message.body else {
            return None;
        };
        let is_full = update.base.is_none() && update.parts.iter().all(|part| part.text.is_some());
        is_full.then_some(Self { kind: update.kind, version: update.version, digest: update.digest })
    }
}

impl Senders {
    /// Sends the message, or drops it if the socket cannot be opened or its buffer is full. Returns the bytes sent.
    pub(crate) fn send(&mut self, to: &CompactString, message: &message::Message, compress: bool) -> usize {
        let bytes = match self.encode(message, compress) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(detail = %error, "cannot encode a message");
                return 0;
            }
        };
        let Some(socket) = self.socket(to) else {
            return 0;
        };
        if let Err((_, error)) = socket.try_send(&*bytes) {
            tracing::debug!(peer = %to, detail = %error, "dropped a message to another host");
            return 0;
        }
        bytes.len()
    }

    /// Encodes a message. A full catalog is compressed once and reused, since hosts that start together all get it.
    fn encode(&mut self, message: &message::Message, compress: bool) -> Result<Rc<[u8]>, wire::peer::Error> {
        let catalog_key = CatalogKey::of(message).filter(|_| compress);
        if let Some((_, bytes)) = self.compressed.iter().find(|(key, _)| Some(key) == catalog_key.as_ref()) {
            return Ok(Rc::clone(bytes));
        }
        let bytes: Rc<[u8]> = wire::peer::encode(message, compress)?.into();
        if let Some(catalog_key) = catalog_key {
            self.compressed.retain(|(key, _)| key.kind != catalog_key.kind);
            self.compressed.push((catalog_key, Rc::clone(&bytes)));
        }
        Ok(bytes)
    }

    /// Closes the connection to a host, if there is one.
    pub(crate) fn close(&mut self, to: &CompactString) {
        if let Some(socket) = self.sockets.shift_remove(to) {
            socket.close();
        }
    }

    fn socket(&mut self, to: &CompactString) -> Option<&nng::Socket> {
        if !self.sockets.contains_key(to) {
            match open(to) {
                Ok(socket) => {
                    self.evict_if_full();
                    self.sockets.insert(to.clone(), socket);
                }
                Err(error) => {
                    tracing::warn!(peer = %to, detail = %error, "cannot open a socket to another host");
                    return None;
                }
            }
        }
        self.sockets.get(to)
    }

    fn evict_if_full(&mut self) {
        if self.sockets.len() < MAX_SENDERS {
            return;
        }
        if let Some((_, socket)) = self.sockets.shift_remove_index(0) {
            socket.close();
        }
    }
}

fn open(to: &str) -> nng::Result<nng::Socket> {
    let socket = nng::Socket::new(nng::Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)?;
    socket.dial_async(&format!("tcp://{to}"))?;
    Ok(socket)
}
