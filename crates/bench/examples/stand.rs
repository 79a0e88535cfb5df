//! Runs one stand-in as a process of its own: `stand KIND [--listen ADDRESS]
//! [--options JSON]`. Prints its address on one line and runs until it is
//! ended or its standard input closes, so that it does not outlive a test.

use std::net::SocketAddr;

use anyhow::Context;
use bpaf::Parser;
use fakes::stand;
use tokio::io::AsyncReadExt;

struct Arguments {
    listen: SocketAddr,
    options: String,
    kind: stand::Kind,
}

fn arguments() -> bpaf::OptionParser<Arguments> {
    let listen = bpaf::long("listen")
        .help("Address to listen on; port 0 selects a free port")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let options = bpaf::long("options")
        .help("Options of the stand-in")
        .argument("JSON")
        .fallback("{}".to_owned());
    let kind = bpaf::positional("KIND").help("engine, service, table, objects, list or weights");
    bpaf::construct!(Arguments {
        listen,
        options,
        kind
    })
    .to_options()
    .descr("Runs a stand-in for a part of the platform")
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let stand = stand::Stand::start(arguments.kind, arguments.listen, &arguments.options)
        .context("cannot start the stand-in")?;
    println!("{}", stand.address());
    let mut input = Vec::new();
    tokio::io::stdin().read_to_end(&mut input).await?;
    Ok(())
}
