//! One attempt on the wire, from connection to reply.
//!
//! What matters is to know what is *proved*. As long as hyper hands the request back, no byte of it
//! was sent and the end is [`event::Reply::NotSent`]. A refusal by the server is proof that it did
//! not run. Everything else, also an answer that cannot be used, is an unknown end.

use std::{io, rc::Rc, time as std_time};

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use shallothub_core::{clock, id, invariant, traffic::event};
use shallothub_wire::{protocol, relay};
use tokio::{net, task, time::timeout};

use super::{Shell, pool};

/// Longest time to open a connection. A server that is up answers in some milliseconds; one that is
/// dark never does, and until then the attempt is proved not to have run and may go elsewhere.
const CONNECT: std_time::Duration = std_time::Duration::from_millis(250);

/// Runs `dispatch` and tells the core how it ended. Aborting the task closes the connection.
pub(super) async fn run(shell: Rc<Shell>, dispatch: event::Dispatch, request: Rc<protocol::Request>) {
    let reply = send(&shell, &dispatch, &request).await;
    shell.attempt_ended(dispatch.attempt, dispatch.query, reply.end, reply.payload);
}

fn ended(end: event::Reply) -> protocol::Reply {
    protocol::Reply { end, payload: None, is_matched: false, keep_alive: None }
}

async fn send(shell: &Rc<Shell>, dispatch: &event::Dispatch, request: &protocol::Request) -> protocol::Reply {
    let settings = &shell.shared.settings;
    let leafs = shell.shared.interface.backend;
    let origin =
        protocol::Origin { host: &settings.name, start: shell.shared.origin.start(), lane: shell.index as u32 };
    let name = leafs.attempt_name(origin, dispatch.attempt);
    let mut is_new = false;
    let mut unsent: Option<http::Request<Full<Bytes>>> = None;
    loop {
        let idle = shell.state.borrow_mut().pools.take(dispatch, shell.now());
        let connection = match idle {
            Some(connection) => Some(connection),
            None => {
                is_new = true;
                connect(shell, dispatch).await
            }
        };
        let Some(mut connection) = connection else {
            return ended(event::Reply::NotSent);
        };
        let left = dispatch.deadline.since(shell.now());
        let message = match (unsent.take(), dispatch.relayed) {
            (Some(message), _) => Some(message),
            (None, Some(relayed)) => Some(relay::request(request, &settings.name, relayed, left)),
            (None, None) => leafs.request(dispatch, &name, request, left),
        };
        let Some(message) = message else {
            return ended(event::Reply::NotSent);
        };
        match connection.sender.try_send_request(message).await {
            Ok(response) => return receive(shell, dispatch, &name, request, connection, response).await,
            Err(mut error) => {
                // The server closed an idle connection just as it was taken: the request comes back
                // unsent, and the next connection gets it.
                let Some(message) = error.take_message() else {
                    return protocol::Reply::lost(event::Loss::Broken);
                };
                if is_new {
                    return ended(event::Reply::NotSent);
                }
                unsent = Some(message);
            }
        }
    }
}

/// Opens a connection to `server` and tells the core whether it lives. The connection is kept for the next attempt.
pub(super) async fn probe(shell: Rc<Shell>, server: id::Server, address: CompactString) {
    let counted = shell.state.borrow_mut().pools.open(server);
    let liveness = match counted {
        None => event::Liveness::Unknown,
        Some(counted) => match open(&shell, &address, counted).await {
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
    // Counts the connection from now on, also while it is being opened, until it is dropped.
    let counted = shell.state.borrow_mut().pools.open(dispatch.server);
    let Some(counted) = counted else {
        let detail = format!("{}: one connection more than the share", dispatch.address);
        let name = invariant::Name::BoundedConnections;
        shell.shared.metrics.breach(&invariant::Breach { name, detail });
        return None;
    };
    open(shell, &dispatch.address, counted).await.ok()?
}

/// Opens a connection to `address`; `None` if that takes too long.
async fn open(
    shell: &Rc<Shell>,
    address: &CompactString,
    counted: pool::Counted,
) -> io::Result<Option<pool::Connection>> {
    let Ok(connected) = timeout(CONNECT, net::TcpStream::connect(address.as_str())).await else {
        return Ok(None);
    };
    let stream = connected?;
    stream.set_nodelay(true)?;
    let Ok((sender, connection)) = http1::handshake(rt::TokioIo::new(stream)).await else {
        return Ok(None);
    };
    let driver = task::spawn_local(async move {
        // An error ends the connection; whoever waits for a reply on it is told by the sender.
        connection.await.ok();
    });
    shell.shared.metrics.connections.inc();
    Ok(Some(pool::Connection::new(sender, driver.abort_handle(), counted, address.clone())))
}

async fn receive(
    shell: &Rc<Shell>,
    dispatch: &event::Dispatch,
    name: &CompactString,
    request: &protocol::Request,
    connection: pool::Connection,
    response: http::Response<hyper::body::Incoming>,
) -> protocol::Reply {
    let (head, body) = response.into_parts();
    let limit = shell.shared.settings.reply_bytes_max;
    let Ok(body) = Limited::new(body, limit).collect().await else {
        return protocol::Reply::lost(event::Loss::Broken);
    };
    let reply = match dispatch.relayed {
        Some(_) => relay::reply(&head, body.to_bytes()),
        None => shell.shared.interface.backend.reply(dispatch, name, request, &head, body.to_bytes()),
    };
    if reply.is_matched {
        give_back(shell, dispatch, connection, reply.keep_alive).await;
    }
    reply
}

async fn give_back(
    shell: &Rc<Shell>,
    dispatch: &event::Dispatch,
    mut connection: pool::Connection,
    idle: Option<clock::Millis>,
) {
    // It is ready at once unless the server sent more than its answer; waiting for it would hold the
    // reply up for a round of the scheduler.
    if connection.sender.is_ready() || connection.sender.ready().await.is_ok() {
        connection.idle_since = shell.now();
        connection.idle_most = idle.unwrap_or(connection.idle_most);
        shell.state.borrow_mut().pools.put(dispatch.server, connection);
    }
}
