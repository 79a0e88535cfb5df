//! The readiness endpoint, which shows the platform whether to send callers to this router.

use std::sync::Arc;

use base::fault::Fault;
use http::{Response, StatusCode};

use crate::{body, clients::MAX_READY, listen, shared::Shared};

/// Serves the readiness address until the runtime ends.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(shared: Arc<Shared>) -> Result<(), Fault> {
    let address = shared.settings.ready;
    let state = shared.clone();
    listen::serve(&state, address, MAX_READY, move |_| {
        response(shared.is_ready())
    })
    .await
}

fn response(ready: bool) -> Response<body::Body> {
    let mut response = Response::new(body::full(""));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
