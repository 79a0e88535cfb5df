//! A router's service whose answers a test decides.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use base::id;
use futures_util::StreamExt;
use lang::{
    answer::{Accepted, Answer, Member, Preview, Versions},
    api::{self, Given, Key, Operator as _, Refusal},
    command::{Order, Query},
};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// How orders are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code, reason = "not every test file uses every kind")]
pub enum Orders {
    /// They are accepted as version 7.
    Accept,
    /// The first few break their connections, and later ones are accepted.
    Break(usize),
    /// Their outcome is not known.
    Undecided,
}

/// The service of one stub.
#[derive(Clone)]
pub struct Stub {
    orders: Orders,
    /// Times that members are asked for before they all use version 7.
    lag: usize,
    ids: Arc<Mutex<Vec<id::CommandId>>>,
    asked: Arc<Mutex<usize>>,
    broken: CancellationToken,
}

impl Stub {
    /// Starts a stub; returns its address.
    pub async fn start(orders: Orders, lag: usize) -> (Self, SocketAddr) {
        let stub = Self {
            orders,
            lag,
            ids: Arc::default(),
            asked: Arc::default(),
            broken: CancellationToken::new(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        tokio::spawn(accept(stub.clone(), listener));
        (stub, address)
    }

    /// The ids of the orders that arrived.
    pub fn ids(&self) -> Vec<id::CommandId> {
        self.ids.lock().expect("no holder panics").clone()
    }
}

async fn accept(stub: Stub, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let mut stub = stub.clone();
        stub.broken = CancellationToken::new();
        tokio::spawn(async move {
            let broken = stub.broken.clone();
            let channel = BaseChannel::with_defaults(api::router_side(stream));
            let serve = channel.execute(stub.serve()).for_each(async |request| {
                tokio::spawn(request);
            });
            tokio::select! {
                () = serve => {}
                () = broken.cancelled() => {}
            }
        });
    }
}

impl api::Operator for Stub {
    async fn ask(self, _: Context, _: Key, _: Query) -> Result<Answer, Refusal> {
        let asked = {
            let mut asked = self.asked.lock().expect("no holder panics");
            *asked += 1;
            *asked
        };
        let version = id::Version(if asked > self.lag { 7 } else { 6 });
        Ok(Answer::Versions(Versions {
            version: id::Version(7),
            lowest: version,
            members: 1,
            list: vec![Member {
                process: "agent-0".parse().expect("the id is valid"),
                role: "agent".to_owned(),
                version,
            }],
        }))
    }

    async fn give(self, _: Context, _: Key, given: Given) -> Result<Accepted, Refusal> {
        let count = {
            let mut ids = self.ids.lock().expect("no holder panics");
            ids.push(given.id);
            ids.len()
        };
        match self.orders {
            Orders::Undecided => return Err(Refusal::Undecided(given.id)),
            Orders::Break(times) if count <= times => {
                self.broken.cancel();
                std::future::pending::<()>().await;
            }
            _ => {}
        }
        Ok(Accepted {
            version: id::Version(7),
        })
    }

    async fn preview(self, _: Context, _: Key, _: Order) -> Result<Preview, Refusal> {
        Err(Refusal::Rejected("no test asks for a preview".to_owned()))
    }
}
