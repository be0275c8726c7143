//! Digests by which a proxy verifies that it holds the resources that its pilot intends it to hold.
//!
//! Versions are opaque strings in xDS, so they carry the digests: `EPOCH.NUMBER.DIGEST`, with the digest as 16
//! hexadecimal digits of SipHash-2-4 under an all-zero key. The version of a resource has the digest of its encoded
//! bytes. The version of an incremental response (`system_version_info`) has the digest of the names and version
//! numbers of all resources held once the response is applied. The version of a state-of-the-world response has the
//! digest of the concatenated bytes of its resources. The digests detect lost or misapplied changes; they give no
//! protection against forgery.

use siphasher::sip::SipHasher24;
use std::fmt;
use std::hash::Hasher;

/// A SipHash-2-4 value, displayed as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u64);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The digest of the encoded bytes of resources, in the given order.
pub fn of_bytes<'a>(resources: impl IntoIterator<Item = &'a [u8]>) -> Digest {
    let mut hasher = SipHasher24::new();
    resources.into_iter().for_each(|bytes| hasher.write(bytes));
    Digest(hasher.finish())
}

/// The digest of resource names and version numbers, which must be sorted by name. Each name is hashed with a
/// terminating zero byte and followed by the number in little-endian order.
pub fn of_versions<'a>(versions: impl IntoIterator<Item = (&'a str, u64)>) -> Digest {
    let mut hasher = SipHasher24::new();
    for (name, number) in versions {
        hasher.write(name.as_bytes());
        hasher.write_u8(0);
        hasher.write(&number.to_le_bytes());
    }
    Digest(hasher.finish())
}
