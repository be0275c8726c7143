//! Keys and certificates from files, taken up anew when the files change.
//!
//! A connection keeps what it was set up with; only later ones see new keys. Files that can't be used leave
//! the last good keys in place: a half-written file must not keep proxies out.

use futures_rustls::pki_types::pem::PemObject;
use futures_rustls::pki_types::{CertificateDer, PrivateKeyDer};
use futures_rustls::rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};
use futures_rustls::rustls::{crypto::ring, RootCertStore, ServerConfig};
use futures_rustls::TlsAcceptor;
use std::path::PathBuf;
use std::sync::Arc;

/// HTTP/2 (RFC 7540, 3.3).
const PROTOCOL: &[u8] = b"h2";

#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// The certificate and those above it, PEM.
    pub certificate: PathBuf,
    /// Its private key, PEM.
    pub key: PathBuf,
    /// Those whose word on clients is taken, PEM; clients need no certificate without.
    pub authorities: Option<PathBuf>,
}

/// What the files held; never logged.
#[derive(Clone, PartialEq, Eq)]
struct Texts {
    certificate: Vec<u8>,
    key: Vec<u8>,
    authorities: Option<Vec<u8>>,
}

fn certificates(path: &std::path::Path, text: &[u8]) -> Result<Vec<CertificateDer<'static>>, String> {
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
    let read = read.map_err(|e| format!("{}: {e}", path.display()))?;
    if read.is_empty() {
        return Err(format!("{}: no certificate in it", path.display()));
    }
    Ok(read)
}

impl TlsFiles {
    fn read(&self) -> Result<Texts, String> {
        let read = |path: &PathBuf| std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()));
        Ok(Texts {
            certificate: read(&self.certificate)?,
            key: read(&self.key)?,
            authorities: self.authorities.as_ref().map(read).transpose()?,
        })
    }

    fn config(&self, texts: &Texts) -> Result<ServerConfig, String> {
        let chain = certificates(&self.certificate, &texts.certificate)?;
        // What is wrong with a key is told without a part of it.
        let key = PrivateKeyDer::from_pem_slice(&texts.key)
            .map_err(|_| format!("{}: no private key that can be read", self.key.display()))?;
        let provider = Arc::new(ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(|e| e.to_string())?;
        let builder = match (&self.authorities, &texts.authorities) {
            (Some(path), Some(text)) => {
                let mut roots = RootCertStore::empty();
                for authority in certificates(path, text)? {
                    roots.add(authority).map_err(|e| format!("{}: {e}", path.display()))?;
                }
                let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
                let verifier = verifier.build().map_err(|e| format!("{}: {e}", path.display()))?;
                builder.with_client_cert_verifier(verifier)
            }
            _ => builder.with_no_client_auth(),
        };
        let mut config = builder
            .with_single_cert(chain, key)
            .map_err(|e| format!("{} and {}: {e}", self.certificate.display(), self.key.display()))?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        // A session taken up again would pass by authorities that were dropped since.
        config.session_storage = Arc::new(NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        Ok(config)
    }
}

/// The keys in use.
pub struct TlsKeys {
    files: TlsFiles,
    texts: Texts,
    config: Arc<ServerConfig>,
    /// Why the files as they are now are not in use.
    trouble: Option<String>,
}

impl TlsKeys {
    /// Errors: which file can't be used, and why.
    pub fn load(files: TlsFiles) -> Result<TlsKeys, String> {
        let texts = files.read()?;
        let config = Arc::new(files.config(&texts)?);
        Ok(TlsKeys { files, texts, config, trouble: None })
    }

    /// Looks at the files again. True where new keys were taken up. Errors, told once for each trouble: why
    /// the old ones stay.
    pub fn reload(&mut self) -> Result<bool, String> {
        let fresh = self.files.read().and_then(|texts| {
            if texts == self.texts {
                return Ok(None);
            }
            Ok(Some((self.files.config(&texts)?, texts)))
        });
        match fresh {
            Ok(None) => {
                self.trouble = None;
                Ok(false)
            }
            Ok(Some((config, texts))) => {
                (self.config, self.texts, self.trouble) = (Arc::new(config), texts, None);
                Ok(true)
            }
            Err(what) if self.trouble.as_ref() == Some(&what) => Ok(false),
            Err(what) => {
                self.trouble = Some(what.clone());
                Err(what)
            }
        }
    }

    pub fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.config.clone())
    }
}
