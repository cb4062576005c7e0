//! Questions to the controllers whether their state is in force.

use super::context::Gateway;
use crate::link::StateConfirmation;
use crate::link::StateQuestion;

impl Gateway {
    /// A question that is asked now on `link`, by the process of this incarnation.
    pub fn ask_state(&self, link: u64, incarnation: u64) -> StateQuestion {
        let question = StateQuestion {
            incarnation,
            asked: self.now(),
            asked_unix: self.config.clock.unix(),
        };
        self.update_belief(|belief| belief.ask(link, question));
        question
    }

    /// Takes over an answer on `link`, unless it answers no question that is open there.
    pub fn answer_state(&self, link: u64, answer: &StateConfirmation) {
        let now = self.now();
        let mut counts = false;
        // Requests that wait for a confirmation look again, as an earlier one may have expired meanwhile.
        self.configuration
            .send_modify(|current| counts = current.answer(link, answer, now));
        if counts {
            self.confirm_software_versions(answer);
        } else {
            self.config.meters.count_ignored_confirmation();
        }
    }

    /// Whether a controller with the state in force is linked.
    pub fn is_up_to_date(&self) -> bool {
        let now = self.now();
        self.configuration.borrow().belief().is_up_to_date(now)
    }
}
