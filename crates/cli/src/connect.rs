//! Connections to routers, and calls that survive a lost connection.

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use lang::api::{self, Key, OperatorClient, Refusal};
use rustls_pki_types::{CertificateDer, ServerName, pem::PemObject};
use tarpc::{
    client::{self, RpcError},
    context,
};
use tokio::{net::TcpStream, time};
use tokio_rustls::{
    TlsConnector,
    rustls::{ClientConfig, RootCertStore, crypto},
};

/// Time to connect, handshake included.
const CONNECT_TIME: Duration = Duration::from_secs(3);

/// Time for one call. A router gives up on an order earlier.
const CALL_TIME: Duration = Duration::from_secs(30);

/// Attempts of one call, over all routers in turn.
const ATTEMPTS: u32 = 6;

/// Pause before the second attempt; later pauses grow by it.
const PAUSE: Duration = Duration::from_millis(200);

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The router refused it.
    #[error("{0}")]
    Refused(#[from] Refusal),
    /// No router answered.
    #[error("no router answers: {0}")]
    Unreachable(String),
    /// A router received it, and its outcome was not learned.
    #[error("no router tells the outcome: {0}")]
    Lost(String),
}

/// TLS towards routers.
#[derive(Clone)]
pub struct Tls {
    connector: TlsConnector,
    name: Option<String>,
}

impl Tls {
    /// Reads the certificate authority; `name` replaces the host of the address
    /// in the check of certificates.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or holds no certificate.
    pub fn new(authority: &Path, name: Option<String>) -> anyhow::Result<Self> {
        let file = || format!("read certificate authority {}", authority.display());
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_file_iter(authority).with_context(file)? {
            roots
                .add(certificate.with_context(file)?)
                .with_context(file)?;
        }
        anyhow::ensure!(
            !roots.is_empty(),
            "{} has no certificate",
            authority.display()
        );
        let provider = Arc::new(crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()?
            .with_root_certificates(roots)
            .with_no_client_auth();
        Ok(Self {
            connector: TlsConnector::from(Arc::new(config)),
            name,
        })
    }

    fn name(&self, router: &str) -> anyhow::Result<ServerName<'static>> {
        let host = router.rsplit_once(':').map_or(router, |(host, _)| host);
        let name = self.name.as_deref().unwrap_or(host);
        let name = name.trim_start_matches('[').trim_end_matches(']');
        ServerName::try_from(name.to_owned()).with_context(|| format!("server name {name:?}"))
    }
}

/// A client that knows several routers and uses one at a time.
pub struct Client {
    routers: Vec<String>,
    key: Key,
    tls: Option<Tls>,
    turn: usize,
    open: Option<OperatorClient>,
}

impl Client {
    /// Makes a client; it connects with the first call.
    pub fn new(routers: Vec<String>, key: Key, tls: Option<Tls>) -> Self {
        Self {
            routers,
            key,
            tls,
            turn: 0,
            open: None,
        }
    }

    /// Makes a call. When the connection is lost or cannot be made, the call is
    /// repeated at the next router; calls must be such that this is harmless.
    ///
    /// # Errors
    ///
    /// When a router refuses the call or no router answers.
    pub async fn call<T>(
        &mut self,
        call: impl AsyncFn(
            &OperatorClient,
            context::Context,
            Key,
        ) -> Result<Result<T, Refusal>, RpcError>,
    ) -> Result<T, CallError> {
        let mut last = "no router is named".to_owned();
        // Whether an earlier attempt may have taken effect.
        let mut is_open = false;
        for attempt in 0..ATTEMPTS {
            time::sleep(PAUSE * attempt).await;
            let client = match self.client().await {
                Ok(client) => client,
                Err(cause) => {
                    last = format!("{cause:#}");
                    self.next();
                    continue;
                }
            };
            let mut context = context::current();
            context.deadline = Instant::now() + CALL_TIME;
            match call(&client, context, self.key.clone()).await {
                Ok(Ok(value)) => return Ok(value),
                Ok(Err(refusal)) => {
                    is_open |= matches!(refusal, Refusal::Undecided(_));
                    if !is_open || settles(&refusal) {
                        return Err(CallError::Refused(refusal));
                    }
                    last = refusal.to_string();
                    self.next();
                }
                Err(cause) => {
                    is_open = true;
                    last = format!("{}: {cause}", self.router());
                    self.next();
                }
            }
        }
        match is_open {
            true => Err(CallError::Lost(last)),
            false => Err(CallError::Unreachable(last)),
        }
    }

    fn router(&self) -> &str {
        self.routers
            .get(self.turn % self.routers.len().max(1))
            .map_or("", String::as_str)
    }

    fn next(&mut self) {
        self.open = None;
        self.turn += 1;
    }

    async fn client(&mut self) -> anyhow::Result<OperatorClient> {
        if let Some(open) = &self.open {
            return Ok(open.clone());
        }
        let router = self.router().to_owned();
        anyhow::ensure!(
            !router.is_empty(),
            "no router is named; use --router or {}",
            crate::options::ROUTER
        );
        let connect = connect(&router, self.tls.as_ref());
        let client = time::timeout(CONNECT_TIME, connect)
            .await
            .with_context(|| format!("connect to {router}"))?
            .with_context(|| format!("connect to {router}"))?;
        self.open = Some(client.clone());
        Ok(client)
    }
}

/// Tells whether a refusal also settles earlier attempts of the same command
/// whose outcome was not learned: the router has looked for the command's id
/// in the table.
fn settles(refusal: &Refusal) -> bool {
    matches!(refusal, Refusal::Rejected(_) | Refusal::Conflict(_))
}

async fn connect(router: &str, tls: Option<&Tls>) -> anyhow::Result<OperatorClient> {
    let stream = TcpStream::connect(router).await?;
    stream.set_nodelay(true)?;
    let config = client::Config::default();
    let Some(tls) = tls else {
        return Ok(OperatorClient::new(config, api::client_side(stream)).spawn());
    };
    let stream = tls.connector.connect(tls.name(router)?, stream).await?;
    Ok(OperatorClient::new(config, api::client_side(stream)).spawn())
}
