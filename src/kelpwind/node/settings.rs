//! Settings of a node, parsed from flags and environment variables; all errors are reported at
//! once.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use crate::core::codes::Code;
use crate::core::ids::{DomainName, NodeId};
use crate::util::error::Error;

/// Default limit for the body of a caller's request.
pub const DEFAULT_BODY_LIMIT_BYTES: usize = 1 << 20;
/// Default number of records after which a snapshot is due.
pub const DEFAULT_SNAPSHOT_RECORDS: u64 = 5_000;
/// Default time after which a snapshot is due.
pub const DEFAULT_SNAPSHOT_AGE: Duration = Duration::from_secs(6 * 3600);

/// Unparsed settings; `None` where neither the flag nor its environment variable is given.
#[derive(Clone, Debug, Default)]
pub struct RawSettings {
    /// `--name`: name of the node.
    pub name: Option<String>,
    /// `--domain`: failure domain of the node.
    pub domain: Option<String>,
    /// `--listen`: address for requests of callers.
    pub listen: Option<String>,
    /// `--peer`: address for other nodes, both TCP and UDP.
    pub peer: Option<String>,
    /// `--admin`: address for operators and for the backend server beside the node.
    pub admin: Option<String>,
    /// `--advertise`: address that other nodes connect to, if it differs from `--peer`.
    pub advertise: Option<String>,
    /// `--log`: address of the log service.
    pub log: Option<String>,
    /// `--seeds`: peer addresses of nodes to read from while the log service is down, separated by
    /// commas.
    pub seeds: Option<String>,
    /// `--body-limit`: limit for the body of a caller's request, in bytes.
    pub body_limit: Option<String>,
    /// `--snapshot-every`: number of records after which a snapshot is due.
    pub snapshot_every: Option<String>,
    /// `--snapshot-age`: seconds after which a snapshot is due even if fewer records were appended.
    pub snapshot_age: Option<String>,
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node.
    pub name: NodeId,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address for requests of callers.
    pub listen: SocketAddr,
    /// Address for other nodes, both TCP and UDP.
    pub peer: SocketAddr,
    /// Address for operators and for the backend server beside the node.
    pub admin: SocketAddr,
    /// Address that other nodes connect to; the bound `peer` address if `None`.
    pub advertise: Option<SocketAddr>,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Peer addresses of nodes to read from while the log service is down.
    pub seeds: Vec<SocketAddr>,
    /// Limit for the body of a caller's request, in bytes.
    pub body_limit: usize,
    /// Number of records after which a snapshot is due.
    pub snapshot_every: u64,
    /// Time after which a snapshot is due even if fewer records were appended.
    pub snapshot_age: Duration,
}

/// All errors found in the settings, one message each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingErrors(pub Vec<String>);

impl fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n  "))
    }
}

impl std::error::Error for SettingErrors {}

impl From<SettingErrors> for Error {
    fn from(errors: SettingErrors) -> Error {
        Error::new(Code::BadSetting, "failed to read the settings").caused_by(errors)
    }
}

/// Result of validating settings.
pub type Result<T> = std::result::Result<T, SettingErrors>;

impl TryFrom<RawSettings> for Settings {
    type Error = SettingErrors;

    fn try_from(raw: RawSettings) -> Result<Settings> {
        let mut errors = Vec::new();
        let mut parser = SettingParser { errors: &mut errors };
        let name = parser.required("name", raw.name);
        let domain = parser.required("domain", raw.domain);
        let listen = parser.required("listen", raw.listen);
        let peer = parser.required("peer", raw.peer);
        let admin = parser.required("admin", raw.admin);
        let advertise = parser.optional("advertise", raw.advertise);
        let log = parser.required("log", raw.log);
        let seeds = parser.list("seeds", raw.seeds);
        let body_limit =
            parser.optional("body-limit", raw.body_limit).unwrap_or(DEFAULT_BODY_LIMIT_BYTES);
        let snapshot_every = parser
            .optional("snapshot-every", raw.snapshot_every)
            .unwrap_or(DEFAULT_SNAPSHOT_RECORDS);
        let snapshot_age = parser
            .optional("snapshot-age", raw.snapshot_age)
            .map_or(DEFAULT_SNAPSHOT_AGE, Duration::from_secs);
        let built = (|| {
            Some(Settings {
                name: name?,
                domain: domain?,
                listen: listen?,
                peer: peer?,
                admin: admin?,
                advertise,
                log: log?,
                seeds,
                body_limit,
                snapshot_every,
                snapshot_age,
            })
        })();
        match built {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(SettingErrors(errors)),
        }
    }
}

/// Parses settings one by one and collects the errors.
struct SettingParser<'a> {
    errors: &'a mut Vec<String>,
}

impl SettingParser<'_> {
    fn required<T: FromStr<Err: fmt::Display>>(
        &mut self,
        flag: &str,
        raw: Option<String>,
    ) -> Option<T> {
        if raw.is_none() {
            let variable = flag.to_uppercase().replace('-', "_");
            self.errors.push(format!("--{flag} or KELPWIND_{variable} is missing"));
        }
        self.optional(flag, raw)
    }

    fn optional<T: FromStr<Err: fmt::Display>>(
        &mut self,
        flag: &str,
        raw: Option<String>,
    ) -> Option<T> {
        let raw = raw?;
        match raw.trim().parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.errors.push(format!("--{flag} '{raw}': {e}"));
                None
            }
        }
    }

    fn list<T: FromStr<Err: fmt::Display>>(&mut self, flag: &str, raw: Option<String>) -> Vec<T> {
        let raw = raw.unwrap_or_default();
        let parts = raw.split(',').filter(|p| !p.trim().is_empty());
        parts.filter_map(|p| self.optional(flag, Some(p.to_owned()))).collect()
    }
}
