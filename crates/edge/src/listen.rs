//! Minimal HTTP servers that respond by the URI alone, for readiness and metrics.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use base::fault::{At, Fault};
use http::{Request, Response, Uri};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, time};

use crate::body::Body;

/// Delay before the next attempt after a connection could not be accepted, such as
/// when no file descriptor is free.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Responds to every request on an address with the result of `respond`, until the
/// runtime ends.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    respond: impl Fn(&Uri) -> Response<Body> + Send + Sync + 'static,
) -> Result<(), Fault> {
    let listener = TcpListener::bind(address).await.at("listen", address)?;
    let respond = Arc::new(respond);
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let respond = respond.clone();
                    let service = service_fn(move |request: Request<Incoming>| {
                        let response = respond(request.uri());
                        async move { Ok::<_, Infallible>(response) }
                    });
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    tokio::spawn(connection);
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %address, %error);
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}
