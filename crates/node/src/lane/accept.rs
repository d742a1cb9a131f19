//! Accepting connections of callers.
//!
//! The accept loop is our own. The library's server, when told to stop, leaves new connections in
//! the listener's backlog, where they are reset when the process ends; a draining node must keep
//! accepting until the balancer has noticed, then take what is in the backlog, and only then close.
//!
//! There are up to four listeners. Callers have one; where every path of it is a request to be handed
//! on, the node's own pages and its readiness have others. Other hosts pass requests on to one more.

use std::{net, rc::Rc, time as std_time};

use tokio::task;
use xitca_http::{HttpServiceBuilder, config::HttpServiceConfig};
use xitca_service::{Service, ServiceExt, fn_service};

use super::{Shell, ingress, link, pages};
use crate::{shared, time};

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: std_time::Duration = std_time::Duration::from_millis(50);
/// Time for a head to arrive when the configuration does not say.
const HEAD_WAIT: std_time::Duration = std_time::Duration::from_secs(5);
/// Idle connections are ended by the link; the library's own limit must not come first.
const NEVER: std_time::Duration = std_time::Duration::from_secs(24 * 3600);
/// Most headers of a request.
const HEADERS_MOST: usize = 64;
/// Bytes that the library buffers of a head; the configured limit is checked by the handler.
const HEAD_BYTES: usize = 64 << 10;
/// Bytes of an answer that the library buffers before it writes.
const ANSWER_BYTES: usize = 256 << 10;

/// Sockets on which a lane accepts.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: net::TcpListener,
    /// For the balancer's question whether the node is ready; `None` if it asks at the callers' one.
    pub ready: Option<net::TcpListener>,
    /// For operators; likewise.
    pub admin: Option<net::TcpListener>,
    /// For requests of other hosts; `None` if the node takes none.
    pub relay: Option<net::TcpListener>,
}

/// Accepts and serves connections until the node closes.
pub(super) async fn run(shell: Rc<Shell>, listeners: Listeners) {
    pages::enter(&shell);
    if let Some(listener) = listeners.ready {
        task::spawn_local(serve_pages(Rc::clone(&shell), listener));
    }
    if let Some(listener) = listeners.admin {
        task::spawn_local(serve_pages(Rc::clone(&shell), listener));
    }
    if let Some(listener) = listeners.relay {
        task::spawn_local(serve_requests(Rc::clone(&shell), listener, ingress::Side::Hosts));
    }
    if shell.shared.interface.frontend.is_exclusive() {
        serve_requests(shell, listeners.callers, ingress::Side::Callers).await;
        return;
    }
    serve_pages(shell, listeners.callers).await;
}

/// Every path is a request.
async fn serve_requests(shell: Rc<Shell>, listener: net::TcpListener, side: ingress::Side) {
    let mut head_wait = head_wait(&shell);
    let mut service = Rc::new(requests(&shell, side, head_wait).await);
    let Some(listener) = open(listener) else {
        return;
    };
    while let Some((stream, address)) = accept(&shell, &listener).await {
        shell.end_idle_links();
        let wanted = self::head_wait(&shell);
        if wanted != head_wait {
            head_wait = wanted;
            service = Rc::new(requests(&shell, side, head_wait).await);
        }
        spawn(Rc::clone(&service), stream, address);
    }
}

/// The library's service for requests; it reads the time for a head only when it is made.
async fn requests(
    shell: &Rc<Shell>,
    side: ingress::Side,
    head_wait: std_time::Duration,
) -> impl Service<(xitca_io::net::TcpStream, net::SocketAddr)> + use<> {
    let config = HttpServiceConfig::new()
        .request_head_timeout(head_wait)
        .keep_alive_timeout(NEVER)
        .disable_vectored_write()
        .max_request_headers::<HEADERS_MOST>()
        .max_read_buf_size::<HEAD_BYTES>()
        .max_write_buf_size::<ANSWER_BYTES>();
    let builder = HttpServiceBuilder::h1().config(config).with_tls(link::Linker(Rc::clone(shell)));
    let shell = Rc::clone(shell);
    let handler = fn_service(async move |request| ingress::handle(&shell, side, request).await);
    let made = handler.enclosed(builder).call(()).await;
    made.unwrap_or_else(|_| unreachable!("neither the handler nor the linker can fail to be made"))
}

fn head_wait(shell: &Shell) -> std_time::Duration {
    shell.limits().map_or(HEAD_WAIT, |limits| time::duration(limits.header_wait))
}

/// The node's own pages, and the product's own interface.
async fn serve_pages(shell: Rc<Shell>, listener: net::TcpListener) {
    let service = match pages::service().await {
        Ok(service) => Rc::new(service),
        Err(error) => {
            tracing::error!(detail = error, "the pages are not served");
            return;
        }
    };
    let Some(listener) = open(listener) else {
        return;
    };
    while let Some((stream, address)) = accept(&shell, &listener).await {
        spawn(Rc::clone(&service), stream, address);
    }
}

fn open(listener: net::TcpListener) -> Option<tokio::net::TcpListener> {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => Some(listener),
        Err(error) => {
            tracing::error!(detail = %error, "a listener cannot be used");
            None
        }
    }
}

/// The next connection; `None` when the node closes and the backlog is empty.
async fn accept(shell: &Shell, listener: &tokio::net::TcpListener) -> Option<(tokio::net::TcpStream, net::SocketAddr)> {
    loop {
        let closing = shell.shared.closing.notified();
        let is_closing = shell.shared.phase() >= shared::Phase::Closing;
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            // What waits in the backlog is taken before this branch is looked at.
            () = std::future::ready(()), if is_closing => return None,
            () = closing => continue,
        };
        match accepted {
            Ok(accepted) => return Some(accepted),
            Err(error) => {
                tracing::warn!(detail = %error, "a connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn spawn<S>(service: Rc<S>, stream: tokio::net::TcpStream, address: net::SocketAddr)
where
    S: Service<(xitca_io::net::TcpStream, net::SocketAddr)> + 'static,
{
    task::spawn_local(async move {
        stream.set_nodelay(true).ok();
        // An error ends the connection; a caller that went away is no news.
        service.call((xitca_io::net::TcpStream::from(stream), address)).await.ok();
    });
}
