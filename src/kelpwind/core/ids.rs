//! Names, numbers and sizes as types of their own, each with `Display` and `FromStr`.
//!
//! A name has passed its check once it has one of these types; nothing downstream checks again.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::codes::Code;

/// Longest name of a configured object, in bytes.
pub const NAME_BYTES_MAX: usize = 63;

/// A name or number that could not be read.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum ParseError {
    /// '{0}' is not a name: 1 to 63 of a-z, 0-9, '-', '_' and '.', beginning with a letter or digit
    Name(String),
    /// '{0}' is not a number of the expected form
    Number(String),
}

impl std::error::Error for ParseError {}

impl ParseError {
    /// The numbered code of this fault.
    pub fn code(&self) -> Code {
        match self {
            ParseError::Name(_) => Code::BadName,
            ParseError::Number(_) => Code::BadValue,
        }
    }
}

/// Result of reading a name or number.
pub type Result<T> = std::result::Result<T, ParseError>;

fn check_name(raw: &str) -> Result<Arc<str>> {
    let fits = (1..=NAME_BYTES_MAX).contains(&raw.len());
    let first = raw.bytes().next().is_some_and(|b| b.is_ascii_alphanumeric());
    let plain = raw
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.'));
    if fits && first && plain { Ok(Arc::from(raw)) } else { Err(ParseError::Name(raw.to_owned())) }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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
                check_name(raw).map(Self)
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
    /// Name of a node: one kelpwind process beside one backend server.
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

number_type! {
    /// Position of a record in the log.
    Offset, u64
}
number_type! {
    /// Fencing token: the offset of the record that granted ownership. 0 stands for "never granted".
    Token, u64
}
number_type! {
    /// Revision of the configuration: the offset after the record that made it; 0 is the empty one.
    Revision, u64
}
number_type! {
    /// Version of a witness set: the offset of the record that set it.
    Version, u64
}
number_type! {
    /// Number of a slice within its key range.
    SliceId, u32
}
number_type! {
    /// Number of concurrent requests or connections.
    Count, u32
}

impl Offset {
    /// The offset after this one.
    pub fn next(self) -> Offset {
        Offset(self.0 + 1)
    }
}

/// One run of a node's process; a restarted process has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
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

/// A node in one of its incarnations: what owns slices, holds leases and witnesses them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub inc: Incarnation,
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

/// Identifier of a log record, drawn at random by its author.
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
