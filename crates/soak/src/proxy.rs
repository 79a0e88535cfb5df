//! A loopback proxy whose link can be delayed, reset, cut one way or silenced.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use tokio::{
    io::{self, AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time,
};
use tokio_util::task::AbortOnDropHandle;

/// What a link does with its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Passes all bytes.
    #[default]
    Sound,
    /// Passes them after a time.
    Delayed(Duration),
    /// Resets connections, old and new.
    Reset,
    /// Holds what comes from the far side.
    OneWay,
    /// Holds everything.
    Silent,
}

/// A running proxy; it stops when dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    link: watch::Sender<Link>,
    _task: AbortOnDropHandle<()>,
}

impl Proxy {
    /// Starts a proxy before an address.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let link = watch::Sender::new(Link::Sound);
        let watched = link.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, to, watched.subscribe()));
            }
        });
        Ok(Self {
            address,
            link,
            _task: AbortOnDropHandle::new(task),
        })
    }

    /// Returns the address on which the proxy accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the link.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn pass(near: TcpStream, to: SocketAddr, mut link: watch::Receiver<Link>) {
    if *link.borrow() == Link::Reset {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return reset(&near);
    };
    for stream in [&near, &far] {
        if stream.set_nodelay(true).is_err() {
            return;
        }
    }
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let silent = |link: Link| link == Link::Silent;
    let held = |link: Link| matches!(link, Link::Silent | Link::OneWay);
    let (out, inward) = (link.clone(), link.clone());
    let ended = tokio::select! {
        () = copy(&mut near_read, &mut far_write, out, silent) => true,
        () = copy(&mut far_read, &mut near_write, inward, held) => true,
        _ = link.wait_for(|link| *link == Link::Reset) => false,
    };
    if !ended {
        reset(near_read.as_ref());
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    // The option matters for the fault only; a plain close is a fault too.
    stream.set_zero_linger().ok();
}

/// Copies one direction until either side ends.
async fn copy(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    held: impl Fn(Link) -> bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer).await
        && count > 0
    {
        let now = *link.borrow();
        if let Link::Delayed(delay) = now {
            time::sleep(delay).await;
        }
        if link.wait_for(|link| !held(*link)).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
