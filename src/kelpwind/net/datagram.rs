//! Encoding of datagrams: one byte for the format number, then the message as `postcard`.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Format number that this version writes and reads.
const FORMAT: u8 = 1;
/// Largest datagram that is read, in bytes. It spans only a few IP packets, because one lost packet
/// loses the whole datagram.
pub const DATAGRAM_BYTES_MAX: usize = 4 << 10;

/// Why a datagram cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum DatagramError {
    /// the datagram is empty
    Empty,
    /// the datagram has the unknown format {0}
    Format(u8),
    /// the datagram is malformed
    Malformed,
}

impl std::error::Error for DatagramError {}

/// Result of decoding a datagram.
pub type Result<T> = std::result::Result<T, DatagramError>;

/// Encodes a message after its format number; empty if `postcard` cannot serialise it.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let prefix = vec![FORMAT];
    postcard::to_extend(message, prefix).unwrap_or_default()
}

/// Decodes a datagram that [`encode`] produced.
///
/// # Errors
/// The datagram is empty, of another format, or does not hold a `T`.
pub fn decode<T: DeserializeOwned>(raw: &[u8]) -> Result<T> {
    let (format, body) = raw.split_first().ok_or(DatagramError::Empty)?;
    if *format != FORMAT {
        return Err(DatagramError::Format(*format));
    }
    postcard::from_bytes(body).map_err(|_| DatagramError::Malformed)
}
