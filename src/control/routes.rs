//! Routes of plain services.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::control::FieldError;
use crate::types::ServiceName;

/// HTTP methods that a route may allow.
pub const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
/// Maximum number of routes of all services together.
pub const MAX_ROUTES: usize = 10_000;

/// Who may use a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Anyone; no key is required.
    Open,
    /// Callers with a live key of any account.
    Keyed,
}

/// One route of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Service that handles the calls.
    pub service: ServiceName,
    /// Path prefix below the service. It matches whole segments; `/` matches every path.
    pub path_prefix: String,
    /// Allowed methods, in upper case.
    pub methods: BTreeSet<String>,
    /// Who may use the route.
    pub access: Access,
    /// Whether a call may be resent after a failure.
    pub repeatable: bool,
}

impl Route {
    /// Checks all values.
    ///
    /// # Errors
    ///
    /// Returns an error for the first value that is not allowed.
    pub fn check(&self) -> Result<(), FieldError> {
        super::names::check("service", self.service.as_str())?;
        if !is_canonical(&self.path_prefix) || self.path_prefix.len() > 256 {
            return Err(FieldError::new(
                "path_prefix",
                &self.path_prefix,
                "a path that starts with / and has no empty, dot or encoded segments",
            ));
        }
        let allowed = || format!("one or more of {}", METHODS.join(", "));
        if self.methods.is_empty() {
            return Err(FieldError::new("methods", "", allowed()));
        }
        match self.methods.iter().find(|m| !METHODS.contains(&m.as_str())) {
            Some(method) => Err(FieldError::new("methods", method, allowed())),
            None => Ok(()),
        }
    }

    fn covers(&self, path: &str) -> bool {
        let prefix = self.path_prefix.trim_end_matches('/');
        match path.strip_prefix(prefix) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        }
    }

    fn overlaps(&self, other: &Self) -> bool {
        self.service == other.service
            && self.path_prefix.trim_end_matches('/') == other.path_prefix.trim_end_matches('/')
            && !self.methods.is_disjoint(&other.methods)
    }
}

/// All routes by name, indexed by service.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    by_name: BTreeMap<String, Route>,
    /// Names of the routes of each service, longest prefix first.
    by_service: HashMap<ServiceName, Vec<String>>,
}

impl Routes {
    /// The route of `service` that allows `method` and has the longest prefix of `path`. A path
    /// with empty, dot or encoded separator segments matches no route, because a service may
    /// resolve it to a path outside the matched prefix.
    pub fn find(&self, service: &str, method: &str, path: &str) -> Option<&Route> {
        if !is_canonical(path) {
            return None;
        }
        self.by_service
            .get(service)?
            .iter()
            .filter_map(|name| self.by_name.get(name))
            .find(|route| route.covers(path) && route.methods.contains(method))
    }

    /// The route named `name`.
    pub fn get(&self, name: &str) -> Option<&Route> {
        self.by_name.get(name)
    }

    /// All routes, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Route)> {
        self.by_name
            .iter()
            .map(|(name, route)| (name.as_str(), route))
    }

    pub(super) fn check(&self, name: &str, route: &Route) -> Result<(), FieldError> {
        route.check()?;
        if self.by_name.len() >= MAX_ROUTES && !self.by_name.contains_key(name) {
            let allowed = format!("at most {MAX_ROUTES} routes");
            return Err(FieldError::new("name", name, allowed));
        }
        let mut others = self.by_name.iter().filter(|(other, _)| *other != name);
        match others.find(|(_, other)| other.overlaps(route)) {
            Some((other, _)) => Err(FieldError::new(
                "methods",
                route.methods.iter().cloned().collect::<Vec<_>>().join(","),
                format!("methods that route {other} does not have for the same prefix"),
            )),
            None => Ok(()),
        }
    }

    pub(super) fn set(&mut self, name: &str, route: Route) -> Option<Route> {
        let before = self.by_name.insert(name.to_owned(), route);
        self.reindex();
        before
    }

    pub(super) fn remove(&mut self, name: &str) -> Option<Route> {
        let before = self.by_name.remove(name);
        self.reindex();
        before
    }

    pub(super) fn parts(&self) -> &BTreeMap<String, Route> {
        &self.by_name
    }

    pub(super) fn from_parts(by_name: BTreeMap<String, Route>) -> Self {
        let mut routes = Self {
            by_name,
            by_service: HashMap::new(),
        };
        routes.reindex();
        routes
    }

    fn reindex(&mut self) {
        self.by_service.clear();
        for (name, route) in &self.by_name {
            let names = self.by_service.entry(route.service.clone()).or_default();
            names.push(name.clone());
        }
        for names in self.by_service.values_mut() {
            names.sort_by_key(|name| std::cmp::Reverse(self.by_name[name].path_prefix.len()));
        }
    }
}

/// Whether every service resolves `path` to the same resource.
fn is_canonical(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    if rest.is_empty() {
        return true;
    }
    let segments = rest.strip_suffix('/').unwrap_or(rest);
    segments.split('/').all(is_canonical_segment)
}

fn is_canonical_segment(segment: &str) -> bool {
    if matches!(segment, "" | "." | "..") {
        return false;
    }
    if segment.contains(|c: char| c.is_ascii_control() || matches!(c, '\\' | '?' | '#')) {
        return false;
    }
    segment.split('%').skip(1).all(is_required_encoding)
}

/// Whether the two digits after a percent sign encode a byte that must be encoded. An encoded
/// unreserved character would allow a path to bypass the prefix of a keyed route.
fn is_required_encoding(after_percent: &str) -> bool {
    let Some(digits) = after_percent.get(..2) else {
        return false;
    };
    let Ok(byte) = u8::from_str_radix(digits, 16) else {
        return false;
    };
    let is_unreserved = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    !is_unreserved && !byte.is_ascii_control() && !b"/\\".contains(&byte)
}
