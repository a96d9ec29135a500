//! Codec of datagrams: one byte of format number, then the message in `postcard`'s encoding.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Format number that this version writes and reads.
const FORMAT: u8 = 1;
/// Largest datagram that is read, in bytes: a few packets, so that few are lost for one lost packet.
pub const DATAGRAM_BYTES_MAX: usize = 4 << 10;

/// A datagram that cannot be read.
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

/// Result of reading a datagram.
pub type Result<T> = std::result::Result<T, DatagramError>;

/// Writes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let start = vec![FORMAT];
    postcard::to_extend(message, start).unwrap_or_default()
}

/// Reads a message.
pub fn decode<T: DeserializeOwned>(raw: &[u8]) -> Result<T> {
    let (format, body) = raw.split_first().ok_or(DatagramError::Empty)?;
    if *format != FORMAT {
        return Err(DatagramError::Format(*format));
    }
    postcard::from_bytes(body).map_err(|_| DatagramError::Malformed)
}
