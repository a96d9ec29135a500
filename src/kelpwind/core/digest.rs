//! Digests by which requests are recognized when they come again.
//!
//! Each attempt of a caller has an id of its own, so the id does not tell whether two attempts ask for
//! the same. What they ask for does: method, host, path with query, caller and body.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

use super::ids::ParseError;

/// Size of a field above which its fast hash stands for it in a digest. Hashing the largest bodies
/// otherwise would take a tenth of a second, in which a node does nothing else.
const EXACT_BYTES_MAX: usize = 1 << 20;

/// What a request asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the caller addressed.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// What identifies the caller, such as a cookie.
    pub caller: Vec<&'a [u8]>,
    /// The whole body.
    pub body: &'a [u8],
}

impl RequestParts<'_> {
    /// Calls `update` with all fields, each after its length, so that different fields never give the
    /// same bytes.
    fn hash(&self, mut update: impl FnMut(&[u8])) {
        let fixed = [self.method.as_bytes(), self.host, self.target.as_bytes(), self.body];
        for field in fixed.iter().chain(&self.caller) {
            update(&(field.len() as u64).to_le_bytes());
            update(field);
        }
    }

    /// A fast hash, which differs between seeds. Whoever does not know the seed cannot choose requests
    /// with equal hashes.
    pub fn fingerprint(&self, seed: u64) -> u64 {
        let mut hasher = Xxh3::with_seed(seed);
        self.hash(|bytes| hasher.update(bytes));
        hasher.digest()
    }
}

/// Digest of what a request asks for: the first half of its SHA-256. Nobody can choose a request with
/// the digest of another one, unless both have bodies over 1 MiB. The text form is 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestDigest([u8; 16]);

impl From<&RequestParts<'_>> for RequestDigest {
    fn from(parts: &RequestParts<'_>) -> RequestDigest {
        let mut hasher = Sha256::new();
        parts.hash(|bytes| match bytes.len() {
            ..=EXACT_BYTES_MAX => hasher.update(bytes),
            _ => hasher.update(xxh3_128(bytes).to_le_bytes()),
        });
        let mut half = [0; 16];
        half.copy_from_slice(&hasher.finalize()[..16]);
        RequestDigest(half)
    }
}

impl RequestDigest {
    /// Its last 64 bits, as a number that is spread evenly.
    pub fn low(self) -> u64 {
        u128::from_be_bytes(self.0) as u64
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl TryFrom<String> for RequestDigest {
    type Error = ParseError;
    fn try_from(raw: String) -> Result<Self, ParseError> {
        raw.parse()
    }
}

impl From<RequestDigest> for String {
    fn from(digest: RequestDigest) -> String {
        digest.to_string()
    }
}

impl FromStr for RequestDigest {
    type Err = ParseError;
    fn from_str(raw: &str) -> Result<Self, ParseError> {
        let error = || ParseError::Number(raw.to_owned());
        if raw.len() != 32 || !raw.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(error());
        }
        let number = u128::from_str_radix(raw, 16).map_err(|_| error())?;
        Ok(RequestDigest(number.to_be_bytes()))
    }
}
