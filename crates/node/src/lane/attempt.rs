//! Sends one attempt and receives its reply.
//!
//! The result must claim only what is *proven*. If hyper returns the request, no byte of it was sent,
//! and the result is [`event::Reply::NotSent`]. A refusal by the server proves that the request did
//! not run. Any other failure, including an unusable reply, is an unknown outcome.

use std::{io, rc::Rc, time as std_time};

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use shallothub_core::{clock, id, invariant, traffic::event};
use shallothub_wire::{protocol, relay};
use tokio::{net, task, time::timeout};

use super::{Shell, pool};
use crate::{memory, metered, time};

/// Timeout for opening a connection. A running server accepts within milliseconds, an unreachable one
/// never does; an attempt that has no connection yet provably did not run and may be retried elsewhere.
const CONNECT_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(250);

/// Maximum time for which a complete reply waits until its connection can be reused; then the connection is closed.
const MAX_READY_WAIT: clock::Millis = clock::Millis(5);
/// Maximum bytes of the library's read buffer for a connection, if memory is bounded. Unbounded, it grows to 417 kB on
/// each connection that once read a large reply, and stays so.
const MAX_READ_BUFFER: usize = 64 << 10;

/// Runs `dispatch` and passes its result to the core. Aborting the task closes the connection.
pub(super) async fn run(shell: Rc<Shell>, dispatch: event::Dispatch, request: Rc<protocol::Request>) {
    let reply = send(&shell, &dispatch, &request).await;
    shell.finish_attempt(dispatch.attempt, dispatch.query, reply.end);
}

async fn send(shell: &Rc<Shell>, dispatch: &event::Dispatch, request: &protocol::Request) -> protocol::Reply {
    let settings = &shell.shared.settings;
    let leafs = shell.shared.interface.backend;
    let origin =
        protocol::Origin { host: &settings.name, start: shell.shared.clock.incarnation(), lane: shell.index as u32 };
    let name = leafs.attempt_name(origin, dispatch.attempt);
    let identity = leafs.shared_reply_id(request).map(pool::Identity::new);
    let mut is_new = false;
    let mut unsent: Option<http::Request<Full<Bytes>>> = None;
    loop {
        let idle = shell.state.borrow_mut().pools.take(dispatch, identity, shell.now());
        let connection = match idle {
            Some(connection) => Some(connection),
            None => {
                is_new = true;
                connect(shell, dispatch).await
            }
        };
        let Some(mut connection) = connection else {
            return protocol::Reply::unmatched(protocol::End::NotSent);
        };
        let remaining = dispatch.deadline.since(shell.now());
        let message = match (unsent.take(), dispatch.relayed) {
            (Some(message), _) => Some(message),
            (None, Some(relayed)) => Some(relay::request(request, &settings.name, relayed, remaining)),
            (None, None) => leafs.request(dispatch, &name, request, remaining),
        };
        let Some(message) = message else {
            return protocol::Reply::unmatched(protocol::End::NotSent);
        };
        connection.budget.reset();
        match connection.sender.try_send_request(message).await {
            Ok(response) => return receive(shell, dispatch, &name, request, identity, connection, response).await,
            Err(mut error) => {
                // The server closed the idle connection as it was taken from the pool: the request is
                // returned unsent and goes to the next connection.
                let Some(message) = error.take_message() else {
                    return protocol::Reply::lost(loss(&connection));
                };
                if is_new {
                    return protocol::Reply::unmatched(protocol::End::NotSent);
                }
                unsent = Some(message);
            }
        }
    }
}

/// Opens a connection to `server` and reports its liveness to the core. The connection is pooled for the next attempt.
pub(super) async fn probe(shell: Rc<Shell>, server: id::Server, address: CompactString) {
    let permit = shell.state.borrow_mut().pools.acquire(server);
    let liveness = match permit {
        None => event::Liveness::Unknown,
        Some(permit) => match open(&shell, &address, permit).await {
            Ok(Some(mut connection)) => {
                connection.idle_since = shell.now();
                shell.state.borrow_mut().pools.put(server, connection);
                event::Liveness::Listening
            }
            Ok(None) => event::Liveness::Unknown,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => event::Liveness::Dead,
            Err(_) => event::Liveness::Unknown,
        },
    };
    shell.step([event::Input::Probed { server, liveness }]);
}

