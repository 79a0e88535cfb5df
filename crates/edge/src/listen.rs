//! Small HTTP servers that give one answer to every request.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use base::fault::{At, Fault};
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, time};

use crate::body::Body;

/// Pause after a connection could not be accepted, such as for want of
/// descriptors.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Serves an address until the runtime ends.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    answer: impl Fn() -> Response<Body> + Send + Sync + 'static,
) -> Result<(), Fault> {
    let listener = TcpListener::bind(address).await.at("listen", address)?;
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let answer = answer.clone();
                    let service = service_fn(move |_: Request<Incoming>| {
                        let response = answer();
                        async move { Ok::<_, Infallible>(response) }
                    });
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    tokio::spawn(connection);
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %address, %error);
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}
