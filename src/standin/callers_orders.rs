//! Orders of the load tool: resent, sent through several VMs at once, or given up before the answer.

use std::time::Duration;

use futures::future::join_all;
use serde_json::Value;
use serde_json::json;

use crate::control::Sha256Hash;

use super::answer;
use super::caller_api;
use super::callers_run::Attempt;
use super::callers_run::Ending;
use super::callers_run::failed;
use super::callers_run::mismatched;
use super::client::Reply;

/// Treatments of orders; each order gets the one at its index modulo this number.
const TREATMENTS: u64 = 4;
/// Orders that are resent to another VM after their answer.
const RESENT: u64 = 0;
/// Orders that are sent through several VMs at the same moment.
const TOGETHER: u64 = 1;
/// Orders whose connection is closed before the answer.
const ABANDONED: u64 = 2;

impl Attempt {
    /// Sends an order in the way that its index picks and checks every answer.
    pub(super) async fn order(&mut self) -> Ending {
        let treatment = self.planned.index % TREATMENTS;
        if treatment == TOGETHER && self.shared.settings.order_together_vms > 1 {
            return self.order_together().await;
        }
        if treatment == ABANDONED {
            self.abandon_order().await;
        }
        let first = match self.send_order().await {
            Ok(reply) => reply,
            Err(ending) => return ending,
        };
        self.first_token_ms = Some(self.elapsed_ms());
        let ending = self.check_order(&first.value());
        if ending != Ending::Answered || treatment != RESENT {
            return ending;
        }
        self.next_vm().await;
        match self.send_order().await {
            Ok(second) if second.value() == first.value() => Ending::Answered,
            Ok(second) => mismatched(format!("second answer {}", second.value())),
            // The resend may be over the account's rate; the first answer stands.
            Err(Ending::Refused { .. }) => {
                self.resend_refused = true;
                Ending::Answered
            }
            Err(ending) => mismatched(format!("second answer {ending:?}")),
        }
    }

    /// Sends the order through several VMs at the same moment; all must give the same answer.
    async fn order_together(&mut self) -> Ending {
        let vms = self.shared.settings.order_together_vms;
        let mut attempts: Vec<Self> = (0..vms)
            .map(|offset| {
                let mut attempt = self.clone();
                attempt.resends += offset;
                attempt
            })
            .collect();
        let replies = join_all(attempts.iter_mut().map(Self::send_order)).await;
        self.first_token_ms = Some(self.elapsed_ms());
        self.cuts += attempts.iter().map(|attempt| attempt.cuts).sum::<u64>();
        let mut answers = Vec::new();
        for reply in replies {
            match reply {
                Ok(reply) => answers.push(reply.value()),
                Err(ending) => return ending,
            }
        }
        match answers.iter().find(|answer| **answer != answers[0]) {
            Some(other) => mismatched(format!("answers {} and {other}", answers[0])),
            None => self.check_order(&answers[0]),
        }
    }

    /// Sends the order and closes the connection before the answer, if the settings say so.
    async fn abandon_order(&mut self) {
        let Some(after_ms) = self.shared.settings.order_abandon_ms else {
            return;
        };
        let (key, body) = (self.idempotency_key(), self.order_body());
        let path = self.shared.settings.order_path.clone();
        let call = caller_api::order(self.vm(), self.key(), &path, &key, &body);
        let sending = self.shared.client.send(call);
        // Dropping the call closes its connection. An answer that came in time is ignored too.
        let _ = tokio::time::timeout(Duration::from_millis(after_ms), sending).await;
        self.next_vm().await;
    }

    fn order_body(&self) -> Value {
        json!({ "order": self.idempotency_key(), "text": self.planned.prompt })
    }

    /// The id that VMs derive from the account and the idempotency key.
    pub(super) fn order_id(&self) -> String {
        let account = &self.shared.settings.accounts[self.planned.account].name;
        let key_hash = Sha256Hash::of(self.idempotency_key().as_bytes()).to_hex();
        Sha256Hash::of(format!("{account}\0{key_hash}").as_bytes()).to_hex()
    }

    /// Sends an order until its outcome is known or the VM says that it stays unknown.
    async fn send_order(&mut self) -> Result<Reply, Ending> {
        let (key, body) = (self.idempotency_key(), self.order_body());
        let path = self.shared.settings.order_path.clone();
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
                Some(error) => return Err(failed(error)),
            }
        }
    }

    fn check_order(&self, body: &Value) -> Ending {
        let digest = answer::digest_bytes(self.order_body().to_string().as_bytes());
        self.check_digest(body, &digest)
    }
}
