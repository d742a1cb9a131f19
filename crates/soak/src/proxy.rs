//! A loopback proxy that spoils connections: it delays, resets, holds back one direction or both, and
//! swallows what comes.

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

/// How long a delayed chunk waits.
const DELAY: Duration = Duration::from_millis(80);

/// What the proxy does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum Way {
    /// Passes them on.
    #[default]
    Open,
    /// Passes them on later.
    Late,
    /// Holds back what goes to the target.
    CutForth,
    /// Holds back what comes from the target.
    CutBack,
    /// Holds back both, and accepts new connections without a word.
    Silent,
}

impl Way {
    const ALL: [Self; 5] = [Self::Open, Self::Late, Self::CutForth, Self::CutBack, Self::Silent];

    fn holds(self, forth: bool) -> bool {
        match self {
            Self::Open | Self::Late => false,
            Self::CutForth => forth,
            Self::CutBack => !forth,
            Self::Silent => true,
        }
    }
}

/// A proxy to one target.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: net::SocketAddr,
    way: AtomicU8,
    changed: Notify,
    reset: Notify,
}

impl Proxy {
    /// Starts a proxy to `target`, in the runtime that this is called in.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start(target: net::SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let proxy = Arc::new(Self { address, way: AtomicU8::new(0), changed: Notify::new(), reset: Notify::new() });
        let accepting = Arc::clone(&proxy);
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(Arc::clone(&accepting).carry(stream, target));
            }
        });
        Ok(proxy)
    }

    fn way(&self) -> Way {
        Way::ALL[usize::from(self.way.load(Ordering::SeqCst)) % Way::ALL.len()]
    }

    /// Changes what is done from now on.
    pub fn set(&self, way: Way) {
        self.way.store(way as u8, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.reset.notify_waiters();
    }

    async fn carry(self: Arc<Self>, near: tokio::net::TcpStream, target: net::SocketAddr) -> Option<()> {
        let far = tokio::net::TcpStream::connect(target).await.ok()?;
        for stream in [&near, &far] {
            stream.set_nodelay(true).ok()?;
        }
        let sockets = [socket2::SockRef::from(&near).try_clone().ok()?, socket2::SockRef::from(&far).try_clone().ok()?];
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let forth = self.copy(near_read, far_write, true);
        let back = self.copy(far_read, near_write, false);
        tokio::select! {
            // One direction that ends must not cut what still comes the other way.
            _ = async { tokio::join!(forth, back) } => {}
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
        forth: bool,
    ) -> Option<()> {
        let mut bytes = vec![0; 16 << 10];
        loop {
            let count = from.read(&mut bytes).await.ok()?;
            if self.way() == Way::Late {
                tokio::time::sleep(DELAY).await;
            }
            loop {
                let changed = self.changed.notified();
                if !self.way().holds(forth) {
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
