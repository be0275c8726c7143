//! The names and expiry time of a certificate that the TLS handshake has already verified.

use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// A TLS peer, as identified by its certificate.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The URI (as used by SPIFFE) and DNS entries among its subject alternative names (RFC 5280, 4.2.1.6).
    /// The subject itself is ignored, as it is free text. Names after the first 64 are ignored too.
    pub names: Vec<String>,
    /// Unix time at which the certificate expires, in seconds.
    pub expires_at: f64,
}

/// Maximum number of names kept per certificate; further names are ignored. The length of names is bounded by
/// the handshake's size limit.
const MAX_NAMES: usize = 64;

impl Peer {
    /// Parses a DER-encoded certificate.
    pub fn from_der(der: &[u8]) -> Result<Peer, String> {
        let (_, certificate) =
            X509Certificate::from_der(der).map_err(|e| format!("not a certificate: {e}"))?;
        let names = certificate
            .subject_alternative_name()
            .map_err(|e| format!("invalid subject alternative names: {e}"))?;
        let names = names.iter().flat_map(|names| &names.value.general_names);
        let names = names.filter_map(|name| match name {
            GeneralName::URI(text) | GeneralName::DNSName(text) => Some(text.to_string()),
            _ => None,
        });
        // The notAfter second itself is still valid (RFC 5280, 4.1.2.5).
        let expires_at = certificate.validity().not_after.timestamp() as f64 + 1.0;
        Ok(Peer { names: names.take(MAX_NAMES).collect(), expires_at })
    }
}
