//! Accepts connections from callers, operators, the balancer and other hosts.
//!
//! The accept loop replaces the library's server, which on shutdown leaves new connections in the
//! listener's backlog, where they are reset when the process exits. A draining node must keep
//! accepting until the balancer has noticed, then empty the backlog, and only then close.
//!
//! There are up to four listeners. One is for callers; where each of its paths is a request to be
//! forwarded, the node's endpoints and its readiness have others. One more is for relayed requests.

use std::{net, rc::Rc, time as std_time};

use tokio::task;
use xitca_http::{HttpServiceBuilder, config::HttpServiceConfig};
use xitca_service::{Service, ServiceExt, fn_service};

use super::{Shell, endpoints, inbound, ingress};
use crate::{shared, time};

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: std_time::Duration = std_time::Duration::from_millis(50);
/// Timeout for a request's head if the configuration gives none.
const DEFAULT_HEAD_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(5);
/// The library's idle timeout, long enough never to apply: [`inbound`] closes idle connections.
const LIBRARY_IDLE_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(24 * 3600);
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Maximum bytes of a head that the library buffers; the handler checks the configured limit.
const HEAD_BUFFER_BYTES: usize = 64 << 10;
/// Maximum bytes of an answer that the library buffers before it writes.
const ANSWER_BUFFER_BYTES: usize = 256 << 10;

/// Sockets on which a lane accepts connections.
#[derive(Debug)]
pub struct Listeners {
    /// For requests from callers.
    pub callers: net::TcpListener,
    /// For the balancer's readiness checks; `None` if they use the callers' listener.
    pub ready: Option<net::TcpListener>,
    /// For operators; `None` if they use the callers' listener.
    pub admin: Option<net::TcpListener>,
    /// For requests relayed by other hosts; `None` if the node accepts none.
    pub relay: Option<net::TcpListener>,
}

/// Accepts and serves connections until the node closes.
pub(super) async fn run(shell: Rc<Shell>, listeners: Listeners) {
    endpoints::set_lane(&shell);
    if let Some(listener) = listeners.ready {
        task::spawn_local(serve_endpoints(Rc::clone(&shell), listener));
    }
    if let Some(listener) = listeners.admin {
        task::spawn_local(serve_endpoints(Rc::clone(&shell), listener));
    }
    if let Some(listener) = listeners.relay {
        task::spawn_local(serve_requests(Rc::clone(&shell), listener, ingress::Source::Hosts));
    }
    if shell.shared.interface.frontend.is_exclusive() {
        serve_requests(shell, listeners.callers, ingress::Source::Callers).await;
        return;
    }
    serve_endpoints(shell, listeners.callers).await;
}

/// Serves a listener on which every path is a request.
async fn serve_requests(shell: Rc<Shell>, listener: net::TcpListener, source: ingress::Source) {
    let mut head_timeout = head_timeout(&shell);
    let mut service = Rc::new(request_service(&shell, source, head_timeout).await);
    let Some(listener) = into_tokio(listener) else {
        return;
    };
    while let Some((stream, address)) = accept(&shell, &listener).await {
        shell.close_idle_connections();
        let configured = self::head_timeout(&shell);
        if configured != head_timeout {
            head_timeout = configured;
            service = Rc::new(request_service(&shell, source, head_timeout).await);
        }
        spawn_connection(Rc::clone(&service), stream, address);
    }
}

/// The library's service for requests. It takes the head timeout only when it is created.
async fn request_service(
    shell: &Rc<Shell>,
    source: ingress::Source,
    head_timeout: std_time::Duration,
) -> impl Service<(xitca_io::net::TcpStream, net::SocketAddr)> + use<> {
    let config = HttpServiceConfig::new()
        .request_head_timeout(head_timeout)
        .keep_alive_timeout(LIBRARY_IDLE_TIMEOUT)
        .disable_vectored_write()
        .max_request_headers::<MAX_HEADERS>()
        .max_read_buf_size::<HEAD_BUFFER_BYTES>()
        .max_write_buf_size::<ANSWER_BUFFER_BYTES>();
    let builder = HttpServiceBuilder::h1().config(config).with_tls(inbound::Acceptor(Rc::clone(shell)));
    let shell = Rc::clone(shell);
    let handler = fn_service(async move |request| ingress::handle(&shell, source, request).await);
    let service = handler.enclosed(builder).call(()).await;
    service.unwrap_or_else(|_| unreachable!("the constructors of the handler and the acceptor are infallible"))
}

fn head_timeout(shell: &Shell) -> std_time::Duration {
    shell.limits().map_or(DEFAULT_HEAD_TIMEOUT, |limits| time::duration(limits.header_wait))
}

/// Serves the node's endpoints and the product's own interface.
async fn serve_endpoints(shell: Rc<Shell>, listener: net::TcpListener) {
    let service = match endpoints::service(Rc::clone(&shell)).await {
        Ok(service) => Rc::new(service),
        Err(error) => {
            tracing::error!(detail = error, "failed to create the service for the node's endpoints");
            return;
        }
    };
    let Some(listener) = into_tokio(listener) else {
        return;
    };
    while let Some((stream, address)) = accept(&shell, &listener).await {
        spawn_connection(Rc::clone(&service), stream, address);
    }
}

fn into_tokio(listener: net::TcpListener) -> Option<tokio::net::TcpListener> {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => Some(listener),
        Err(error) => {
            tracing::error!(detail = %error, "failed to register a listener with the async runtime");
            None
        }
    }
}

/// Accepts the next connection; `None` once the node is closing and the backlog is empty.
async fn accept(shell: &Shell, listener: &tokio::net::TcpListener) -> Option<(tokio::net::TcpStream, net::SocketAddr)> {
    loop {
        let phase_changed = shell.shared.phase_changed.notified();
        let is_closing = shell.shared.phase() >= shared::Phase::Closing;
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            // `biased`: connections in the backlog are accepted before this branch is polled.
            () = std::future::ready(()), if is_closing => return None,
            () = phase_changed => continue,
        };
        match accepted {
            Ok(accepted) => return Some(accepted),
            Err(error) => {
                tracing::warn!(detail = %error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection<S>(service: Rc<S>, stream: tokio::net::TcpStream, address: net::SocketAddr)
where
    S: Service<(xitca_io::net::TcpStream, net::SocketAddr)> + 'static,
{
    task::spawn_local(async move {
        stream.set_nodelay(true).ok();
        // An error ends the connection. It is not logged: callers may disconnect at any time.
        service.call((xitca_io::net::TcpStream::from(stream), address)).await.ok();
    });
}
