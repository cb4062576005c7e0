//! The question of an entry VM that searches for controllers: which ones is another entry VM linked to?
//!
//! It is asked at the address for other entry VMs only. Builds that do not know it have no route for it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::time::timeout;

use super::answer::Body;
use super::answer::full;
use super::context::Gateway;
use super::pool;
use crate::types::VmName;

/// Path of the question.
const PATH: &str = "/.medlarlift/controllers";
/// Time in which another VM has to answer, connecting included.
const ANSWER_TIMEOUT_MS: u64 = 700;
/// Largest answer.
const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// Whether a request of another entry VM is the question.
pub(super) fn is_question<B>(request: &Request<B>) -> bool {
    request.method() == Method::GET && request.uri().path() == PATH
}

impl Gateway {
    /// Answers the question with the names of the controllers to which this VM is linked.
    pub(super) fn name_controllers(&self) -> Response<Body> {
        let names = self.controllers.linked_controllers();
        let names: Vec<&str> = names.iter().map(VmName::as_str).collect();
        let mut response = Response::new(full(Bytes::from(names.join("\n"))));
        let text = HeaderValue::from_static("text/plain");
        response.headers_mut().insert(header::CONTENT_TYPE, text);
        response
    }

    /// Relay addresses of at most `count` other entry VMs that a controller lists or has listed.
    pub fn draw_other_entry_vms(&self, count: usize) -> Vec<SocketAddr> {
        let own = &self.config.vm;
        self.peers().draw_remembered(own, count, &mut rand::rng())
    }

    /// Asks the entry VM whose relay address is `address` for the controllers to which it is linked. `None` if it
    /// does not answer.
    pub async fn ask_for_controllers(&self, address: SocketAddr) -> Option<Vec<VmName>> {
        let wait = Duration::from_millis(ANSWER_TIMEOUT_MS);
        timeout(wait, self.ask(address, wait)).await.ok().flatten()
    }

    async fn ask(&self, address: SocketAddr, wait: Duration) -> Option<Vec<VmName>> {
        let connecting = pool::connect_from(self.config.relay_source, address, wait);
        let mut connection = connecting.await.ok()?;
        let request = Request::get(PATH)
            .header(header::HOST, address.to_string())
            .header(header::CONNECTION, "close")
            .body(Full::new(Bytes::new()))
            .expect("a valid request");
        let response = connection.sender.send_request(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let bytes = body.collect().await.ok()?.to_bytes();
        let text = std::str::from_utf8(&bytes).ok()?;
        Some(text.lines().map(VmName::from).collect())
    }
}
