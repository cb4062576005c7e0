//! Sends one request to one backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::board::Distance;
use super::context::Gateway;
use super::dialect::AnswerHead;
use super::dialect::SendFacts;
use super::meter::Meter;
use super::pool;
use crate::registry::Announcement;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Longest time to open a connection within the region.
const CONNECT_NEAR_MS: u64 = 300;
/// Longest time to open a connection to another region.
const CONNECT_FAR_MS: u64 = 700;
/// Time for which a server that cannot be connected gets no new work.
const UNREACHABLE_MS: u64 = 1_000;
/// Time for which a server that has its address no more gets no new work.
const REPLACED_MS: u64 = 10_000;
/// Time for which a server that is full gets no new work.
const FULL_MS: u64 = 100;

/// A request as it goes to every server that it is sent to.
#[derive(Clone, Debug)]
pub(super) struct Template {
    pub(super) request_id: Option<Arc<str>>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) model: Option<ModelName>,
    /// Tokens of the prompt, as the caller tells them.
    pub(super) prompt_tokens: u64,
    pub(super) may_repeat: bool,
}

/// A server's answer whose body is still to be read.
pub(super) struct Reply {
    pub(super) response: Response<Incoming>,
    pub(super) exchanged: Exchanged,
}

/// The connection of an answer whose body is still to be read, and the request's place at the server.
pub(super) struct Exchanged {
    head: AnswerHead,
    connection: pool::Connection,
    guard: InFlight,
}

impl Exchanged {
    /// Counts bytes of the body.
    pub(super) fn meter(&self) -> Meter {
        self.connection.meter.clone()
    }

    /// Notes the first event of the answer.
    pub(super) fn began(&mut self) {
        self.guard.began();
    }

    /// Keeps the connection for later requests once the body has been read, unless the server closes
    /// it.
    pub(super) fn finish(self, gateway: &Gateway) {
        if !self.head.closes {
            let address = self.guard.target.address;
            gateway
                .pool()
                .put(address, self.connection, self.head.keep_idle);
        }
    }
}

/// How a send ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Miss {
    /// The server never got the request.
    NotSent(&'static str),
    /// The server says that it did not run the request.
    NotRun(&'static str),
    /// The request was sent and may have run.
    Lost(&'static str),
}

impl Miss {
    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::NotSent(reason) | Self::NotRun(reason) | Self::Lost(reason) => reason,
        }
    }
}

/// Counts a request at a server until it is dropped.
pub(super) struct InFlight {
    gateway: Arc<Gateway>,
    pub(super) target: Announcement,
    model: Option<ModelName>,
    /// Tokens of its prompt, until they have been read.
    prompt_tokens: u64,
    sent: Instant,
    /// Prompt tokens that waited at the server when it was sent, its own included.
    ahead_tokens: f64,
}

impl InFlight {
    fn start(gateway: &Arc<Gateway>, target: Announcement, template: &Template) -> Self {
        let prompt_tokens = template.prompt_tokens;
        let now = gateway.now();
        let mut board = gateway.board();
        board.sent(&target.server, prompt_tokens);
        let ahead_tokens = board.waiting_tokens(&target.server, now);
        drop(board);
        let model = template.model.as_ref();
        let model = model.filter(|model| super::board::is_adapter(model));
        if let Some(model) = model {
            gateway.uses().sent(&target.server, model, prompt_tokens);
        }
        Self {
            gateway: Arc::clone(gateway),
            model: model.cloned(),
            target,
            prompt_tokens,
            sent: Instant::now(),
            ahead_tokens,
        }
    }

    /// Notes the first event of the answer: the prompt has been read.
    fn began(&mut self) {
        let took_ms = self.sent.elapsed().as_millis() as u64;
        let service = &self.target.service;
        let mut board = self.gateway.board();
        board.began(service, took_ms, self.ahead_tokens);
        drop(board);
        self.prompt_done();
    }

    /// The server reads the prompt no more.
    fn prompt_done(&mut self) {
        let tokens = std::mem::take(&mut self.prompt_tokens);
        let server = &self.target.server;
        let mut board = self.gateway.board();
        board.prompt_done(server, self.target.started_unix_ms, tokens);
        drop(board);
        if let Some(model) = self.model.as_ref().filter(|_| tokens > 0) {
            self.gateway.uses().prompt_done(server, model, tokens);
        }
    }

