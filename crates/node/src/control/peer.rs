//! Messages between hosts over nng: one pull socket to listen, one push socket for each host that
//! is written to.
//!
//! A push socket drops without a word what it cannot hold. That is harmless here, because a message
//! is only ever state that will be sent again.

use std::net;

use compact_str::CompactString;
use indexmap::IndexMap;
use nng::options::{LocalAddr, Options, RecvMaxSize, SendBufferSize};
use shallothub_core::control::message;
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
}

impl Senders {
    /// Sends, or drops the message if the host cannot be reached or is behind. The bytes sent.
    pub(crate) fn send(&mut self, to: &CompactString, message: &message::Message) -> usize {
        let bytes = match wire::peer::encode(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(detail = %error, "a message was not sent");
                return 0;
            }
        };
        let Some(socket) = self.socket(to) else {
            return 0;
        };
        if let Err((_, error)) = socket.try_send(bytes.as_slice()) {
            tracing::debug!(peer = %to, detail = %error, "a message was dropped");
            return 0;
        }
        bytes.len()
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
