//! DNS cookies (RFC 7873) in the interoperable format of RFC 9018: version, reserved, timestamp, SipHash-2-4.
//!
//! Cookies are verified only by the server that issued them, so timestamps are seconds on its own monotonic
//! clock and are not affected by changes of the system time.

use siphasher::sip::SipHasher24;
use std::hash::Hasher;
use std::net::IpAddr;

/// Bytes of a client cookie, and of the server cookie that follows it (RFC 9018).
const CLIENT_LEN: usize = 8;
const SERVER_LEN: usize = 16;
/// Version 1 and three reserved bytes, at the start of a server cookie.
const VERSION_AND_RESERVED: [u8; 4] = [1, 0, 0, 0];
/// Seconds for which a cookie is valid (RFC 9018, section 4.3).
const MAX_AGE: u32 = 3600;
/// Age in seconds past which a valid cookie is replaced by a new one (RFC 9018, section 4.3).
const RENEWAL_AGE: u32 = 1800;

/// The result of verifying a cookie option.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CookieStatus {
    /// The option's length is invalid (RFC 7873, section 5.2.2).
    Malformed,
    /// The source address may be forged. Holds the option to answer with.
    Unverified(Vec<u8>),
    /// The client receives what is sent to its source address. Holds the option to answer with.
    Verified(Vec<u8>),
}

/// Issues and verifies cookies with a secret key.
#[derive(Clone)]
pub struct Cookies {
    key: [u8; 16],
}

impl Cookies {
    pub fn new(key: [u8; 16]) -> Self {
        Cookies { key }
    }

    fn issue(&self, client: &[u8], source: IpAddr, time: u32) -> Vec<u8> {
        let mut cookie = client.to_vec();
        cookie.extend(VERSION_AND_RESERVED);
        cookie.extend(time.to_be_bytes());
        let mut hasher = SipHasher24::new_with_key(&self.key);
        hasher.write(&cookie);
        match source {
            IpAddr::V4(host) => hasher.write(&host.octets()),
            IpAddr::V6(host) => hasher.write(&host.octets()),
        }
        cookie.extend(hasher.finish().to_le_bytes());
        cookie
    }

    /// Verifies the data of a cookie option sent from `source`, `now` seconds after a fixed point in time.
    pub fn verify(&self, data: &[u8], source: IpAddr, now: f64) -> CookieStatus {
        let (time, length) = (now as u32, data.len());
        if length != CLIENT_LEN && !(CLIENT_LEN + 8..=CLIENT_LEN + 32).contains(&length) {
            return CookieStatus::Malformed;
        }
        let client = &data[..CLIENT_LEN];
        let new_cookie = || self.issue(client, source, time);
        if length != CLIENT_LEN + SERVER_LEN || data[CLIENT_LEN..CLIENT_LEN + 4] != VERSION_AND_RESERVED {
            return CookieStatus::Unverified(new_cookie());
        }
        let issued_at = u32::from_be_bytes([data[12], data[13], data[14], data[15]]);
        let age = time.wrapping_sub(issued_at);
        if age > MAX_AGE || self.issue(client, source, issued_at) != data {
            return CookieStatus::Unverified(new_cookie());
        }
        CookieStatus::Verified(if age > RENEWAL_AGE { new_cookie() } else { data.to_vec() })
    }
}
