//! A loopback proxy that injects network faults: it delays data, resets connections, and stalls one direction
//! or both.

use std::{
    net,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::Notify,
    task,
};

/// Delay of each chunk in [`Mode::Late`].
const DELAY: Duration = Duration::from_millis(80);

/// How the proxy handles data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Forwards data at once.
    #[default]
    Open,
    /// Forwards data after a delay.
    Late,
    /// Stalls data to the target.
    CutForth,
    /// Stalls data from the target.
    CutBack,
    /// Stalls both directions, and still accepts new connections.
    Silent,
}

impl Mode {
    const ALL: [Self; 5] = [Self::Open, Self::Late, Self::CutForth, Self::CutBack, Self::Silent];

    fn is_stalled(self, to_target: bool) -> bool {
        match self {
            Self::Open | Self::Late => false,
            Self::CutForth => to_target,
            Self::CutBack => !to_target,
            Self::Silent => true,
        }
    }
}

/// A proxy for one target address.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: net::SocketAddr,
    mode: AtomicU8,
    changed: Notify,
    reset: Notify,
}

impl Proxy {
    /// Starts a proxy to `target`, in the current Tokio runtime.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(target: net::SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let proxy = Arc::new(Self { address, mode: AtomicU8::new(0), changed: Notify::new(), reset: Notify::new() });
        let accepting = Arc::clone(&proxy);
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(Arc::clone(&accepting).forward(stream, target));
            }
        });
        Ok(proxy)
    }

    fn mode(&self) -> Mode {
        Mode::ALL[usize::from(self.mode.load(Ordering::SeqCst)) % Mode::ALL.len()]
    }

    /// Sets how data is handled from now on, on open connections too.
    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.reset.notify_waiters();
    }

    async fn forward(self: Arc<Self>, client: tokio::net::TcpStream, target: net::SocketAddr) -> Option<()> {
        let server = tokio::net::TcpStream::connect(target).await.ok()?;
        for stream in [&client, &server] {
            stream.set_nodelay(true).ok()?;
        }
        let sockets =
            [socket2::SockRef::from(&client).try_clone().ok()?, socket2::SockRef::from(&server).try_clone().ok()?];
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let to_target = self.copy(client_read, server_write, true);
        let from_target = self.copy(server_read, client_write, false);
        tokio::select! {
            // The end of one direction must not cut off data still in transit in the other.
            _ = async { tokio::join!(to_target, from_target) } => {}
            () = self.reset.notified() => {
                for socket in &sockets {
                    socket.set_linger(Some(Duration::ZERO)).ok();
                }
            }
        }
        Some(())
    }

    async fn copy(
        &self,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
        to_target: bool,
    ) -> Option<()> {
        let mut bytes = vec![0; 16 << 10];
        loop {
            let count = from.read(&mut bytes).await.ok()?;
            if self.mode() == Mode::Late {
                tokio::time::sleep(DELAY).await;
            }
            loop {
                let changed = self.changed.notified();
                if !self.mode().is_stalled(to_target) {
                    break;
                }
                changed.await;
            }
            if count == 0 {
                to.shutdown().await.ok();
                return None;
            }
            to.write_all(&bytes[..count]).await.ok()?;
        }
    }
}
