//! A small HTTP/1.1 server that can lose all its connections and come back on
//! the same address.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use base::span;
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::mpsc,
    task::JoinSet,
};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

use crate::body;

/// Most header fields of a request; the library's default of 100 is less than
/// routers forward.
const MAX_FIELDS: usize = 8 * 1024;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// A connection that is to be closed without a response.
#[derive(Debug, thiserror::Error)]
#[error("connection dropped on demand")]
pub struct Dropped;

/// Answers the requests of a stand-in.
///
/// A handler runs to its end when the caller disconnects, as a real service
/// would, and stops when the server goes down.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request, or drops the connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<body::Body>, Dropped>> + Send;
}

enum Command {
    Down(Option<span::Span>),
    Up,
}

/// Switches a server off and on.
#[derive(Clone, Debug)]
pub struct Power(mpsc::UnboundedSender<Command>);

impl Power {
    /// Drops all connections and refuses new ones, for a time or until [`Power::up`].
    pub fn down(&self, time: Option<span::Span>) {
        self.0.send(Command::Down(time)).ok();
    }

    /// Accepts connections again.
    pub fn up(&self) {
        self.0.send(Command::Up).ok();
    }
}

/// A running server; it stops when this handle is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    power: Power,
    accepted: Arc<AtomicUsize>,
    _task: AbortOnDropHandle<()>,
}

/// A bound port whose server has not started, so that the server's handler can
/// hold the server's own [`Power`].
#[derive(Debug)]
pub struct Port {
    listener: TcpListener,
    address: SocketAddr,
    power: Power,
    commands: mpsc::UnboundedReceiver<Command>,
}

impl Port {
    /// Binds an address; port 0 selects a free port.
    pub fn bind(listen: SocketAddr) -> io::Result<Self> {
        let listener = reserve(listen)?.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let (sender, commands) = mpsc::unbounded_channel();
        Ok(Self {
            listener,
            address,
            power: Power(sender),
            commands,
        })
    }

    /// Returns the switch of the server that will run on this port.
    pub fn power(&self) -> Power {
        self.power.clone()
    }

    /// Starts the server in the current tokio runtime.
    pub fn serve(self, handler: Arc<impl Handler>) -> Server {
        let address = self.address;
        let accepted = Arc::new(AtomicUsize::new(0));
        let served = run(
            handler,
            self.listener,
            address,
            self.commands,
            accepted.clone(),
        );
        let task = tokio::spawn(served);
        Server {
            address,
            power: self.power,
            accepted,
            _task: AbortOnDropHandle::new(task),
        }
    }
}

impl Server {
    /// Returns the address on which the server accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the switch of this server.
    pub fn power(&self) -> &Power {
        &self.power
    }

    /// Returns the number of connections that were accepted.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }
}

/// Binds a socket without listening, which reserves the port and makes the
/// kernel refuse connections to it.
fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn run(
    handler: Arc<impl Handler>,
    mut listener: TcpListener,
    address: SocketAddr,
    mut commands: mpsc::UnboundedReceiver<Command>,
    accepted: Arc<AtomicUsize>,
) {
    loop {
        let time = accept(&handler, &listener, &mut commands, &accepted).await;
        drop(listener);
        let reopened = async {
            let socket = reserve(address)?;
            wait_up(time, &mut commands).await;
            socket.listen(BACKLOG)
        };
        match reopened.await {
            Ok(next) => listener = next,
            Err(error) => {
                tracing::error!(step = "listen again", peer = %address, %error);
                return;
            }
        }
    }
}

/// Serves until the server is switched off; returns for how long.
async fn accept(
    handler: &Arc<impl Handler>,
    listener: &TcpListener,
    commands: &mut mpsc::UnboundedReceiver<Command>,
    count: &AtomicUsize,
) -> Option<span::Span> {
    let stop = CancellationToken::new();
    let guard = stop.clone().drop_guard();
    let mut connections = JoinSet::new();
    let time = loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                count.fetch_add(1, Ordering::Relaxed);
                connections.spawn(connection(handler.clone(), stream, stop.clone()));
            },
            Some(command) = commands.recv() => if let Command::Down(time) = command {
                break time;
            },
            Some(_) = connections.join_next() => {}
        }
    };
    // Handlers stop before their connections close: no call may end after its
    // caller has seen the crash.
    drop(guard);
    connections.shutdown().await;
    time
}

async fn wait_up(time: Option<span::Span>, commands: &mut mpsc::UnboundedReceiver<Command>) {
    let up = async {
        while let Some(command) = commands.recv().await {
            if matches!(command, Command::Up) {
                return;
            }
        }
        std::future::pending().await
    };
    match time {
        Some(time) => tokio::select! {
            () = tokio::time::sleep(time.duration()) => {}
            () = up => {}
        },
        None => up.await,
    }
}

async fn connection(handler: Arc<impl Handler>, stream: TcpStream, stop: CancellationToken) {
    stream.set_nodelay(true).ok();
    let answer = service::service_fn(move |request| {
        let handler = handler.clone();
        let stop = stop.clone();
        async move {
            let answer = async move { stop.run_until_cancelled(handler.handle(request)).await };
            match tokio::spawn(answer).await {
                Ok(Some(answer)) => answer,
                _ => Err(Dropped),
            }
        }
    });
    let served: Result<(), hyper::Error> = http1::Builder::new()
        .max_headers(MAX_FIELDS)
        .serve_connection(TokioIo::new(stream), answer)
        .await;
    if let Err(error) = served {
        tracing::debug!(step = "serve connection", %error);
    }
}
