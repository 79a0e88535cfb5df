//! Guards mutual TLS between processes: a peer without a certificate of the
//! fleet's authority gets nothing, and callers are served over TLS.

use std::{fs, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use bench::deploy::{self, Deployment, MARSHALS, Running, key};
use bytes::Bytes;
use conf::settings::{Certificate, PeerCertificate, Tls};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use roles::{link::Links, tls};
use rustls_pki_types::{CertificateDer, ServerName, pem::PemObject};
use tokio::{net::TcpStream, time};
use tokio_rustls::{
    TlsConnector,
    rustls::{ClientConfig, RootCertStore, crypto},
};
use wire::msg;

/// Files of one authority and of a certificate that it signed.
struct Authority {
    directory: PathBuf,
}

impl Authority {
    fn new(name: &str) -> Self {
        let directory = std::env::temp_dir().join(format!("{name}-{:x}", base::id::random_bits()));
        fs::create_dir(&directory).unwrap();
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let root = params.self_signed(&key).unwrap();
        let issuer = Issuer::new(params, key);
        let leaf_key = KeyPair::generate().unwrap();
        let names = vec!["127.0.0.1".to_owned()];
        let leaf = CertificateParams::new(names).unwrap();
        let leaf = leaf.signed_by(&leaf_key, &issuer).unwrap();
        let write = |file: &str, text: String| fs::write(directory.join(file), text).unwrap();
        write("authority.pem", root.pem());
        write("leaf.pem", leaf.pem());
        write("leaf.key", leaf_key.serialize_pem());
        Self { directory }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    fn tls(&self) -> Tls {
        Tls {
            callers: Some(Certificate {
                certificate: self.file("leaf.pem"),
                key: self.file("leaf.key"),
            }),
            peers: Some(PeerCertificate {
                certificate: self.file("leaf.pem"),
                key: self.file("leaf.key"),
                authority: self.file("authority.pem"),
            }),
        }
    }

    fn files(&self) -> tls::Files {
        tls::Files {
            cert: self.file("leaf.pem"),
            key: self.file("leaf.key"),
        }
    }
}

impl Drop for Authority {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.directory).ok();
    }
}

async fn start(authority: &Authority) -> Running {
    let deployment = Deployment {
        engines: 1,
        instances: 1,
        routers: 1,
        ..MARSHALS
    };
    let options = deploy::Options {
        tls: authority.tls(),
        ..deploy::Options::default()
    };
    Running::start(deployment, options).await.unwrap()
}

/// Sends a query as a caller over TLS.
async fn query(authority: &Authority, router: SocketAddr) -> StatusCode {
    let mut roots = RootCertStore::empty();
    let root = CertificateDer::from_pem_file(authority.file("authority.pem")).unwrap();
    roots.add(root).unwrap();
    let config = ClientConfig::builder_with_provider(Arc::new(crypto::ring::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(router).await.unwrap();
    let name = ServerName::IpAddress(router.ip().into());
    let connector = TlsConnector::from(Arc::new(config));
    let stream = connector.connect(name, stream).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let request = Request::post("/dispatch/rosters")
        .header("host", "router")
        .header("authorization", format!("Bearer {}", key("captains")))
        .body(Full::new(Bytes::from_static(b"{}")))
        .unwrap();
    let response = sender.send_request(request).await.unwrap();
    let status = response.status();
    response.into_body().collect().await.unwrap();
    status
}

async fn ready(authority: &Authority, router: SocketAddr) {
    for _ in 0..200 {
        if query(authority, router).await == StatusCode::OK {
            return;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the router did not get ready");
}

#[tokio::test(flavor = "multi_thread")]
async fn fleet_certificate() {
    let authority = Authority::new("fleet");
    let running = start(&authority).await;
    ready(&authority, running.callers()[0]).await;
    running.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn strange_peer() {
    let authority = Authority::new("fleet");
    let stranger = Authority::new("stranger");
    let running = start(&authority).await;
    ready(&authority, running.callers()[0]).await;
    let agent = running.engines[0].agent.settings.advertise;
    // It trusts the fleet, but the fleet does not trust it.
    let foreign = tls::peer_connector(&stranger.files(), &authority.file("authority.pem"));
    for (name, tls) in [
        ("no TLS", None),
        ("foreign certificate", Some(foreign.unwrap())),
    ] {
        let links = Links::new(tls);
        let asked = msg::ChangesSince { version: 0 };
        let call = links.call(agent, "/changes", &asked);
        let answer = time::timeout(Duration::from_secs(15), call).await;
        assert!(!matches!(answer, Ok(Ok(_))), "{name}: the agent answered");
    }
    let links = Links::new(Some(
        tls::peer_connector(&authority.files(), &authority.file("authority.pem")).unwrap(),
    ));
    let asked = msg::ChangesSince { version: 0 };
    let answer = links.call(agent, "/changes", &asked).await;
    assert!(answer.is_ok(), "a peer with a certificate is answered");
    running.stop().await;
}