async fn connect(shell: &Rc<Shell>, dispatch: &event::Dispatch) -> Option<pool::Connection> {
    // The permit counts the connection from before it is opened until it is dropped.
    let permit = {
        let pools = &mut shell.state.borrow_mut().pools;
        pools.make_room(dispatch.server);
        pools.acquire(dispatch.server)
    };
    let Some(permit) = permit else {
        let detail = format!("{}: a new connection would exceed the lane's share", dispatch.address);
        let name = invariant::Name::BoundedConnections;
        shell.shared.metrics.record_breach(&invariant::Breach { name, detail });
        return None;
    };
    open(shell, &dispatch.address, permit).await.ok()?
}

/// Opens a connection to `address`; `None` if that times out or the handshake fails.
async fn open(
    shell: &Rc<Shell>,
    address: &CompactString,
    permit: pool::Permit,
) -> io::Result<Option<pool::Connection>> {
    let Ok(connected) = timeout(CONNECT_TIMEOUT, net::TcpStream::connect(address.as_str())).await else {
        return Ok(None);
    };
    let stream = connected?;
    stream.set_nodelay(true)?;
    let mut builder = http1::Builder::new();
    let held = memory::Held::new(
        shell.shared.memory.as_ref(),
        memory::Kind::Connections,
        memory::CONNECTION_SIZE,
        shell.now(),
    );
    if held.is_some() {
        builder.max_buf_size(MAX_READ_BUFFER);
    }
    let (stream, budget) = metered::Stream::new(stream);
    let Ok((sender, connection)) = builder.handshake(rt::TokioIo::new(stream)).await else {
        return Ok(None);
    };
    let driver = task::spawn_local(async move {
        // An error ends the connection, and its sender reports that to the pending request.
        connection.await.ok();
        drop(held);
    });
    shell.shared.metrics.connections.inc();
    Ok(Some(pool::Connection::new(sender, driver.abort_handle(), permit, address.clone(), budget)))
}

/// Why a connection failed before the complete reply.
fn loss(connection: &pool::Connection) -> event::Loss {
    if connection.budget.is_exhausted() { event::Loss::TooLarge } else { event::Loss::Broken }
}

async fn receive(
    shell: &Rc<Shell>,
    dispatch: &event::Dispatch,
    name: &CompactString,
    request: &protocol::Request,
    identity: Option<pool::Identity>,
    mut connection: pool::Connection,
    response: http::Response<hyper::body::Incoming>,
) -> protocol::Reply {
    let (head, body) = response.into_parts();
    let limit = shell.shared.settings.reply_bytes_max;
    let body = match connection.budget.collect(body, limit).await {
        Ok(body) => body,
        Err(metered::Error::TooLarge { .. }) => return protocol::Reply::lost(event::Loss::TooLarge),
        Err(metered::Error::Broken { .. }) => return protocol::Reply::lost(loss(&connection)),
    };
    let reply = match dispatch.relayed {
        Some(_) => relay::reply(&head, body),
        None => shell.shared.interface.backend.reply(dispatch, name, request, &head, body),
    };
    if let Some(identity) = identity
        && !matches!(reply.end, protocol::End::Answered { .. })
    {
        connection.record_unanswered(identity, dispatch.deadline, shell.now());
    }
    if reply.is_matched {
        return_to_pool(shell, dispatch, connection, reply.keep_alive).await;
    }
    reply
}

/// Whether the connection can be reused within [`MAX_READY_WAIT`].
async fn becomes_ready(connection: &mut pool::Connection) -> bool {
    let ready = timeout(time::duration(MAX_READY_WAIT), connection.sender.ready());
    ready.await.is_ok_and(|ready| ready.is_ok())
}

async fn return_to_pool(
    shell: &Rc<Shell>,
    dispatch: &event::Dispatch,
    mut connection: pool::Connection,
    idle_timeout: Option<clock::Millis>,
) {
    // The sender is ready at once unless the server sent more than its answer, or answered before it read the request;
    // awaiting it first would delay the reply by one scheduler round.
    if connection.sender.is_ready() || becomes_ready(&mut connection).await {
        connection.idle_since = shell.now();
        connection.idle_timeout = idle_timeout.unwrap_or(connection.idle_timeout);
        shell.state.borrow_mut().pools.put(dispatch.server, connection);
    }
}
