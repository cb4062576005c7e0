//! Changes of the operator's document. A large one takes longer than the operator waits for an answer, and the
//! operator then repeats it: each is decoded and proposed once, however often it is sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use super::control_core::Core;
use super::control_vm::ChangeOutcome;
use super::control_vm::lock;
use crate::control::Document;
use crate::control::FleetCommand;

/// Time for which an answer waits for the change. The operator waits a second.
const ANSWER_TIMEOUT_MS: u64 = 900;
/// Time for which a proposal whose outcome is unknown may still be applied before it is repeated.
const APPLY_TIMEOUT_MS: u64 = 5_000;
/// Interval at which the applied document is read meanwhile.
const APPLY_POLL_MS: u64 = 20;
/// Most changes in progress. The operator has at most eight.
const MAX_IN_PROGRESS: usize = 16;

/// Outcome of storing a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DocumentOutcome {
    /// The document is valid, and it or one of a higher version is committed.
    Done,
    /// Another controller is the leader; its address is `None` if it is not known.
    NotLeader(Option<SocketAddr>),
    /// The document may or may not be committed.
    Unknown,
    /// The document is not valid, for this reason.
    Invalid(String),
}

impl From<ChangeOutcome> for DocumentOutcome {
    fn from(outcome: ChangeOutcome) -> Self {
        match outcome {
            ChangeOutcome::Done => Self::Done,
            ChangeOutcome::NotLeader(address) => Self::NotLeader(address),
            ChangeOutcome::Unknown => Self::Unknown,
        }
    }
}

type Outcome = watch::Receiver<Option<DocumentOutcome>>;

/// Changes in progress on this VM, by the document's bytes.
#[derive(Debug, Default)]
pub(super) struct DocumentChanges {
    in_progress: Mutex<Vec<(Bytes, Outcome)>>,
}

/// Stores a document unless one of a higher version is stored.
pub(super) async fn put(core: &Arc<Core>, body: Bytes) -> DocumentOutcome {
    // What is applied is committed, whichever VM leads now.
    if core.document().is_some_and(|stored| *stored.body == *body) {
        return DocumentOutcome::Done;
    }
    if let Some(leader) = core.other_leader() {
        return DocumentOutcome::NotLeader(leader);
    }
    let Some(mut outcome) = follow(core, body) else {
        return DocumentOutcome::Unknown;
    };
    let waiting = outcome.wait_for(Option::is_some);
    match timeout(Duration::from_millis(ANSWER_TIMEOUT_MS), waiting).await {
        Ok(Ok(outcome)) => outcome.clone().unwrap_or(DocumentOutcome::Unknown),
        Ok(Err(_)) | Err(_) => DocumentOutcome::Unknown,
    }
}

/// Outcome of the change that is in progress for `body`, which is begun if there is none; `None` if there are too
/// many others. The change goes on when its caller stops waiting.
fn follow(core: &Arc<Core>, body: Bytes) -> Option<Outcome> {
    let mut in_progress = lock(&core.document_changes.in_progress);
    in_progress.retain(|(_, outcome)| outcome.has_changed().is_ok());
    if let Some((_, outcome)) = in_progress.iter().find(|(known, _)| *known == body) {
        return Some(outcome.clone());
    }
    if in_progress.len() >= MAX_IN_PROGRESS {
        return None;
    }
    let (done, outcome) = watch::channel(None);
    in_progress.push((body.clone(), outcome.clone()));
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let result = change(&core, body.clone()).await;
        let _ = done.send(Some(result));
        let mut in_progress = lock(&core.document_changes.in_progress);
        in_progress.retain(|(known, _)| *known != body);
    });
    Some(outcome)
}

async fn change(core: &Arc<Core>, body: Bytes) -> DocumentOutcome {
    let dialect = Arc::clone(&core.config.dialect);
    let text = body.clone();
    let decoding = spawn_blocking(move || dialect.decode(&text).map(|decoded| decoded.version));
    let version = match decoding.await {
        Ok(Ok(version)) => version,
        Ok(Err(error)) => return DocumentOutcome::Invalid(error.to_string()),
        Err(_) => return DocumentOutcome::Unknown,
    };
    if core.has_document(version) {
        return DocumentOutcome::Done;
    }
    let body = body.as_ref().into();
    let document = Document { version, body };
    let term = core.log.status().term;
    match core.change(FleetCommand::PutDocument(document)).await {
        ChangeOutcome::Unknown => wait_until_applied(core, version, term).await,
        outcome => outcome.into(),
    }
}

/// Waits for a proposal of `term` whose outcome is unknown.
async fn wait_until_applied(core: &Core, version: u64, term: u64) -> DocumentOutcome {
    let deadline = Instant::now() + Duration::from_millis(APPLY_TIMEOUT_MS);
    while Instant::now() < deadline {
        if core.has_document(version) {
            return DocumentOutcome::Done;
        }
        let log = core.log.status();
        if !log.is_leader || log.term != term {
            break;
        }
        sleep(Duration::from_millis(APPLY_POLL_MS)).await;
    }
    DocumentOutcome::Unknown
}
