//! Streams over TLS: which node a certificate allows, and key changes while streams are open.

use crate::harness::{endpoints_url, request, run_with_tls, server_address, Call, Fixture, RESPONSE_TIMEOUT};
use async_io::{Async, Timer};
use futures_rustls::client::TlsStream;
use futures_rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName};
use futures_rustls::rustls::{crypto::ring, ClientConfig, RootCertStore};
use futures_rustls::TlsConnector;
use oatlever::round::Writer;
use oatlever_identity::{Files, Grant, Grants, Keys, To};
use oatlever_xds::grpc::{framed, Code};
use oatlever_xds::methods;
use rcgen::string::Ia5String;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, SanType};
use std::net::TcpStream;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use xds_api::pb::envoy::config::core::v3::{Locality, Node};
use xds_api::pb::envoy::service::discovery::v3::DiscoveryRequest;

/// A certificate authority for pilots or proxies.
struct Authority(CertifiedIssuer<'static, KeyPair>);

/// A certificate and its private key.
struct Signed {
    certificate: rcgen::Certificate,
    key: KeyPair,
}

impl Authority {
    fn new() -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        Authority(CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap())
    }

    /// A certificate for a name that is valid for `lifetime` from now.
    fn sign(&self, name: &str, lifetime: Duration) -> Signed {
        let mut params = CertificateParams::default();
        let text = Ia5String::try_from(name).unwrap();
        let is_uri = name.contains(':');
        params.subject_alt_names = vec![if is_uri { SanType::URI(text) } else { SanType::DnsName(text) }];
        params.not_after = (SystemTime::now() + lifetime).into();
        let key = KeyPair::generate().unwrap();
        Signed { certificate: params.signed_by(&key, &self.0).unwrap(), key }
    }

    fn pem(&self) -> String {
        self.0.pem()
    }
}

const DAY: Duration = Duration::from_secs(86_400);

/// A temporary directory with the key files of a pilot.
struct KeyDir(PathBuf);

impl KeyDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("oatlever-tls-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        KeyDir(path)
    }

    fn files(&self) -> Files {
        let path = |name: &str| self.0.join(name);
        Files {
            certificate: path("pilot.pem"),
            key: path("pilot.key"),
            authorities: Some(path("proxies.pem")),
        }
    }

    fn write(&self, pilot: &Signed, proxies: &str) {
        std::fs::write(self.0.join("pilot.pem"), pilot.certificate.pem()).unwrap();
        std::fs::write(self.0.join("pilot.key"), pilot.key.serialize_pem()).unwrap();
        std::fs::write(self.0.join("proxies.pem"), proxies).unwrap();
    }
}

impl Drop for KeyDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

type Socket = TlsStream<Async<TcpStream>>;

async fn connect(fixture: &Fixture, pilots: &Authority, client: Option<&Signed>) -> std::io::Result<Socket> {
    let mut roots = RootCertStore::empty();
    roots.add(pilots.0.der().clone()).unwrap();
    let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots);
    let mut config = match client {
        None => builder.with_no_client_auth(),
        Some(client) => {
            let chain: Vec<CertificateDer> = vec![client.certificate.der().clone()];
            let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(client.key.serialize_der()));
            builder.with_client_auth_cert(chain, key).unwrap()
        }
    };
    config.alpn_protocols = vec![b"h2".to_vec()];
    let socket = Async::<TcpStream>::connect(fixture.host).await?;
    TlsConnector::from(Arc::new(config)).connect(ServerName::try_from("pilot.test").unwrap(), socket).await
}

/// Opens a discovery stream for a node. Returns `None` if the connection itself is refused.
async fn discover(
    fixture: &Rc<Fixture>,
    pilots: &Authority,
    client: Option<&Signed>,
    node: &str,
) -> Option<Call> {
    let socket = connect(fixture, pilots, client).await.ok()?;
    Call::over(
        socket,
        fixture,
        methods::STREAM_AGGREGATED_RESOURCES,
        request(node, &endpoints_url(), &["search"], ""),
    )
    .await
    .ok()
}

fn grants() -> Grants {
    let grant = |identity: &str, to: To| Grant { identity: identity.into(), to };
    Grants::new(&[
        grant("spiffe://shops/even/*", To::Zone("even".into())),
        grant("odd.shops.test", To::Zone("odd".into())),
        grant("spiffe://shops/one", To::Node("relay-8".into())),
    ])
}

