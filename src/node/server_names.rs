//! Names under which the router knows backend servers.
//!
//! A server that provides several services is routed to as one server per service.

use crate::types::ServerName;
use crate::types::ServiceName;

/// Separates the announced name from the service.
const SEPARATOR: char = '#';

/// The router's name of `server` as a provider of `service`, one of `service_count` services.
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

/// The name that the server announced.
pub fn announced_name(server: &ServerName) -> &str {
    let text = server.as_str();
    text.split_once(SEPARATOR).map_or(text, |(name, _)| name)
}
