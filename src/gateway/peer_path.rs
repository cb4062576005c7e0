//! The path of a request through another entry VM, while this VM reaches no server that could take it.
//!
//! The other VM handles the request as one of its own callers': it takes the tokens and the retries. It
//! does not pass the request on to a further VM. If it refuses the request, this VM takes a retry before
//! it sends it to the next one. This VM passes the answer on, streams by complete events.
//!
//! For the caller both VMs are one. So this VM names the version of the configuration by which it found the
//! route, the other one applies none that is older, and names in its answer which one it applied. This VM applies none
//! that is older than that from then on.

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::answer::Refusal;
use super::answer::strip_connection_headers;
use super::context::Gateway;
use super::exchange::Answer;
use super::exchange::BUSY_RETRY_MS;
use super::exchange::Exchange;
use super::forward::connect_timeout;
use super::forward::implies_not_run;
use super::leaving_servers;
use super::pool;
use super::record::RequestRecord;
use super::server_table::Distance;
use crate::event_stream;
use crate::link::EntryVmInfo;
use crate::types::ServiceName;
use crate::types::VmName;
use crate::types::is_final;

/// VMs that one request is sent to at most, one after the other, while they state that it has not run.
const MAX_PEERS: usize = 3;
/// Time for which a VM that cannot be connected to is not used.
const AVOID_MS: u64 = 1_000;
/// Part of the remaining time that is kept back from the other VM, so that its final answer arrives in
/// time.
const MARGIN_PERCENT: u64 = 2;

/// How sending a request to another VM ended.
enum Sent {
    Answered(Response<Incoming>),
    /// The other VM did not receive the request.
    Unsent,
    /// The other VM may have sent it to a server.
    Lost,
}

impl Gateway {
    /// Another VM that reaches the servers of `service`.
    pub(super) fn draw_peer(&self, service: &ServiceName, tried: &[VmName]) -> Option<EntryVmInfo> {
        let table = self.server_table();
        let distance = |data_centre: &_| table.distance(data_centre);
        let own = &self.config.vm;
        let (now, rng) = (self.now(), &mut rand::rng());
        self.peers().draw(own, service, tried, distance, now, rng)
    }

    /// Whether the requests of `service` go through other VMs now.
    pub(super) fn is_cut_from(&self, service: &ServiceName) -> bool {
        self.server_table().is_cut_from(service) && self.draw_peer(service, &[]).is_some()
    }
}

impl Exchange {
    /// Sends the request to other VMs until one answers it. `last_event` is the last event of a stream
    /// that is resumed.
    ///
    /// # Errors
    /// No other VM answers.
    pub(super) async fn answer_through_peers(
        &mut self,
        last_event: Option<u64>,
        record: &mut RequestRecord,
    ) -> Result<Answer, Refusal> {
        if let Some(taken) = self.taken.take() {
            // The other VM takes the tokens.
            self.gateway.quota.refund(taken);
        }
        let mut tried: Vec<VmName> = Vec::new();
        let mut refusal = None;
        while tried.len() < MAX_PEERS
            && let Some(peer) = self.gateway.draw_peer(&self.service, &tried)
        {
            record.peers.push(peer.vm.clone());
            tried.push(peer.vm.clone());
            self.history.runs += 1;
            match self.send_to_peer(&peer, last_event).await {
                Sent::Unsent => {
                    record.sends.push("peer_unreachable");
                    self.history.runs -= 1;
                }
                Sent::Lost => {
                    record.sends.push("peer_lost");
                    // The other VM may have used all attempts.
                    self.history.runs = self.history.runs.max(self.history.max_runs);
                    return Err(Refusal::new(StatusCode::BAD_GATEWAY, "answer_lost"));
                }
                Sent::Answered(response) if implies_not_run(response.status()) => {
                    record.sends.push("peer_refused");
                    self.history.runs -= 1;
                    let is_final = response.status() != StatusCode::SERVICE_UNAVAILABLE;
                    refusal = Some(self.collect(response).await?);
                    // Servers may have refused the request before the other VM did.
                    if is_final || !self.take_retry().await {
                        break;
                    }
                }
                Sent::Answered(response) => {
                    record.sends.push("relayed");
                    if self.route.repeat.is_stream() && response.status().is_success() {
                        return Ok(Answer::RelayedStream(response));
                    }
                    return Ok(Answer::Complete(self.collect(response).await?));
                }
            }
        }
        match refusal {
            // A refusal promises that the request has not run, here neither.
            Some(response) if self.history.runs == 0 => Ok(Answer::Complete(response)),
            _ => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Err(Refusal::not_run(status, "servers_unreached", BUSY_RETRY_MS))
            }
        }
    }

    async fn send_to_peer(&self, peer: &EntryVmInfo, last_event: Option<u64>) -> Sent {
        let gateway = &self.gateway;
        let distance = gateway.server_table().distance(&peer.data_centre);
        let source = gateway.config.relay_source;
        let wait = connect_timeout(distance);
        let connecting = pool::connect_from(source, peer.relay_address, wait);
        let Ok(mut connection) = connecting.await else {
            let until = gateway.now().plus(AVOID_MS);
            gateway.peers().avoid(&peer.vm, until);
            return Sent::Unsent;
        };
        let request = self.request_for_peer(distance, last_event);
        let sent = gateway.now();
        match connection.sender.send_request(request).await {
            Ok(response) if !is_final(response.status()) => Sent::Lost,
            Ok(response) => {
                let (mut parts, body) = response.into_parts();
                let dialect = &gateway.config.dialect;
                if let Some(version) = dialect.take_configuration(&mut parts.headers) {
                    let now = gateway.now();
                    gateway.update_belief(|belief| belief.note_handled_elsewhere(version, now));
                }
                leaving_servers::on_relayed_answer(gateway, &parts, sent);
                Sent::Answered(Response::from_parts(parts, body))
            }
            Err(error) if error.is_canceled() => Sent::Unsent,
            Err(_) => Sent::Lost,
        }
    }

    fn request_for_peer(
        &self,
        distance: Distance,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let template = &self.template;
        let mut request = Request::new(Full::new(template.body.clone()));
        *request.method_mut() = template.method.clone();
        *request.uri_mut() = template.uri.clone();
        let mut headers = template.headers.clone();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left_ms = left.as_millis() as u64;
        let margin_ms = left_ms * MARGIN_PERCENT / 100 + distance.delay_ms() as u64;
        let wait_ms = left_ms.saturating_sub(margin_ms).max(1);
        let dialect = &self.gateway.config.dialect;
        dialect.prepare_relay(&mut headers, wait_ms, last_event);
        let version = self.gateway.version_handled_elsewhere().max(self.version);
        let named = dialect.name_configuration(&mut headers, version);
        // A header of the connection: a VM that does not know it does not pass it on to a server.
        let connection = HeaderValue::from_str(&format!("close, {named}"));
        headers.insert(
            header::CONNECTION,
            connection.expect("a name is a valid value"),
        );
        *request.headers_mut() = headers;
        request
    }

    /// Reads an answer of another VM to its end.
    async fn collect(&mut self, response: Response<Incoming>) -> Result<Response<Bytes>, Refusal> {
        let lost = || Refusal::new(StatusCode::BAD_GATEWAY, "answer_lost");
        let (mut parts, body) = response.into_parts();
        let bytes = self.read_answer(body).await.map_err(|_| lost())?;
        if event_stream::is_broken_off(&parts.headers, &bytes) {
            return Err(lost());
        }
        strip_connection_headers(&mut parts.headers);
        Ok(Response::from_parts(parts, bytes))
    }
}
