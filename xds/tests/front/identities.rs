//! Streams over TLS: who may come as whom, and keys that change under open streams.

use crate::harness::{endpoints, play_with, request, server, Call, Play, PATIENCE};
use async_io::{Async, Timer};
use futures_rustls::client::TlsStream;
use futures_rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName};
use futures_rustls::rustls::{crypto::ring, ClientConfig, RootCertStore};
use futures_rustls::TlsConnector;
use oatlever::round::Writer;
use oatlever_identity::{Grant, Grants, Scope, TlsFiles, TlsKeys};
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

/// An authority that signs for pilots and proxies.
struct Authority(CertifiedIssuer<'static, KeyPair>);

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

    /// A certificate for a name, good for so long from now.
    fn sign(&self, name: &str, life: Duration) -> Signed {
        let mut params = CertificateParams::default();
        let text = Ia5String::try_from(name).unwrap();
        let is_uri = name.contains(':');
        params.subject_alt_names = vec![if is_uri { SanType::URI(text) } else { SanType::DnsName(text) }];
        params.not_after = (SystemTime::now() + life).into();
        let key = KeyPair::generate().unwrap();
        Signed { certificate: params.signed_by(&key, &self.0).unwrap(), key }
    }

    fn pem(&self) -> String {
        self.0.pem()
    }
}

const DAY: Duration = Duration::from_secs(86_400);

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("oatlever-tls-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn files(&self) -> TlsFiles {
        let at = |name: &str| self.0.join(name);
        TlsFiles { certificate: at("pilot.pem"), key: at("pilot.key"), authorities: Some(at("proxies.pem")) }
    }

    fn write(&self, pilot: &Signed, proxies: &str) {
        std::fs::write(self.0.join("pilot.pem"), pilot.certificate.pem()).unwrap();
        std::fs::write(self.0.join("pilot.key"), pilot.key.serialize_pem()).unwrap();
        std::fs::write(self.0.join("proxies.pem"), proxies).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

type Socket = TlsStream<Async<TcpStream>>;

async fn dial(play: &Play, pilots: &Authority, own: Option<&Signed>) -> std::io::Result<Socket> {
    let mut roots = RootCertStore::empty();
    roots.add(pilots.0.der().clone()).unwrap();
    let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots);
    let mut config = match own {
        None => builder.with_no_client_auth(),
        Some(own) => {
            let chain: Vec<CertificateDer> = vec![own.certificate.der().clone()];
            let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(own.key.serialize_der()));
            builder.with_client_auth_cert(chain, key).unwrap()
        }
    };
    config.alpn_protocols = vec![b"h2".to_vec()];
    let socket = Async::<TcpStream>::connect(play.host).await?;
    TlsConnector::from(Arc::new(config)).connect(ServerName::try_from("pilot.test").unwrap(), socket).await
}

/// A discovery stream of a node, unless the connection itself was refused.
async fn discover(play: &Rc<Play>, pilots: &Authority, own: Option<&Signed>, node: &str) -> Option<Call> {
    let socket = dial(play, pilots, own).await.ok()?;
    Call::over(socket, play, methods::STATE, request(node, &endpoints(), &["search"], "")).await.ok()
}

fn grants() -> Grants {
    let grant = |identity: &str, scope: Scope| Grant { identity: identity.into(), scope };
    Grants::new(&[
        grant("spiffe://shops/even/*", Scope::Zone("even".into())),
        grant("odd.shops.test", Scope::Zone("odd".into())),
        grant("spiffe://shops/one", Scope::Node("relay-8".into())),
    ])
}

