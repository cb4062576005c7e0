//! What controllers told an entry VM about the version in force: on which link, as of when, and until when
//! it may refuse requests by it.
//!
//! A controller that confirms a version was up to date a moment ago. This ages: a newer version may be in
//! force everywhere else by the time at which a VM that is cut off would refuse a request. Links deliver late,
//! without a bound, so the age counts from the question that the controller has answered. Controllers of builds that
//! have no questions confirm by their statuses, whose age is only known from the time at which the VM reads them.
//! Time is passed in.

use std::collections::VecDeque;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::link::StateConfirmation;
use crate::link::StateQuestion;
use crate::types::MonoMs;
use crate::types::pause;
pub use crate::types::pause::PAUSE_MS;
pub use crate::types::pause::QUEUE_DRAIN_MS;

/// Time from the question for which its answer may be the reason of refusals, and from the reading for which a status
/// may, on links without questions. Either comes every 500 ms. What a controller confirms may be outdated by up to
/// 900 ms, and by 400 ms for which it stood still unnoticed. A change is in force on all VMs after 3 s.
pub const MAX_CONFIRMATION_AGE_MS: u64 = 1_500;
/// Time after which a controller that is up to date knows every version that an entry VM can have.
const MIN_NAMED_AGE_MS: u64 = 3_000;
/// Questions on a link that are remembered until they are answered.
const MAX_OPEN_QUESTIONS: usize = 32;

/// Statement of a controller that a version was in force.
#[derive(Clone, Copy, Debug)]
struct Claim {
    version: u64,
    expires: MonoMs,
}

/// Statement of a controller that no version newer than this one was in force at a time.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    version: u64,
    /// Time from which its age counts.
    from: MonoMs,
}

/// How an entry VM stands with the controllers, for logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControllerContact {
    /// Open links.
    pub links: u32,
    /// Time since the newest question that a controller has answered with a confirmation was asked, or since a status that
    /// confirms was read; `None` if there was none since the start.
    pub confirmed_age_ms: Option<u64>,
}

/// Open links to controllers, and their claims about the version in force.
#[derive(Debug, Default)]
pub struct Belief {
    open_links: IndexSet<u64>,
    /// Latest claim by link; also of links that have closed, until it expires.
    claims: IndexMap<u64, Claim>,
    /// Newest confirmation by open link. It may be the reason of refusals until it expires.
    confirmations: IndexMap<u64, Confirmation>,
    /// Questions without an answer so far, by open link.
    questions: IndexMap<u64, VecDeque<StateQuestion>>,
    /// Version of the newest confirmation and the time from which its age counts.
    last_confirmed: Option<(u64, MonoMs)>,
    /// Highest version by which another entry VM handled a request of this VM's callers, and when that was last
    /// noted; version 0 for none.
    handled_elsewhere: (u64, MonoMs),
    /// Time of the latest observation.
    observed: Option<MonoMs>,
    /// Time from which messages are known not to have queued up while the process stood still.
    fresh_from: MonoMs,
}

impl Belief {
    /// Notes that the process runs. Must be called often enough to tell when it stood still.
    pub fn observe(&mut self, now: MonoMs) {
        let observed = self.observed.unwrap_or(now);
        if let Some(fresh_from_ms) = pause::fresh_from_ms(observed.0, now.0) {
            self.fresh_from = MonoMs(fresh_from_ms);
        }
        self.observed = Some(observed.max(now));
    }

    /// Notes that a status on `link`, which has no questions, has confirmed `version`. Returns whether that
    /// counts: what queued up while the process stood still only tells that older versions are outdated.
    pub fn confirm(&mut self, link: u64, version: u64, now: MonoMs) -> bool {
        self.hear(link, version, now);
        let counts = now >= self.fresh_from;
        match counts {
            true => {
                self.set_confirmation(link, version, now);
                self.drop_unknown_version(version, now);
            }
            false => self.withdraw(link),
        }
        counts
    }

    /// Notes that the controller at the other end of `link` has named `version`, at a time that is not known.
    pub fn hear(&mut self, link: u64, version: u64, now: MonoMs) {
        self.observe(now);
        self.claims.retain(|_, claim| claim.expires > now);
        let expires = now.plus(MAX_CONFIRMATION_AGE_MS);
        self.claims.insert(link, Claim { version, expires });
    }

    /// Notes that `question` is asked on `link`.
    pub fn ask(&mut self, link: u64, question: StateQuestion) {
        if !self.open_links.contains(&link) {
            return;
        }
        let open = self.questions.entry(link).or_default();
        if open.len() >= MAX_OPEN_QUESTIONS {
            open.pop_front();
        }
        open.push_back(question);
    }

