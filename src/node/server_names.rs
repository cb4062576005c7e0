//! Names of backend servers in the router.
//!
//! The router treats a server with several services as one server per service.

use crate::types::ServerName;
use crate::types::ServiceName;

/// Separator between the announced name and the service.
const SEPARATOR: char = '#';

/// Name of `server` in the router as a provider of `service`, one of `service_count` services.
pub fn provider_name(
    server: &ServerName,
    service: &ServiceName,
    service_count: usize,
) -> ServerName {
    if service_count <= 1 {
        return server.clone();
    }
    ServerName::from(format!("{server}{SEPARATOR}{service}"))
}

/// Name that the server announced.
pub fn announced_name(server: &ServerName) -> &str {
    let text = server.as_str();
    text.split_once(SEPARATOR).map_or(text, |(name, _)| name)
}