/// Who may be whom, and everything about a certificate that keeps a proxy out.
#[test]
fn a_proxy_comes_only_as_what_its_certificate_grants() {
    let (folder, pilots, proxies) = (Folder::new("grants"), Authority::new(), Authority::new());
    folder.write(&pilots.sign("pilot.test", DAY), &proxies.pem());
    play_with(Some(TlsKeys::load(folder.files()).unwrap()), grants(), |play| async move {
        let even = proxies.sign("spiffe://shops/even/4", DAY);
        let odd = proxies.sign("odd.shops.test", DAY);
        let one = proxies.sign("spiffe://shops/one", DAY);
        for (own, node, fine) in [
            (&even, "relay-4", true),
            (&odd, "relay-5", true),
            (&one, "relay-8", true),
            // Another's zone, a node with a grant of its own, and a node that is none.
            (&even, "relay-5", false),
            (&odd, "relay-6", false),
            (&even, "relay-8", false),
            (&one, "relay-4", false),
            (&even, "somebody", false),
        ] {
            let mut call = discover(&play, &pilots, Some(own), node).await.unwrap();
            if fine {
                assert_eq!(call.take(&["search"]).await.resources.len(), 1, "{node}");
            } else {
                assert_eq!(call.status, Some(Code::PermissionDenied as u16), "{node}");
            }
        }
        // The right node, but it says that it sits elsewhere: it would be given tables of another zone.
        let locality = Some(Locality { zone: "odd".into(), ..Default::default() });
        let first = DiscoveryRequest {
            node: Some(Node { id: "relay-4".into(), locality, ..Default::default() }),
            type_url: endpoints(),
            ..Default::default()
        };
        let socket = dial(&play, &pilots, Some(&even)).await.unwrap();
        let call = Call::over(socket, &play, methods::STATE, framed(&first)).await.unwrap();
        assert_eq!(call.status, Some(Code::PermissionDenied as u16));

        // No certificate, one of another authority, one of the pilots' own, one that has run out.
        let stranger = Authority::new().sign("spiffe://shops/even/4", DAY);
        let pilot = pilots.sign("spiffe://shops/even/4", DAY);
        let mut params = CertificateParams::default();
        params.subject_alt_names = vec![SanType::URI("spiffe://shops/even/4".try_into().unwrap())];
        params.not_after = (SystemTime::now() - DAY).into();
        let key = KeyPair::generate().unwrap();
        let old = Signed { certificate: params.signed_by(&key, &proxies.0).unwrap(), key };
        for own in [None, Some(&stranger), Some(&pilot), Some(&old)] {
            assert!(discover(&play, &pilots, own, "relay-4").await.is_none());
        }
        // And a proxy that speaks no TLS.
        let raw = Async::<TcpStream>::connect(play.host).await.unwrap();
        let plain = Call::over(raw, &play, methods::STATE, request("relay-4", &endpoints(), &[], "")).await;
        assert!(plain.is_err());
        play.book
            .until("five failed handshakes", |_| play.shared.counts.borrow().handshakes_failed == 5)
            .await;
        // All streams that were let in are up; nobody else ever was.
        let up =
            play.book.0.up.borrow().iter().filter(|(_, up)| *up).map(|(asker, _)| *asker).collect::<Vec<_>>();
        assert_eq!(up, [4, 5, 8]);
    });
}

/// Keys and authorities change under an open stream: it goes on, and those who come later are met by the
/// new ones. A half-written file changes nothing.
#[test]
fn keys_change_without_dropping_streams() {
    let (folder, pilots, proxies) = (Folder::new("renew"), Authority::new(), Authority::new());
    folder.write(&pilots.sign("pilot.test", DAY), &proxies.pem());
    play_with(Some(TlsKeys::load(folder.files()).unwrap()), grants(), |play| async move {
        let even = proxies.sign("spiffe://shops/even/4", DAY);
        let mut old = discover(&play, &pilots, Some(&even), "relay-4").await.unwrap();
        old.take(&["search"]).await;

        std::fs::write(folder.files().certificate, "-----BEGIN CERT").unwrap();
        play.shared.renew_keys();
        assert_eq!(play.shared.counts.borrow().keys_left, 1);
        let again = discover(&play, &pilots, Some(&even), "relay-6").await;
        assert!(again.is_some(), "the old keys stay while a file is written");

        let (next_pilots, next_proxies) = (Authority::new(), Authority::new());
        folder.write(&next_pilots.sign("pilot.test", DAY), &next_proxies.pem());
        play.shared.renew_keys();
        assert_eq!(play.shared.counts.borrow().keys_renewed, 1);
        assert!(discover(&play, &pilots, Some(&even), "relay-2").await.is_none(), "old pilot's authority");
        assert!(discover(&play, &next_pilots, Some(&even), "relay-2").await.is_none(), "old authority");
        let fresh = next_proxies.sign("spiffe://shops/even/4", DAY);
        let mut new = discover(&play, &next_pilots, Some(&fresh), "relay-2").await.unwrap();
        new.take(&["search"]).await;
        play.book.order(|tables| tables.weigh(0, server(1), 9.0));
        old.take(&["search"]).await;
        new.take(&["search"]).await;
        assert!(play.book.0.up.borrow().iter().all(|(asker, up)| *up || *asker != 4));
    });
}

/// A stream outlives no certificate: a proxy whose certificate was not renewed is known to be up by nothing.
#[test]
fn a_stream_ends_when_its_certificate_runs_out() {
    let (folder, pilots, proxies) = (Folder::new("expiry"), Authority::new(), Authority::new());
    folder.write(&pilots.sign("pilot.test", DAY), &proxies.pem());
    play_with(Some(TlsKeys::load(folder.files()).unwrap()), grants(), |play| async move {
        // Certificates count whole seconds.
        let even = proxies.sign("spiffe://shops/even/4", Duration::from_secs(3));
        let mut call = discover(&play, &pilots, Some(&even), "relay-4").await.unwrap();
        call.take(&["search"]).await;
        Timer::after(Duration::from_secs_f64(PATIENCE)).await;
        assert_eq!(*play.book.0.up.borrow(), [(4, true)]);
        assert!(call.ended().await);
        play.book.until("the end", |state| *state.up.borrow() == [(4, true), (4, false)]).await;
        assert_eq!(play.shared.counts.borrow().ended.get("expired"), Some(&1));
        assert!(discover(&play, &pilots, Some(&even), "relay-4").await.is_none());
    });
}
