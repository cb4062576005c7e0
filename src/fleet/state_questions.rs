//! The question whether a controller's state is in force, as entry VMs ask it and controllers answer it.
//!
//! The time from the question to its answer is known to the VM that asks. How long a status was on its way is not.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use super::control_core::Core;
use super::controller_client::ControllerClient;
use super::publication::Publication;
use crate::link::ControlStatus;
use crate::link::Frame;
use crate::link::Session;
use crate::link::StateConfirmation;
use crate::link::StateQuestion;

/// Interval at which each controller is asked.
const ASK_INTERVAL_MS: u64 = 500;

/// Asks all linked controllers periodically, also while the VM drains.
pub(super) async fn ask_periodically(controllers: Arc<ControllerClient>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(ASK_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let state = controllers.lock();
        let links = state.links.values();
        let sessions: Vec<Session> = links.map(|link| link.session.clone()).collect();
        drop(state);
        for session in sessions {
            controllers.ask_state(&session);
        }
    }
}

impl ControllerClient {
    /// Asks whether the state of the controller at the other end of a link is in force.
    pub(super) fn ask_state(&self, session: &Session) {
        if session.format().has_state_questions() {
            let gateway = self.gateway();
            let question = gateway.ask_state(session.id(), self.own.incarnation);
            session.send(&Frame::AskState(question));
        }
    }

    /// Asks at once if a status says more than the one before on its link.
    pub(super) fn ask_after(
        &self,
        session: &Session,
        before: Option<&ControlStatus>,
        status: &ControlStatus,
    ) {
        let is_known = before.is_some_and(|before| {
            before.is_confirmed() && before.document_version == status.document_version
        });
        if status.is_confirmed() && !is_known {
            self.ask_state(session);
        }
    }
}

impl Core {
    /// Answers the question of an entry VM if this controller's state is in force.
    pub(super) fn on_state_question(&self, session: &Session, question: StateQuestion) {
        // What the log says of the state comes first, so that the state is not older than that.
        let publication = self.publication(&self.log.status());
        let document = self.document();
        let document = document.filter(|_| publication == Publication::Confirmed);
        if let Some(document) = document {
            session.send(&Frame::StateConfirmed(StateConfirmation {
                question,
                document_version: document.version,
                software_revision: self.software_versions().revision,
            }));
        }
    }
}
