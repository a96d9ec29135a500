//! Settings of a node: raw texts from flags and environment, checked whole.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use crate::core::codes::Code;
use crate::core::ids::{DomainName, NodeId};
use crate::util::error::Error;

/// Largest body of a caller's request by default, in bytes.
pub const DEFAULT_BODY_LIMIT_BYTES: usize = 1 << 20;
/// Records after which a snapshot is due by default.
pub const DEFAULT_SNAPSHOT_RECORDS: u64 = 5_000;
/// Time after which a snapshot is due by default.
pub const DEFAULT_SNAPSHOT_AGE: Duration = Duration::from_secs(6 * 3600);

/// Settings as they were given; `None` where a flag and its variable are both missing.
#[derive(Clone, Debug, Default)]
pub struct RawSettings {
    /// `--name`: name of the node.
    pub name: Option<String>,
    /// `--domain`: failure domain the node stands in.
    pub domain: Option<String>,
    /// `--listen`: address for callers.
    pub listen: Option<String>,
    /// `--peer`: address for other nodes, TCP and UDP.
    pub peer: Option<String>,
    /// `--admin`: address for operators and for the backend server beside the node.
    pub admin: Option<String>,
    /// `--advertise`: address that other nodes are told instead of `--peer`.
    pub advertise: Option<String>,
    /// `--log`: address of the log service.
    pub log: Option<String>,
    /// `--seeds`: peer addresses of nodes to ask while the log is down, separated by commas.
    pub seeds: Option<String>,
    /// `--body-limit`: largest body of a caller's request, in bytes.
    pub body_limit: Option<String>,
    /// `--snapshot-every`: records after which a snapshot is due.
    pub snapshot_every: Option<String>,
    /// `--snapshot-age`: seconds after which a snapshot is due if any record has come.
    pub snapshot_age: Option<String>,
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node.
    pub name: NodeId,
    /// Failure domain the node stands in.
    pub domain: DomainName,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address for operators and the backend server.
    pub admin: SocketAddr,
    /// Address that other nodes are told; that of `peer` when `None`.
    pub advertise: Option<SocketAddr>,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Nodes to ask while the log is down.
    pub seeds: Vec<SocketAddr>,
    /// Largest body of a caller's request, in bytes.
    pub body_limit: usize,
    /// Records after which a snapshot is due.
    pub snapshot_every: u64,
    /// Time after which a snapshot is due if any record has come.
    pub snapshot_age: Duration,
}

/// All faults of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingErrors(pub Vec<String>);

impl fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n  "))
    }
}

impl std::error::Error for SettingErrors {}

impl From<SettingErrors> for Error {
    fn from(faults: SettingErrors) -> Error {
        Error::new(Code::BadSetting, "failed to read the settings").caused_by(faults)
    }
}

/// Result of checking settings.
pub type Result<T> = std::result::Result<T, SettingErrors>;

impl TryFrom<RawSettings> for Settings {
    type Error = SettingErrors;

    fn try_from(raw: RawSettings) -> Result<Settings> {
        let mut faults = Vec::new();
        let mut check = Check { faults: &mut faults };
        let name = check.required("name", raw.name);
        let domain = check.required("domain", raw.domain);
        let listen = check.required("listen", raw.listen);
        let peer = check.required("peer", raw.peer);
        let admin = check.required("admin", raw.admin);
        let advertise = check.optional("advertise", raw.advertise);
        let log = check.required("log", raw.log);
        let seeds = check.list("seeds", raw.seeds);
        let body_limit =
            check.optional("body-limit", raw.body_limit).unwrap_or(DEFAULT_BODY_LIMIT_BYTES);
        let snapshot_every = check
            .optional("snapshot-every", raw.snapshot_every)
            .unwrap_or(DEFAULT_SNAPSHOT_RECORDS);
        let snapshot_age = check
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
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(SettingErrors(faults)),
        }
    }
}

struct Check<'a> {
    faults: &'a mut Vec<String>,
}

impl Check<'_> {
    fn required<T: FromStr<Err: fmt::Display>>(
        &mut self,
        flag: &str,
        raw: Option<String>,
    ) -> Option<T> {
        if raw.is_none() {
            let variable = flag.to_uppercase().replace('-', "_");
            self.faults.push(format!("--{flag} or KELPWIND_{variable} is missing"));
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
                self.faults.push(format!("--{flag} '{raw}': {e}"));
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
