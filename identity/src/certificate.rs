//! Names and times of a certificate that a handshake has found good.

use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// A peer, as its certificate has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its alternative names (RFC 5280, 4.2.1.6) that are URIs (as SPIFFE has them) or DNS names. The subject
    /// is not looked at: it is a text for people.
    pub names: Vec<String>,
    /// Unix time that it runs out at, s.
    pub expires_at: f64,
}

/// Names kept of one certificate; the handshake's own limit on size bounds their length.
const NAMES: usize = 64;

impl Peer {
    /// Reads a certificate (DER). Errors: it is none.
    pub fn from_der(der: &[u8]) -> Result<Peer, String> {
        let (_, certificate) =
            X509Certificate::from_der(der).map_err(|e| format!("not a certificate: {e}"))?;
        let names = certificate.subject_alternative_name().map_err(|e| format!("its names: {e}"))?;
        let names = names.iter().flat_map(|names| &names.value.general_names);
        let names = names.filter_map(|name| match name {
            GeneralName::URI(text) | GeneralName::DNSName(text) => Some(text.to_string()),
            _ => None,
        });
        // The last second counts (RFC 5280, 4.1.2.5).
        let expires_at = certificate.validity().not_after.timestamp() as f64 + 1.0;
        Ok(Peer { names: names.take(NAMES).collect(), expires_at })
    }
}
