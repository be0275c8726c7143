//! DNS cookies (RFC 7873) in the interoperable form of RFC 9018: version, reserved, time, SipHash-2-4.
//!
//! Only this server checks what it made, so the time is seconds on its own clock, which no step of the
//! wall's moves.

use siphasher::sip::SipHasher24;
use std::hash::Hasher;
use std::net::IpAddr;

/// Bytes of a client cookie, and of the server cookie that follows it (RFC 9018).
const CLIENT: usize = 8;
const SERVER: usize = 16;
/// s; a cookie is good for an hour (RFC 9018, section 4.3).
const GOOD_FOR: u32 = 3600;
/// s; one older than this is answered with a new one (RFC 9018, section 4.3).
const RENEWED: u32 = 1800;

/// What a cookie option proves about its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CookieStatus {
    /// Not a cookie at all (RFC 7873, section 5.2.2): its length is wrong.
    Malformed,
    /// The sender may be anybody; this is the option to answer with.
    Unverified(Vec<u8>),
    /// The sender gets what is sent to its address; this is the option to answer with.
    Verified(Vec<u8>),
}

#[derive(Clone)]
pub struct Cookies {
    key: [u8; 16],
}

impl Cookies {
    pub fn new(key: [u8; 16]) -> Self {
        Cookies { key }
    }

    fn make(&self, client: &[u8], source: IpAddr, time: u32) -> Vec<u8> {
        let mut cookie = client.to_vec();
        cookie.extend([1, 0, 0, 0]);
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

    /// Judges the data of a cookie option from a source, `now` seconds after some fixed moment.
    pub fn verify(&self, data: &[u8], source: IpAddr, now: f64) -> CookieStatus {
        let (time, length) = (now as u32, data.len());
        if length != CLIENT && !(CLIENT + 8..=CLIENT + 32).contains(&length) {
            return CookieStatus::Malformed;
        }
        let client = &data[..CLIENT];
        let fresh = || self.make(client, source, time);
        if length != CLIENT + SERVER || data[CLIENT..CLIENT + 4] != [1, 0, 0, 0] {
            return CookieStatus::Unverified(fresh());
        }
        let made = u32::from_be_bytes([data[12], data[13], data[14], data[15]]);
        let age = time.wrapping_sub(made);
        if age > GOOD_FOR || self.make(client, source, made) != data {
            return CookieStatus::Unverified(fresh());
        }
        CookieStatus::Verified(if age > RENEWED { fresh() } else { data.to_vec() })
    }
}
