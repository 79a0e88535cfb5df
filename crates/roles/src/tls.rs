//! TLS for callers and mutual TLS between processes, from PEM files.

use std::{path, sync::Arc};

use base::fault::{At, Fault};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use tokio_rustls::{
    TlsAcceptor, TlsConnector,
    rustls::{ClientConfig, RootCertStore, ServerConfig, crypto, server},
};

const ALPN_H2: &[u8] = b"h2";
const ALPN_HTTP1: &[u8] = b"http/1.1";

/// The files of one identity.
#[derive(Clone, Debug)]
pub struct Files {
    /// Certificate chain, leaf first.
    pub cert: path::PathBuf,
    /// Private key.
    pub key: path::PathBuf,
}

fn chain(file: &path::Path) -> Result<Vec<CertificateDer<'static>>, Fault> {
    let certs: Result<Vec<_>, _> = CertificateDer::pem_file_iter(file)
        .at("open certificate", file.display())?
        .collect();
    certs.at("read certificate", file.display())
}

fn key(file: &path::Path) -> Result<PrivateKeyDer<'static>, Fault> {
    PrivateKeyDer::from_pem_file(file).at("read private key", file.display())
}

fn roots(file: &path::Path) -> Result<Arc<RootCertStore>, Fault> {
    let mut store = RootCertStore::empty();
    for cert in chain(file)? {
        store.add(cert).at("add root certificate", file.display())?;
    }
    Ok(Arc::new(store))
}

fn provider() -> Arc<crypto::CryptoProvider> {
    Arc::new(crypto::ring::default_provider())
}

/// Makes the acceptor for callers; they prove themselves with a team key and
/// need no certificate.
pub fn caller_acceptor(files: &Files) -> Result<TlsAcceptor, Fault> {
    let mut config = ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .at("set TLS versions", files.cert.display())?
        .with_no_client_auth()
        .with_single_cert(chain(&files.cert)?, key(&files.key)?)
        .at("use certificate", files.cert.display())?;
    config.alpn_protocols = vec![ALPN_H2.to_vec(), ALPN_HTTP1.to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}

/// Makes the acceptor for other processes; a peer without a certificate of the
/// fleet's authority does not complete the handshake.
pub fn peer_acceptor(files: &Files, authority: &path::Path) -> Result<TlsAcceptor, Fault> {
    let verifier =
        server::WebPkiClientVerifier::builder_with_provider(roots(authority)?, provider())
            .build()
            .at("make verifier", authority.display())?;
    let mut config = ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .at("set TLS versions", files.cert.display())?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain(&files.cert)?, key(&files.key)?)
        .at("use certificate", files.cert.display())?;
    config.alpn_protocols = vec![ALPN_H2.to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}

/// Makes the connector to other processes.
pub fn peer_connector(files: &Files, authority: &path::Path) -> Result<TlsConnector, Fault> {
    let mut config = ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .at("set TLS versions", files.cert.display())?
        .with_root_certificates(roots(authority)?)
        .with_client_auth_cert(chain(&files.cert)?, key(&files.key)?)
        .at("use certificate", files.cert.display())?;
    config.alpn_protocols = vec![ALPN_H2.to_vec()];
    Ok(TlsConnector::from(Arc::new(config)))
}
