//! Digests by which a proxy can tell that what it holds is what its pilot meant it to hold.
//!
//! Versions are opaque to the protocol, so they carry them: `EPOCH.NUMBER.DIGEST`, the digest as 16 hexadecimal
//! digits of SipHash-2-4 under a key of zeros. A resource's version has the digest of its bytes; the version
//! of an incremental response (`system_version_info`) that of all names and numbers held once it is taken;
//! the version of a state of the world that of its resources' bytes, one after the other. Against lost or
//! misapplied changes, not against people.

use siphasher::sip::SipHasher24;
use std::fmt;
use std::hash::Hasher;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u64);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The digest of resources' bytes, in order.
pub fn of_bytes<'a>(resources: impl IntoIterator<Item = &'a [u8]>) -> Digest {
    let mut hasher = SipHasher24::new();
    resources.into_iter().for_each(|bytes| hasher.write(bytes));
    Digest(hasher.finish())
}

/// The digest of names and the numbers of their versions, in order of name. A zero byte ends a name.
pub fn of_versions<'a>(held: impl IntoIterator<Item = (&'a str, u64)>) -> Digest {
    let mut hasher = SipHasher24::new();
    for (name, number) in held {
        hasher.write(name.as_bytes());
        hasher.write_u8(0);
        hasher.write(&number.to_le_bytes());
    }
    Digest(hasher.finish())
}
