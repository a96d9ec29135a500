//! Tenants: who may send requests, by API key, and which limits and rules apply to each.
//!
//! API keys are kept and compared as digests only. Neither a key nor its digest has a text form, so
//! that none can reach a log: the digest of a short key could be found by trying keys.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::codes::Code;
use super::ids::{ParseError, RequestRate};
use super::routes::Route;

/// Longest name of a tenant, in bytes.
const NAME_BYTES_MAX: usize = 128;
/// Longest API key, in bytes.
const KEY_BYTES_MAX: usize = 1024;

/// Name of a tenant. It is sent in a header, so it is 1 to 128 printable ASCII characters and neither
/// begins nor ends with a space.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TenantName(Rc<str>);

impl TenantName {
    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TenantName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for TenantName {
    type Err = ParseError;
    fn from_str(raw: &str) -> Result<Self, ParseError> {
        let printable = raw.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
        let sized = (1..=NAME_BYTES_MAX).contains(&raw.len());
        match printable && sized && raw.trim() == raw {
            true => Ok(TenantName(Rc::from(raw))),
            false => Err(ParseError::Name(raw.to_owned())),
        }
    }
}

impl TryFrom<String> for TenantName {
    type Error = ParseError;
    fn try_from(raw: String) -> Result<Self, ParseError> {
        raw.parse()
    }
}

impl From<TenantName> for String {
    fn from(name: TenantName) -> String {
        name.0.as_ref().to_owned()
    }
}

/// The SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ApiKeyDigest([u8; 32]);

impl ApiKeyDigest {
    /// Digest of a key of 1 to 1024 bytes; `None` for any other.
    pub fn of(key: &[u8]) -> Option<ApiKeyDigest> {
        let sized = (1..=KEY_BYTES_MAX).contains(&key.len());
        sized.then(|| ApiKeyDigest(Sha256::digest(key).into()))
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKeyDigest")
    }
}

/// How many requests a tenant may send, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second; above 0.
    pub rate: RequestRate,
    /// Requests that may be sent at once beyond the rate.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, which backend servers are told.
    pub name: TenantName,
    /// Priority that replaces that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// Its quota; `None` if its requests are not limited.
    pub quota: Option<Quota>,
    /// Regions in which its requests may be handled; empty if there is no restriction.
    pub regions: Vec<String>,
}

impl Tenant {
    /// The route as it applies to the tenant's requests: with the tenant's priority, and with the regions
    /// that both allow.
    ///
    /// # Errors
    /// [`Code::NoTarget`] if no region is allowed by both.
    pub fn restrict(&self, route: &Rc<Route>) -> Result<Rc<Route>, Code> {
        let priority = self.priority.unwrap_or(route.priority);
        if priority == route.priority && self.regions.is_empty() {
            return Ok(route.clone());
        }
        let both = |r: &&String| route.regions.is_empty() || route.regions.contains(r);
        let regions = match self.regions.is_empty() {
            true => route.regions.clone(),
            false => self.regions.iter().filter(both).cloned().collect(),
        };
        if regions.is_empty() && !self.regions.is_empty() {
            return Err(Code::NoTarget);
        }
        Ok(Rc::new(Route { priority, regions, ..Route::clone(route) }))
    }
}

/// Why a set of tenants is not valid.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum TenantsError {
    /// two tenants have the name '{0}'
    SameName(TenantName),
    /// the tenants '{0}' and '{1}' have a key in common
    SameKey(TenantName, TenantName),
}

/// The tenants of a configuration, by API key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    by_key: HashMap<ApiKeyDigest, Rc<Tenant>>,
    by_name: HashMap<TenantName, Rc<Tenant>>,
    all: Vec<Rc<Tenant>>,
}

impl Tenants {
    /// Indexes tenants by their keys.
    ///
    /// # Errors
    /// Two tenants have the same name or the same key.
    pub fn new(tenants: Vec<(Tenant, Vec<ApiKeyDigest>)>) -> Result<Tenants, TenantsError> {
        let mut result = Tenants::default();
        for (tenant, keys) in tenants {
            let tenant = Rc::new(tenant);
            if result.by_name.insert(tenant.name.clone(), tenant.clone()).is_some() {
                return Err(TenantsError::SameName(tenant.name.clone()));
            }
            for key in keys {
                let former = result.by_key.insert(key, tenant.clone());
                if let Some(former) = former.filter(|former| former.name != tenant.name) {
                    return Err(TenantsError::SameKey(former.name.clone(), tenant.name.clone()));
                }
            }
            result.all.push(tenant);
        }
        Ok(result)
    }

    /// The tenant with this API key.
    pub fn find(&self, key: &ApiKeyDigest) -> Option<&Rc<Tenant>> {
        self.by_key.get(key)
    }

    /// The tenant whose request goes to a route; `None` for a request without a known key to a public
    /// route.
    ///
    /// # Errors
    /// [`Code::UnknownCredential`] if the route is not public and the key is missing or unknown.
    pub fn admit(
        &self,
        key: Option<ApiKeyDigest>,
        public: bool,
    ) -> Result<Option<&Rc<Tenant>>, Code> {
        match key.and_then(|key| self.find(&key)) {
            None if !public => Err(Code::UnknownCredential),
            found => Ok(found),
        }
    }

    /// The tenant with this name.
    pub fn named(&self, name: &TenantName) -> Option<&Rc<Tenant>> {
        self.by_name.get(name)
    }

    /// All tenants, in the order of the configuration.
    pub fn all(&self) -> &[Rc<Tenant>] {
        &self.all
    }
}