    fn answered(&self) {
        if let Some(model) = &self.model {
            self.gateway.uses().answered(&self.target.server, model);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prompt_done();
        let server = &self.target.server;
        let mut board = self.gateway.board();
        board.ended(server, self.target.started_unix_ms);
        drop(board);
        if let Some(model) = &self.model {
            self.gateway.uses().ended(server, model);
        }
    }
}

/// Sends `template` to `server` and waits for the head of the answer until `patience`.
pub(super) async fn send(
    gateway: &Arc<Gateway>,
    template: &Template,
    server: &ServerName,
    facts: &SendFacts,
    patience: Instant,
) -> Result<Reply, Miss> {
    let target = gateway
        .board()
        .get(server)
        .map(|view| (view.announcement.clone(), view.distance));
    let Some((target, distance)) = target else {
        return Err(Miss::NotSent("server_gone"));
    };
    let mut connection = connection(gateway, template, &target, distance).await?;
    let request = build(gateway, template, facts);
    let guard = InFlight::start(gateway, target, template);
    let answered = timeout_at(patience, connection.sender.send_request(request)).await;
    let response = match answered {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(broken(gateway, &guard, &error)),
        Err(_) => {
            judge(gateway, &guard, true);
            return Err(Miss::Lost("no_answer_in_time"));
        }
    };
    let (parts, body) = response.into_parts();
    let head = gateway.config.dialect.read_answer(&parts);
    let response = Response::from_parts(parts, body);
    if let Some(load) = head.load {
        let now = gateway.now();
        gateway.board().told_load(server, load, now);
    }
    check(gateway, template, &guard, response.status(), &head)?;
    guard.answered();
    Ok(Reply {
        response,
        exchanged: Exchanged {
            head,
            connection,
            guard,
        },
    })
}

async fn connection(
    gateway: &Arc<Gateway>,
    template: &Template,
    target: &Announcement,
    distance: Distance,
) -> Result<pool::Connection, Miss> {
    let kept = gateway.pool().take(target.address, template.may_repeat);
    if let Some(connection) = kept {
        return Ok(connection);
    }
    let wait_ms = match distance {
        Distance::Far => CONNECT_FAR_MS,
        _ => CONNECT_NEAR_MS,
    };
    let connecting = pool::connect(target.address, Duration::from_millis(wait_ms));
    connecting.await.map_err(|_| {
        let now = gateway.now();
        let mut board = gateway.board();
        board.avoid(&target.server, now.plus(UNREACHABLE_MS));
        board.judged(&target.server, true, now);
        Miss::NotSent("connect_failed")
    })
}

fn build(gateway: &Gateway, template: &Template, facts: &SendFacts) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(template.body.clone()));
    *request.method_mut() = template.method.clone();
    *request.uri_mut() = template.uri.clone();
    let mut headers = template.headers.clone();
    gateway.config.dialect.prepare(&mut headers, facts);
    *request.headers_mut() = headers;
    request
}

fn judge(gateway: &Gateway, guard: &InFlight, failed: bool) {
    let now = gateway.now();
    gateway.board().judged(&guard.target.server, failed, now);
}

fn broken(gateway: &Gateway, guard: &InFlight, error: &hyper::Error) -> Miss {
    gateway.pool().forget(guard.target.address);
    if error.is_canceled() {
        // The connection was closed before the request was written to it.
        return Miss::NotSent("connection_closed");
    }
    judge(gateway, guard, true);
    Miss::Lost("connection_broken")
}

/// Sorts out answers that are not the server's answer to this request.
fn check(
    gateway: &Gateway,
    template: &Template,
    guard: &InFlight,
    status: StatusCode,
    head: &AnswerHead,
) -> Result<(), Miss> {
    let is_foreign = head
        .request_id
        .as_ref()
        .is_some_and(|id| Some(id) != template.request_id.as_ref());
    if is_foreign {
        gateway.pool().forget(guard.target.address);
        return Err(Miss::Lost("answer_of_another_request"));
    }
    if head.is_misdirected {
        note_misdirected(gateway, template, guard, head);
        return Err(Miss::NotRun("misdirected"));
    }
    if head.is_not_run {
        note_not_run(gateway, template, guard, head);
        return Err(Miss::NotRun("refused_by_server"));
    }
    let lacks_proof = head.request_id.is_none() || !head.is_signed || head.is_encoded;
    if status.is_success() && lacks_proof {
        judge(gateway, guard, true);
        return Err(Miss::Lost("unproved_answer"));
    }
    if promises_not_run(status) {
        // Only the server's own word makes this true, and it is missing.
        judge(gateway, guard, true);
        return Err(Miss::Lost("unproved_refusal"));
    }
    judge(gateway, guard, status.is_server_error());
    Ok(())
}

/// Whether callers read the status as a promise that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn note_misdirected(gateway: &Gateway, template: &Template, guard: &InFlight, head: &AnswerHead) {
    let now = gateway.now();
    let server = &guard.target.server;
    if head
        .reached
        .as_ref()
        .is_some_and(|reached| reached != server)
    {
        gateway.board().avoid(server, now.plus(REPLACED_MS));
        gateway.pool().forget(guard.target.address);
        return;
    }
    if let Some(model) = &template.model {
        note_lack(gateway, server, model, now);
    }
}

fn note_not_run(gateway: &Gateway, template: &Template, guard: &InFlight, head: &AnswerHead) {
    let now = gateway.now();
    let server = &guard.target.server;
    let is_full = head
        .load
        .is_some_and(|load| load.waiting > 0 || load.running >= load.slots);
    let adapter = template
        .model
        .as_ref()
        .filter(|model| super::board::is_adapter(model));
    match adapter {
        Some(model) if !is_full => note_lack(gateway, server, model, now),
        _ => gateway.board().avoid(server, now.plus(FULL_MS)),
    }
}

fn note_lack(gateway: &Gateway, server: &ServerName, model: &ModelName, now: MonoMs) {
    let is_gone = gateway.board().lacks(server, model, now);
    let mut uses = gateway.uses();
    if is_gone {
        uses.missing(server, model);
    } else {
        uses.early(server, model, now);
    }
}
