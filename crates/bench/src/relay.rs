//! A relay before one process, to cut its connections for a time.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use tokio::{
    io,
    net::{TcpListener, TcpStream},
    sync::watch,
};
use tokio_util::task::AbortOnDropHandle;

/// A running relay; it stops when dropped.
pub struct Relay {
    address: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
    _task: AbortOnDropHandle<()>,
}

impl Relay {
    /// Starts a relay on a free port of loopback.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let cut = Arc::new(watch::Sender::new(false));
        let watched = cut.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, to, watched.subscribe()));
            }
        });
        Ok(Self {
            address,
            cut,
            _task: AbortOnDropHandle::new(task),
        })
    }

    /// Returns the address on which the relay accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts all connections and closes new ones at once, or ends that.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn pass(mut near: TcpStream, to: SocketAddr, mut cut: watch::Receiver<bool>) {
    if *cut.borrow_and_update() {
        return;
    }
    let copy = async {
        let mut far = TcpStream::connect(to).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        io::copy_bidirectional(&mut near, &mut far).await
    };
    tokio::select! {
        _ = copy => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}
