//! Answers the platform's question whether callers should be sent here.

use std::{convert::Infallible, sync::Arc};

use base::fault::{At, Fault};
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::{body, shared::Shared};

/// Serves the readiness address until the runtime ends.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(shared: Arc<Shared>) -> Result<(), Fault> {
    let address = shared.settings.ready;
    let listener = TcpListener::bind(address).await.at("listen", address)?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let shared = shared.clone();
                    let service = service_fn(move |_: Request<Incoming>| {
                        let ready = shared.is_ready();
                        async move { Ok::<_, Infallible>(answer(ready)) }
                    });
                    tokio::spawn(
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service),
                    );
                }
                Err(error) => tracing::warn!(event = "accept_failed", %address, %error),
            }
        }
    });
    Ok(())
}

fn answer(ready: bool) -> Response<body::Body> {
    let mut response = Response::new(body::full(""));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
