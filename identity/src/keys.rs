//! TLS keys and certificates that are reloaded when their files change.
//!
//! Reloaded keys apply to new connections only. If the files are invalid, the last valid keys stay in use, so
//! that a partially written file does not lock proxies out.

use futures_rustls::pki_types::pem::PemObject;
use futures_rustls::pki_types::{CertificateDer, PrivateKeyDer};
use futures_rustls::rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};
use futures_rustls::rustls::{crypto::ring, RootCertStore, ServerConfig};
use futures_rustls::TlsAcceptor;
use std::path::PathBuf;
use std::sync::Arc;

/// ALPN identifier of HTTP/2 (RFC 7540, 3.3).
const PROTOCOL: &[u8] = b"h2";

/// Paths of the PEM files for a TLS server.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// The server certificate, followed by its chain.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
    /// CA certificates that client certificates are verified against. If `None`, clients need no certificate.
    pub authorities: Option<PathBuf>,
}

/// The contents of the files. Deliberately not `Debug`, so that the private key is never logged.
#[derive(Clone, PartialEq, Eq)]
struct FileContents {
    certificate: Vec<u8>,
    key: Vec<u8>,
    authorities: Option<Vec<u8>>,
}

fn certificates(path: &std::path::Path, text: &[u8]) -> Result<Vec<CertificateDer<'static>>, String> {
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
    let read = read.map_err(|e| format!("{}: {e}", path.display()))?;
    if read.is_empty() {
        return Err(format!("{}: contains no certificate", path.display()));
    }
    Ok(read)
}

impl TlsFiles {
    fn read(&self) -> Result<FileContents, String> {
        let read = |path: &PathBuf| std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()));
        Ok(FileContents {
            certificate: read(&self.certificate)?,
            key: read(&self.key)?,
            authorities: self.authorities.as_ref().map(read).transpose()?,
        })
    }

    fn config(&self, contents: &FileContents) -> Result<ServerConfig, String> {
        let chain = certificates(&self.certificate, &contents.certificate)?;
        // The parser's error is discarded, as it could quote parts of the key.
        let key = PrivateKeyDer::from_pem_slice(&contents.key)
            .map_err(|_| format!("{}: contains no readable private key", self.key.display()))?;
        let provider = Arc::new(ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(|e| e.to_string())?;
        let builder = match (&self.authorities, &contents.authorities) {
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
        // A resumed session would skip verification against authorities that were removed meanwhile.
        config.session_storage = Arc::new(NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        Ok(config)
    }
}

/// The TLS keys in use, and the files that they are loaded from.
pub struct TlsKeys {
    files: TlsFiles,
    contents: FileContents,
    config: Arc<ServerConfig>,
    /// The error of the last reload, if the current files could not be used.
    error: Option<String>,
}

impl TlsKeys {
    /// Loads the keys. The error names the file that can't be used.
    pub fn load(files: TlsFiles) -> Result<TlsKeys, String> {
        let contents = files.read()?;
        let config = Arc::new(files.config(&contents)?);
        Ok(TlsKeys { files, contents, config, error: None })
    }

    /// Reads the files again and returns whether new keys are in use. If the files can't be used, the old
    /// keys stay; an error that repeats is returned only once.
    pub fn reload(&mut self) -> Result<bool, String> {
        let loaded = self.files.read().and_then(|contents| {
            if contents == self.contents {
                return Ok(None);
            }
            Ok(Some((self.files.config(&contents)?, contents)))
        });
        match loaded {
            Ok(None) => {
                self.error = None;
                Ok(false)
            }
            Ok(Some((config, contents))) => {
                (self.config, self.contents, self.error) = (Arc::new(config), contents, None);
                Ok(true)
            }
            Err(error) if self.error.as_ref() == Some(&error) => Ok(false),
            Err(error) => {
                self.error = Some(error.clone());
                Err(error)
            }
        }
    }

    pub fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.config.clone())
    }
}
