//! Answers that callers do not read, and the buffers of their connections.
//!
//! The library encodes a whole answer into one buffer and passes it to [`Output::write`] until all of it is written.
//! Backpressure appears there: while the caller does not read, the socket does not become writable. The library keeps
//! the buffer, at its largest size, for as long as the connection is open, so that is counted as well.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    io, net,
    pin::pin,
    sync::Arc,
    task::Poll,
    time as std_time,
};

use shallothub_core::{bytes, clock};
use tokio::{sync::Notify, time::sleep};
use xitca_io::{
    io::{AsyncBufWrite, BoundedBuf},
    net::TcpStream,
};

use super::Shell;
use crate::{
    memory::{self, CONNECTION_SIZE, Held, Kind, Size},
    time,
};

/// Bytes of an answer that the kernel takes before it can send them. Without this bound it may take megabytes of an
/// answer that nobody reads: memory of the host that no process is charged with. A socket becomes writable again when
/// half of them are sent, and only that shows progress: with 64 kB, a caller that read 1 kB a second showed none in 5 s.
const UNSENT_BYTES: u32 = 4 << 10;
/// Size from which a buffer that the library keeps is worth a new connection.
const LARGE_BUFFER: Size = Size(16 << 10);

/// The bytes that a connection holds besides request bodies, and the progress of its answer.
pub(super) struct Output {
    /// The connection, its buffers and what was read ahead; `None` if no bound on memory is set.
    connection: Option<Held>,
    /// The answer that waits for the caller.
    answer: RefCell<Option<Held>>,
    /// Progress of the current answer.
    progress: Cell<bytes::Progress>,
    /// Size of the library's buffer for answers.
    buffer: Cell<Size>,
    read_ahead: Cell<Size>,
}

impl Output {
    /// Counts a new connection.
    pub(super) fn new(shell: &Shell, stream: &TcpStream) -> Self {
        let connection = Held::new(shell.shared.memory.as_ref(), Kind::Connections, CONNECTION_SIZE, shell.now());
        if connection.is_some() {
            // Without the option the kernel holds more of an unread answer, and the connection is closed later.
            socket2::SockRef::from(stream).set_tcp_notsent_lowat(UNSENT_BYTES).ok();
        }
        Self {
            connection,
            answer: RefCell::default(),
            progress: Cell::default(),
            buffer: Cell::default(),
            read_ahead: Cell::default(),
        }
    }

    /// Sets the size of what was read ahead.
    pub(super) fn set_read_ahead(&self, bytes: usize, now: clock::Millis) {
        let size = Size::of(bytes);
        if self.read_ahead.replace(size) != size {
            self.count_connection(now);
        }
    }

    /// Whether the library keeps a large buffer for the next answer.
    pub(super) fn has_large_buffer(&self) -> bool {
        self.buffer.get() >= LARGE_BUFFER
    }

    /// Counts the buffer once: with the answer while that waits, else with the connection.
    fn count_connection(&self, now: clock::Millis) {
        let Some(connection) = &self.connection else {
            return;
        };
        let buffer = if self.answer.borrow().is_some() { Size::ZERO } else { self.buffer.get() };
        connection.resize(CONNECTION_SIZE + buffer + self.read_ahead.get(), now);
    }

    /// Writes a part of `buffer`. Fails if the caller takes nothing of it for longer than one that reads slowly, or if the
    /// answer is closed to free memory.
    pub(super) async fn write<B: BoundedBuf>(
        &self,
        shell: &Shell,
        stream: &TcpStream,
        buffer: B,
    ) -> (io::Result<usize>, B) {
        let length = buffer.bytes_init();
        let size = Size::of(buffer.bytes_total());
        if size > self.buffer.get() {
            self.buffer.set(size);
            self.count_connection(shell.now());
        }
        let mut write = pin!(stream.write(buffer));
        let first = poll_fn(|context| Poll::Ready(write.as_mut().poll(context))).await;
        let has_waited = first.is_pending();
        let (result, buffer) = match first {
            Poll::Ready(result) => result,
            Poll::Pending => {
                let closer = self.begin_wait(shell);
                let wait = self.progress.get().stall_time(shell.shared.settings.answer_wait_ms);
                tokio::select! {
                    biased;
                    result = &mut write => result,
                    () = memory::notified(closer) => {
                        abort(stream);
                        write.await
                    }
                    () = sleep(time::duration(wait)) => {
                        self.record_closure(shell, wait);
                        abort(stream);
                        write.await
                    }
                }
            }
        };
        let partial = result.as_ref().ok().filter(|written| **written < length);
        if let Some(written) = partial {
            let mut progress = self.progress.get();
            progress.record(Size::of(*written), has_waited);
            self.progress.set(progress);
            if let Some(answer) = &*self.answer.borrow() {
                answer.advance(self.buffer.get(), shell.now());
            }
        } else {
            self.progress.take();
            if self.answer.take().is_some() {
                self.count_connection(shell.now());
            }
        }
        (result, buffer)
    }

    fn record_closure(&self, shell: &Shell, wait: clock::Millis) {
        let bytes = self.buffer.get();
        match &shell.shared.memory {
            Some(memory) => memory.record_closure(Kind::Answers, bytes, wait, shell.now()),
            None => {
                tracing::warn!(bytes = bytes.0, stalled_ms = wait.0, "closed an answer that its caller does not read")
            }
        }
    }

    /// Counts the answer as one that the caller has not read. Returns what is notified to close it.
    fn begin_wait(&self, shell: &Shell) -> Option<Arc<Notify>> {
        let is_new = self.answer.borrow().is_none();
        if is_new {
            let now = shell.now();
            let answer = Held::new(shell.shared.memory.as_ref(), Kind::Answers, self.buffer.get(), now);
            *self.answer.borrow_mut() = answer;
            self.count_connection(now);
        }
        self.answer.borrow().as_ref().map(Held::closer)
    }
}

/// Makes pending and later writes fail, and the connection end with a reset, so that the kernel frees what it holds.
fn abort(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    // Fails only if the caller has closed the connection already; the pending write fails then as well.
    socket.set_linger(Some(std_time::Duration::ZERO)).ok();
    socket.shutdown(net::Shutdown::Both).ok();
}
