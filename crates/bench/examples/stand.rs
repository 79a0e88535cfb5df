//! Runs one stand-in as a process of its own:
//! `stand engine|service|table|weights ADDRESS`.
//!
//! Faults are switched over HTTP, see [`fakes::control`].

use std::net::SocketAddr;

use anyhow::{Context, bail};
use fakes::{engine, service, table, weights};

const USAGE: &str = "usage: stand engine|service|table|weights ADDRESS";

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let kind = arguments.next().context(USAGE)?;
    let listen: SocketAddr = arguments.next().context(USAGE)?.parse().context(USAGE)?;
    match kind.as_str() {
        "engine" => {
            let engine = engine::Engine::start(listen, engine::Options::default())?;
            wait(engine.address()).await
        }
        "service" => {
            let service = service::Service::start(listen, service::Options::default())?;
            wait(service.address()).await
        }
        "table" => {
            let table = table::Table::start(listen, &table::Options::default())?;
            wait(table.address()).await
        }
        "weights" => {
            let weights = weights::Weights::start(listen, weights::Options::default())?;
            wait(weights.address()).await
        }
        other => bail!("{other:?} is not a stand-in; {USAGE}"),
    }
}

async fn wait(address: SocketAddr) -> anyhow::Result<()> {
    println!("listening on {address}");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
