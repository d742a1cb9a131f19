//! Messages between hosts over nng: one pull socket to listen, one push socket for each host that
//! is written to.
//!
//! A push socket drops without a word what it cannot hold. That is harmless here, because a message
//! is only ever state that will be sent again.

use std::{net, rc::Rc};

use compact_str::CompactString;
use indexmap::IndexMap;
use nng::options::{LocalAddr, Options, RecvMaxSize, SendBufferSize};
use shallothub_core::{catalog, control::message};
use shallothub_wire as wire;
use snafu::ResultExt;
use tokio::sync::mpsc;

use crate::{error, shared};

/// Largest message, in bytes: a whole catalog of the target size.
const MESSAGE_MAX: usize = 64 << 20;
/// Messages held for a host that is being connected to.
const SEND_BUFFER: i32 = 4;
/// Hosts to which a connection is kept.
const SENDERS_MOST: usize = 64;

/// Receives messages until dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    socket: nng::Socket,
    address: net::SocketAddr,
    /// Receiving ends when this is dropped.
    _receiving: nng::Aio,
}

impl Listener {
    pub(crate) fn new(
        address: net::SocketAddr,
        words: mpsc::UnboundedSender<shared::ToControl>,
    ) -> Result<Self, error::Error> {
        Self::open(address, words).context(error::ListenPeerSnafu { address })
    }

    fn open(address: net::SocketAddr, words: mpsc::UnboundedSender<shared::ToControl>) -> nng::Result<Self> {
        let socket = nng::Socket::new(nng::Protocol::Pull0)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_MAX)?;
        let receiver = socket.clone();
        let aio = nng::Aio::new(move |aio, result| match result {
            nng::AioResult::Recv(Ok(message)) => {
                words.send(shared::ToControl::Peer(message.as_slice().to_vec())).ok();
                receiver.recv_async(&aio).ok();
            }
            nng::AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => {}
            _ => {
                receiver.recv_async(&aio).ok();
            }
        })?;
        let listener = nng::Listener::new(&socket, &format!("tcp://{address}"))?;
        let address = match listener.get_opt::<LocalAddr>()? {
            // The library gives the port in the order of the network, not of the machine.
            nng::SocketAddr::Inet(bound) => net::SocketAddr::from((*bound.ip(), u16::from_be(bound.port()))),
            nng::SocketAddr::Inet6(bound) => net::SocketAddr::from((*bound.ip(), u16::from_be(bound.port()))),
            _ => address,
        };
        socket.recv_async(&aio)?;
        Ok(Self { socket, address, _receiving: aio })
    }

    /// Where it listens, with the port that was given out if the settings say 0.
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
    /// The last whole catalog of each kind that was sent, packed.
    packed: Vec<(Whole, Rc<[u8]>)>,
}

/// Which whole catalog a message holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Whole {
    kind: catalog::Kind,
    version: u64,
    digest: u64,
}

impl Whole {
    /// `None` if the message holds anything else, or not all texts.
    fn of(message: &message::Message) -> Option<Self> {
        let message::Body::Catalog(update) = &message.body else {
            return None;
        };
        let is_whole = update.base.is_none() && update.parts.iter().all(|part| part.text.is_some());
        is_whole.then_some(Self { kind: update.kind, version: update.version, digest: update.digest })
    }
}

impl Senders {
    /// Sends, or drops the message if the host cannot be reached or is behind. The bytes sent.
    pub(crate) fn send(&mut self, to: &CompactString, message: &message::Message, packs: bool) -> usize {
        let bytes = match self.bytes(message, packs) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(detail = %error, "a message was not sent");
                return 0;
            }
        };
        let Some(socket) = self.socket(to) else {
            return 0;
        };
        if let Err((_, error)) = socket.try_send(&*bytes) {
            tracing::debug!(peer = %to, detail = %error, "a message was dropped");
            return 0;
        }
        bytes.len()
    }

    /// The bytes of a message. Hosts that start together are sent the same whole catalog, which is packed once.
    fn bytes(&mut self, message: &message::Message, packs: bool) -> Result<Rc<[u8]>, wire::peer::Error> {
        let whole = Whole::of(message).filter(|_| packs);
        if let Some((_, bytes)) = self.packed.iter().find(|(held, _)| Some(held) == whole.as_ref()) {
            return Ok(Rc::clone(bytes));
        }
        let bytes: Rc<[u8]> = wire::peer::encode(message, packs)?.into();
        if let Some(whole) = whole {
            self.packed.retain(|(held, _)| held.kind != whole.kind);
            self.packed.push((whole, Rc::clone(&bytes)));
        }
        Ok(bytes)
    }

    /// Closes the connection to a host.
    pub(crate) fn forget(&mut self, to: &CompactString) {
        if let Some(socket) = self.sockets.shift_remove(to) {
            socket.close();
        }
    }

    fn socket(&mut self, to: &CompactString) -> Option<&nng::Socket> {
        if !self.sockets.contains_key(to) {
            match open(to) {
                Ok(socket) => {
                    self.make_room();
                    self.sockets.insert(to.clone(), socket);
                }
                Err(error) => {
                    tracing::warn!(peer = %to, detail = %error, "no socket to another host");
                    return None;
                }
            }
        }
        self.sockets.get(to)
    }

    fn make_room(&mut self) {
        if self.sockets.len() < SENDERS_MOST {
            return;
        }
        if let Some((_, socket)) = self.sockets.shift_remove_index(0) {
            socket.close();
        }
    }
}

fn open(to: &str) -> nng::Result<nng::Socket> {
    let socket = nng::Socket::new(nng::Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
    socket.dial_async(&format!("tcp://{to}"))?;
    Ok(socket)
}
