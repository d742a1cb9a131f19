//! A bound on the bytes that a server sends in one response.
//!
//! HTTP/1.1 lets a response go on without end while its body does not grow: informational responses and empty lines
//! before it, header fields, leading zeros and extensions of chunk sizes, chunks of one byte, trailers. The HTTP library
//! bounds some of these and reads on through others, at the cost of the thread that all other requests use. So bytes
//! are counted where they come from the socket: a response may have [`OVERHEAD_BYTES`] besides its body, and as much
//! again as the body. Beyond that the connection fails.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body;
use snafu::{ResultExt, Snafu};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take},
    net::TcpStream,
};

/// Bytes of a response besides its body: its head and framing.
const OVERHEAD_BYTES: usize = 64 << 10;
/// Maximum bytes of a read. The library reads ahead of the body's consumer, which must not use up the overhead.
const READ_BYTES: usize = 16 << 10;

/// Why a body was not received completely.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge { limit: usize },
    #[snafu(display("the connection failed within the body"))]
    Broken { source: hyper::Error },
}

/// The bytes that a connection may still receive for the current response. Clones share the number.
#[derive(Clone, Debug)]
pub(crate) struct Budget(Rc<Cell<usize>>);

impl Budget {
    fn new() -> Self {
        Self(Rc::new(Cell::new(OVERHEAD_BYTES)))
    }

    /// Begins the next response.
    pub(crate) fn reset(&self) {
        self.0.set(OVERHEAD_BYTES);
    }

    /// Whether the server sent more than a response may have, so that the connection failed.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.0.get() == 0
    }

    fn spend(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }

    /// Allows for `bytes` of a body that were received, and as many of framing in the rest of it.
    fn add_body(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_add(bytes.saturating_mul(2)));
    }

    /// Receives a body of at most `limit` bytes.
    pub(crate) async fn collect(&self, mut body: body::Incoming, limit: usize) -> Result<Bytes, Error> {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.context(BrokenSnafu)?.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > limit {
                return TooLargeSnafu { limit }.fail();
            }
            self.add_body(data.len());
            // Most bodies have one frame, which needs no copy.
            if bytes.is_empty() && body::Body::is_end_stream(&body) {
                return Ok(data);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}

/// A connection whose received bytes are bounded.
#[derive(Debug)]
pub(crate) struct Stream {
    stream: Take<TcpStream>,
    budget: Budget,
}

impl Stream {
    /// Bounds the bytes that are received on `stream`.
    pub(crate) fn new(stream: TcpStream) -> (Self, Budget) {
        let budget = Budget::new();
        (Self { stream: stream.take(0), budget: budget.clone() }, budget)
    }

    fn writer(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.get_mut())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.budget.is_exhausted() {
            let message = "the server sent more bytes than a response may have";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let limit = self.budget.0.get().min(READ_BYTES);
        self.stream.set_limit(limit as u64);
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.budget.spend(buffer.filled().len() - before);
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.writer().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.writer().poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_shutdown(context)
    }
}
