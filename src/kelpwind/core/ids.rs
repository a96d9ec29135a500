//! Newtypes for names, numbers and sizes, each with `Display` and `FromStr`.
//!
//! Names are validated when they are parsed, so code that receives one of these types need not
//! check it again.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::codes::Code;

/// Maximum length of a name, in bytes.
pub const NAME_BYTES_MAX: usize = 63;

/// A name or number that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum ParseError {
    /// '{0}' is not a name: 1 to 63 of a-z, 0-9, '-', '_' and '.', beginning with a letter or digit
    Name(String),
    /// '{0}' is not a number of the expected form
    Number(String),
}

impl std::error::Error for ParseError {}

impl ParseError {
    /// Result code of this error.
    pub fn code(&self) -> Code {
        match self {
            ParseError::Name(_) => Code::BadName,
            ParseError::Number(_) => Code::BadValue,
        }
    }
}

/// Result of parsing a name or number.
pub type Result<T> = std::result::Result<T, ParseError>;

fn parse_name(raw: &str) -> Result<Arc<str>> {
    let valid_length = (1..=NAME_BYTES_MAX).contains(&raw.len());
    let valid_start = raw.bytes().next().is_some_and(|b| b.is_ascii_alphanumeric());
    let valid_chars = raw
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.'));
    if valid_length && valid_start && valid_chars {
        Ok(Arc::from(raw))
    } else {
        Err(ParseError::Name(raw.to_owned()))
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;
            fn from_str(raw: &str) -> Result<Self> {
                parse_name(raw).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;
            fn try_from(raw: String) -> Result<Self> {
                raw.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type! {
    /// Name of a node, that is of one kelpwind process and the backend server beside it. It stays
    /// the same when the process restarts.
    NodeId
}
name_type! {
    /// Name of a service.
    ServiceName
}
name_type! {
    /// Name of a failure domain.
    DomainName
}
name_type! {
    /// Name of a key range.
    RangeName
}
name_type! {
    /// Name of a policy.
    PolicyName
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;
            fn from_str(raw: &str) -> Result<Self> {
                raw.parse().map($name).map_err(|_| ParseError::Number(raw.to_owned()))
            }
        }
    };
}

/// Number of tokens of one era. Leaves room for two million eras among the integers that JSON numbers
/// hold exactly.
const TOKENS_PER_ERA: u64 = 1 << 32;

number_type! {
    /// Position of a record in the log.
    Offset, u64
}
number_type! {
    /// Era of the platform's store. It rises by one each time the store comes back from an older copy
    /// and has lost its latest records, so offsets of two eras cannot be compared.
    Era, u64
}
number_type! {
    /// Fencing token of a slice: the offset of the log record that granted the slice to its owner,
    /// or 0 if it was never granted.
    Token, u64
}
number_type! {
    /// Revision of the configuration: the offset after the record that published it, or 0 for the
    /// initial empty configuration.
    Revision, u64
}
number_type! {
    /// Version of a witness set: the offset of the log record that set it.
    Version, u64
}
number_type! {
    /// Number of a slice within its key range, from 0.
    SliceId, u32
}
number_type! {
    /// Number of concurrent requests or connections.
    Count, u32
}
number_type! {
    /// Rate in bytes per second.
    ByteRate, u64
}
number_type! {
    /// Size in bytes.
    ByteCount, usize
}

impl Era {
    /// Tokens that are assigned in this era are above this one, and so above those of all former eras:
    /// records of tokens that servers have seen may be lost between two eras.
    pub fn token_floor(self) -> Token {
        Token(self.0.saturating_mul(TOKENS_PER_ERA))
    }
}

/// A finite number of requests per second, zero or more.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = ParseError;
    fn try_from(raw: f64) -> Result<Self> {
        match raw.is_finite() && raw >= 0.0 {
            true => Ok(RequestRate(raw)),
            false => Err(ParseError::Number(raw.to_string())),
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> f64 {
        rate.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;
    fn from_str(raw: &str) -> Result<Self> {
        let rate: f64 = raw.parse().map_err(|_| ParseError::Number(raw.to_owned()))?;
        RequestRate::try_from(rate)
    }
}

/// Position in the log. Offsets are given out again in each era of the store, so a position of a later
/// era is later whatever its offset.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The era; `None` if the store states none.
    pub era: Option<Era>,
    /// The offset within the era.
    pub offset: Offset,
}

impl Position {
    /// Position of the record that follows.
    pub fn next(self) -> Position {
        Position { offset: self.offset.next(), ..self }
    }
}

impl Offset {
    /// Offset of the record that follows.
    pub fn next(self) -> Offset {
        Offset(self.0.saturating_add(1))
    }
}

/// Identifier of one run of a node's process; a restarted process has a new incarnation. Those of a
/// node in a mesh increase. The text form is 16 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseError;
    fn from_str(raw: &str) -> Result<Self> {
        u64::from_str_radix(raw, 16).map(Incarnation).map_err(|_| ParseError::Number(raw.into()))
    }
}

impl TryFrom<String> for Incarnation {
    type Error = ParseError;
    fn try_from(raw: String) -> Result<Self> {
        raw.parse()
    }
}

impl From<Incarnation> for String {
    fn from(inc: Incarnation) -> String {
        inc.to_string()
    }
}

/// A node in one incarnation. Slices are owned, and leases held and witnessed, by holders rather
/// than by nodes, so that a restarted process does not inherit them. The text form is
/// `NODE/INCARNATION`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Holder {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub inc: Incarnation,
}

impl Holder {
    /// Whether this is `other` or a later incarnation of its node.
    pub fn continues(&self, other: &Holder) -> bool {
        self.node == other.node && self.inc >= other.inc
    }
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.node, self.inc)
    }
}

impl FromStr for Holder {
    type Err = ParseError;
    fn from_str(raw: &str) -> Result<Self> {
        let Some((node, inc)) = raw.split_once('/') else {
            return Err(ParseError::Name(raw.to_owned()));
        };
        Ok(Holder { node: node.parse()?, inc: inc.parse()? })
    }
}

impl TryFrom<String> for Holder {
    type Error = ParseError;
    fn try_from(raw: String) -> Result<Self> {
        raw.parse()
    }
}

impl From<Holder> for String {
    fn from(holder: Holder) -> String {
        holder.to_string()
    }
}

/// Identifier of a log record, chosen at random by its author. The text form is 32 hexadecimal
/// digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RecordId(pub u128);

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RecordId {
    type Err = ParseError;
    fn from_str(raw: &str) -> Result<Self> {
        u128::from_str_radix(raw, 16).map(RecordId).map_err(|_| ParseError::Number(raw.into()))
    }
}

impl TryFrom<String> for RecordId {
    type Error = ParseError;
    fn try_from(raw: String) -> Result<Self> {
        raw.parse()
    }
}

impl From<RecordId> for String {
    fn from(id: RecordId) -> String {
        id.to_string()
    }
}