/// Which certificate may connect as which node, and every defect of a certificate for which a proxy is refused.
#[test]
fn a_proxy_connects_only_as_a_node_that_its_certificate_grants() {
    let (key_dir, pilots, proxies) = (KeyDir::new("grants"), Authority::new(), Authority::new());
    key_dir.write(&pilots.sign("pilot.test", DAY), &proxies.pem());
    run_with_tls(Some(Keys::load(key_dir.files()).unwrap()), grants(), |fixture| async move {
        let even = proxies.sign("spiffe://shops/even/4", DAY);
        let odd = proxies.sign("odd.shops.test", DAY);
        let one = proxies.sign("spiffe://shops/one", DAY);
        for (client, node, allowed) in [
            (&even, "relay-4", true),
            (&odd, "relay-5", true),
            (&one, "relay-8", true),
            // Nodes in another zone, a node with its own grant, and an unknown node.
            (&even, "relay-5", false),
            (&odd, "relay-6", false),
            (&even, "relay-8", false),
            (&one, "relay-4", false),
            (&even, "somebody", false),
        ] {
            let mut call = discover(&fixture, &pilots, Some(client), node).await.unwrap();
            if allowed {
                assert_eq!(call.accept(&["search"]).await.resources.len(), 1, "{node}");
            } else {
                assert_eq!(call.status, Some(Code::PermissionDenied as u16), "{node}");
            }
        }
        // A granted node that claims to be in another zone: it would be given the tables of that zone.
        let locality = Some(Locality { zone: "odd".into(), ..Default::default() });
        let first = DiscoveryRequest {
            node: Some(Node { id: "relay-4".into(), locality, ..Default::default() }),
            type_url: endpoints_url(),
            ..Default::default()
        };
        let socket = connect(&fixture, &pilots, Some(&even)).await.unwrap();
        let call =
            Call::over(socket, &fixture, methods::STREAM_AGGREGATED_RESOURCES, framed(&first)).await.unwrap();
        assert_eq!(call.status, Some(Code::PermissionDenied as u16));

        // No certificate, one of an unknown authority, one of the pilots' authority, and an expired one.
        let stranger = Authority::new().sign("spiffe://shops/even/4", DAY);
        let pilot = pilots.sign("spiffe://shops/even/4", DAY);
        let mut params = CertificateParams::default();
        params.subject_alt_names = vec![SanType::URI("spiffe://shops/even/4".try_into().unwrap())];
        params.not_after = (SystemTime::now() - DAY).into();
        let key = KeyPair::generate().unwrap();
        let old = Signed { certificate: params.signed_by(&key, &proxies.0).unwrap(), key };
        for client in [None, Some(&stranger), Some(&pilot), Some(&old)] {
            assert!(discover(&fixture, &pilots, client, "relay-4").await.is_none());
        }
        // A proxy that does not use TLS.
        let raw = Async::<TcpStream>::connect(fixture.host).await.unwrap();
        let plain = Call::over(
            raw,
            &fixture,
            methods::STREAM_AGGREGATED_RESOURCES,
            request("relay-4", &endpoints_url(), &[], ""),
        )
        .await;
        assert!(plain.is_err());
        fixture
            .backend
            .wait_until("five failed handshakes", |_| fixture.server.counts.borrow().handshakes_failed == 5)
            .await;
        // Exactly the allowed streams were opened.
        let opened = fixture
            .backend
            .0
            .stream_events
            .borrow()
            .iter()
            .filter(|(_, up)| *up)
            .map(|(asker, _)| *asker)
            .collect::<Vec<_>>();
        assert_eq!(opened, [4, 5, 8]);
    });
}

/// Keys and authorities change while a stream is open: the stream continues, and later connections use the new files. A
/// half-written file has no effect.
#[test]
fn key_changes_do_not_interrupt_streams() {
    let (key_dir, pilots, proxies) = (KeyDir::new("renew"), Authority::new(), Authority::new());
    key_dir.write(&pilots.sign("pilot.test", DAY), &proxies.pem());
    run_with_tls(Some(Keys::load(key_dir.files()).unwrap()), grants(), |fixture| async move {
        let even = proxies.sign("spiffe://shops/even/4", DAY);
        let mut old = discover(&fixture, &pilots, Some(&even), "relay-4").await.unwrap();
        old.accept(&["search"]).await;

        std::fs::write(key_dir.files().certificate, "-----BEGIN CERT").unwrap();
        fixture.server.reload_keys();
        assert_eq!(fixture.server.counts.borrow().key_reload_failures, 1);
        let again = discover(&fixture, &pilots, Some(&even), "relay-6").await;
        assert!(again.is_some(), "the previous keys stay in use while a file is incomplete");

        let (next_pilots, next_proxies) = (Authority::new(), Authority::new());
        key_dir.write(&next_pilots.sign("pilot.test", DAY), &next_proxies.pem());
        fixture.server.reload_keys();
        assert_eq!(fixture.server.counts.borrow().key_reloads, 1);
        assert!(
            discover(&fixture, &pilots, Some(&even), "relay-2").await.is_none(),
            "previous authority of the pilots"
        );
        assert!(
            discover(&fixture, &next_pilots, Some(&even), "relay-2").await.is_none(),
            "previous authority of the proxies"
        );
        let fresh = next_proxies.sign("spiffe://shops/even/4", DAY);
        let mut new = discover(&fixture, &next_pilots, Some(&fresh), "relay-2").await.unwrap();
        new.accept(&["search"]).await;
        fixture.backend.change_tables(|tables| tables.set_weight(0, server_address(1), 9.0));
        old.accept(&["search"]).await;
        new.accept(&["search"]).await;
        assert!(fixture.backend.0.stream_events.borrow().iter().all(|(asker, up)| *up || *asker != 4));
    });
}

/// A proxy whose certificate has expired must not count as connected, so its stream ends with the certificate.
#[test]
fn a_stream_ends_when_its_certificate_expires() {
    let (key_dir, pilots, proxies) = (KeyDir::new("expiry"), Authority::new(), Authority::new());
    key_dir.write(&pilots.sign("pilot.test", DAY), &proxies.pem());
    run_with_tls(Some(Keys::load(key_dir.files()).unwrap()), grants(), |fixture| async move {
        // The validity of certificates has a resolution of one second.
        let even = proxies.sign("spiffe://shops/even/4", Duration::from_secs(3));
        let mut call = discover(&fixture, &pilots, Some(&even), "relay-4").await.unwrap();
        call.accept(&["search"]).await;
        Timer::after(Duration::from_secs_f64(RESPONSE_TIMEOUT)).await;
        assert_eq!(*fixture.backend.0.stream_events.borrow(), [(4, true)]);
        assert!(call.ended().await);
        fixture
            .backend
            .wait_until("the end", |state| *state.stream_events.borrow() == [(4, true), (4, false)])
            .await;
        assert_eq!(fixture.server.counts.borrow().streams_ended.get("expired"), Some(&1));
        assert!(discover(&fixture, &pilots, Some(&even), "relay-4").await.is_none());
    });
}