    /// Notes an answer on `link`. Returns whether it counts: a question that was not asked there, or that has been
    /// answered before, changes nothing.
    pub fn answer(&mut self, link: u64, answer: &StateConfirmation, now: MonoMs) -> bool {
        let version = answer.document_version;
        if !self.take_question(link, &answer.question) || version == 0 {
            return false;
        }
        self.hear(link, version, now);
        let asked = answer.question.asked;
        self.set_confirmation(link, version, asked);
        self.drop_unknown_version(version, asked);
        true
    }

    fn take_question(&mut self, link: u64, question: &StateQuestion) -> bool {
        let Some(open) = self.questions.get_mut(&link) else {
            return false;
        };
        let position = open.iter().position(|asked| asked == question);
        position
            .and_then(|position| open.remove(position))
            .is_some()
    }

    fn set_confirmation(&mut self, link: u64, version: u64, from: MonoMs) {
        let known = self.confirmations.get(&link);
        if known.is_none_or(|known| known.from <= from) {
            self.confirmations
                .insert(link, Confirmation { version, from });
        }
        if self.last_confirmed.is_none_or(|(_, last)| last <= from) {
            self.last_confirmed = Some((version, from));
        }
    }

    /// Time from which messages are known not to have queued up while the process stood still; 0 if it
    /// never did.
    pub fn fresh_from(&self) -> MonoMs {
        self.fresh_from
    }

    /// Notes that another entry VM handled a request of this VM's callers by `version`, for whom both are one.
    pub fn note_handled_elsewhere(&mut self, version: u64, now: MonoMs) {
        if version >= self.handled_elsewhere.0 {
            self.handled_elsewhere = (version, now);
        }
    }

    /// Highest version by which another entry VM handled a request of this VM's callers; 0 for none.
    pub fn handled_elsewhere(&self) -> u64 {
        self.handled_elsewhere.0
    }

    /// Forgets a version that was handled elsewhere once a controller that is up to date does not know it long after:
    /// the other VM named it by mistake.
    fn drop_unknown_version(&mut self, confirmed: u64, asked: MonoMs) {
        let (version, noted) = self.handled_elsewhere;
        if confirmed < version && asked.since(noted) >= MIN_NAMED_AGE_MS {
            self.handled_elsewhere = (0, noted);
        }
    }

    /// Notes that a link has opened.
    pub fn open(&mut self, link: u64, now: MonoMs) {
        self.observe(now);
        self.open_links.insert(link);
    }

    /// Notes that a link has closed.
    pub fn close(&mut self, link: u64) {
        self.open_links.shift_remove(&link);
        self.questions.shift_remove(&link);
        self.withdraw(link);
    }

    /// Notes that the controller at the other end of `link` confirms nothing any more.
    pub fn withdraw(&mut self, link: u64) {
        self.confirmations.shift_remove(&link);
    }

    /// Whether `version` is known to be the one in force: a controller confirms it, and none names a newer one.
    pub fn confirms(&self, version: u64, now: MonoMs) -> bool {
        let newest = self.confirmed_versions(now).max();
        newest.is_some_and(|newest| newest <= version) && !self.names_newer(version, now)
    }

    /// Whether a controller confirms any version.
    pub fn is_up_to_date(&self, now: MonoMs) -> bool {
        self.confirmed_versions(now).next().is_some()
    }

    fn confirmed_versions(&self, now: MonoMs) -> impl Iterator<Item = u64> {
        let is_fresh = move |one: &&Confirmation| now.since(one.from) < MAX_CONFIRMATION_AGE_MS;
        let fresh = self.confirmations.values().filter(is_fresh);
        fresh.map(|confirmation| confirmation.version)
    }

    fn names_newer(&self, version: u64, now: MonoMs) -> bool {
        let mut fresh = self.claims.values().filter(|claim| claim.expires > now);
        fresh.any(|claim| claim.version > version) || self.handled_elsewhere.0 > version
    }

    /// Whether a newer version than `version` is known to have been in force.
    pub fn knows_newer(&self, version: u64, now: MonoMs) -> bool {
        self.names_newer(version, now)
            || self.last_confirmed.is_some_and(|(last, _)| last > version)
    }

    /// How the VM stands with the controllers.
    pub fn contact(&self, now: MonoMs) -> ControllerContact {
        ControllerContact {
            links: u32::try_from(self.open_links.len()).unwrap_or(u32::MAX),
            confirmed_age_ms: self.last_confirmed.map(|(_, at)| now.since(at)),
        }
    }
}
