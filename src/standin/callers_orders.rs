//! Orders of the load tool: resent, sent concurrently through several VMs, or abandoned before the
//! answer.

use std::time::Duration;

use futures::future::join_all;
use serde_json::Value;
use serde_json::json;

use crate::control::Sha256Hash;

use super::answer;
use super::caller_api;
use super::callers_run::InFlightRequest;
use super::callers_run::RequestOutcome;
use super::callers_run::mismatched;
use super::callers_run::outcome_of_error;
use super::client::Reply;

/// Number of ways in which orders are sent; the index of an order modulo this number selects one.
/// The way without a constant sends the order once.
const ORDER_VARIANTS: u64 = 4;
/// Resends the order to another VM after its answer.
const RESEND_ANSWERED: u64 = 0;
/// Sends the order through several VMs concurrently.
const CONCURRENT: u64 = 1;
/// Closes the connection before the answer, then sends the order again.
const ABANDON: u64 = 2;

impl InFlightRequest {
    /// Sends an order in the way that its index selects and checks every answer.
    pub(super) async fn run_order(&mut self) -> RequestOutcome {
        let variant = self.planned.index % ORDER_VARIANTS;
        if variant == CONCURRENT && self.context.settings.order_together_vms > 1 {
            return self.send_concurrently().await;
        }
        if variant == ABANDON {
            self.send_abandoned().await;
        }
        let first = match self.send_order().await {
            Ok(reply) => reply,
            Err(outcome) => return outcome,
        };
        self.first_token_ms = Some(self.elapsed_ms());
        let outcome = self.check_order(&first.value());
        if outcome != RequestOutcome::Answered || variant != RESEND_ANSWERED {
            return outcome;
        }
        self.next_vm().await;
        match self.send_order().await {
            Ok(second) if second.value() == first.value() => RequestOutcome::Answered,
            Ok(second) => mismatched(format!("second answer {}", second.value())),
            // The resend may exceed the rate limit of the account; the first answer remains valid.
            Err(RequestOutcome::Refused { .. }) => {
                self.resend_refused = true;
                RequestOutcome::Answered
            }
            Err(outcome) => mismatched(format!("second answer {outcome:?}")),
        }
    }

    /// Sends the order through several VMs concurrently; all answers must be equal.
    async fn send_concurrently(&mut self) -> RequestOutcome {
        let vms = self.context.settings.order_together_vms;
        let mut requests: Vec<Self> = (0..vms)
            .map(|offset| {
                let mut request = self.clone();
                request.resends += offset;
                request
            })
            .collect();
        let replies = join_all(requests.iter_mut().map(Self::send_order)).await;
        self.first_token_ms = Some(self.elapsed_ms());
        self.broken_connections += requests
            .iter()
            .map(|request| request.broken_connections)
            .sum::<u64>();
        let mut answers = Vec::new();
        for reply in replies {
            match reply {
                Ok(reply) => answers.push(reply.value()),
                Err(outcome) => return outcome,
            }
        }
        match answers.iter().find(|answer| **answer != answers[0]) {
            Some(other) => mismatched(format!("answers {} and {other}", answers[0])),
            None => self.check_order(&answers[0]),
        }
    }

    /// Sends the order and closes the connection after `order_abandon_ms`, if that is set.
    async fn send_abandoned(&mut self) {
        let Some(after_ms) = self.context.settings.order_abandon_ms else {
            return;
        };
        let (key, body) = (self.idempotency_key(), self.order_body());
        let path = self.context.settings.order_path.clone();
        let call = caller_api::order(self.vm(), self.key(), &path, &key, &body);
        let sending = self.context.client.send(call);
        // Dropping the future closes its connection. An earlier answer is ignored.
        let _ = tokio::time::timeout(Duration::from_millis(after_ms), sending).await;
        self.next_vm().await;
    }

    fn order_body(&self) -> Value {
        json!({ "order": self.idempotency_key(), "text": self.planned.prompt })
    }

    /// The id that VMs derive from the account and the idempotency key.
    pub(super) fn order_id(&self) -> String {
        let account = &self.context.settings.accounts[self.planned.account].name;
        let key_hash = Sha256Hash::of(self.idempotency_key().as_bytes()).to_hex();
        Sha256Hash::of(format!("{account}\0{key_hash}").as_bytes()).to_hex()
    }

    /// Sends an order until its outcome is known or the VM reports that it remains unknown.
    async fn send_order(&mut self) -> Result<Reply, RequestOutcome> {
        let (key, body) = (self.idempotency_key(), self.order_body());
        let path = self.context.settings.order_path.clone();
        let build = |this: &Self| caller_api::order(this.vm(), this.key(), &path, &key, &body);
        loop {
            let Some(reply) = self.send_once(build(self)).await else {
                continue;
            };
            match caller_api::error_of(&reply) {
                None => return Ok(reply),
                Some(error) if error.is_local_to_vm() => self.next_vm().await,
                Some(error) if error.run == "unknown" && error.retry_after_ms.is_some() => {
                    let pause_ms = error.retry_after_ms.unwrap_or_default();
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
                Some(error) => return Err(outcome_of_error(error)),
            }
        }
    }

    fn check_order(&self, body: &Value) -> RequestOutcome {
        let digest = answer::digest_bytes(self.order_body().to_string().as_bytes());
        self.check_digest(body, &digest)
    }
}
