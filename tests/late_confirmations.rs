//! Until when an entry VM may refuse requests by what controllers told it, on links that deliver late.

use medlarlift::gateway::belief::Belief;
use medlarlift::gateway::belief::MAX_CONFIRMATION_AGE_MS;
use medlarlift::gateway::belief::PAUSE_MS;
use medlarlift::link::StateConfirmation;
use medlarlift::link::StateQuestion;
use medlarlift::types::MonoMs;
use medlarlift::types::UnixMs;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const START: MonoMs = MonoMs(10_000);
/// Interval at which the VM notes that it runs.
const TICK_MS: u64 = 100;
/// Interval of the statuses of a controller and of the questions of the VM.
const STATUS_MS: u64 = 500;
/// Age up to which a controller calls its state confirmed, with the time for which it may have stood still unnoticed.
const CONTROLLER_AGE_MS: u64 = 900 + PAUSE_MS;
/// Silence after which a link is closed: what was sent arrives within it, in order.
const SILENCE_MS: u64 = 1_500;
const CHANGE_IN_FORCE_MS: u64 = 3_000;
const LINKS: u64 = 3;
const STEP_MS: u64 = 10;
const STEPS: u64 = 3_000;
const SEEDS: u64 = 1_000;

fn version_at(versions: &[(MonoMs, u64)], at: MonoMs) -> u64 {
    let held = versions.iter().rev().find(|(from, _)| *from <= at);
    held.map_or(1, |(_, version)| *version)
}

/// What a controller sends.
enum News {
    Status(u64),
    Answer(StateConfirmation),
}

/// What one side of a link has sent, in order, with the times of arrival.
struct Way<T> {
    sent: Vec<(MonoMs, T)>,
}

impl<T> Way<T> {
    fn new() -> Self {
        Self { sent: Vec::new() }
    }

    fn send(&mut self, message: T, now: MonoMs, delay_ms: u64) {
        let last = self.sent.last().map_or(now, |(arrival, _)| *arrival);
        self.sent.push((now.plus(delay_ms).max(last), message));
    }

    fn arrived(&mut self, now: MonoMs) -> Vec<T> {
        let count = self.sent.partition_point(|(arrival, _)| *arrival <= now);
        self.sent
            .drain(..count)
            .map(|(_, message)| message)
            .collect()
    }
}

/// What the links do to messages for a while. Those that are sent while it is cut do not arrive.
#[derive(Clone, Copy, Default)]
struct Weather {
    is_cut: bool,
    /// Delay of each message.
    late_ms: u64,
}

impl Weather {
    fn change(&mut self, random: &mut StdRng) {
        if random.random_bool(0.003) {
            self.is_cut = !self.is_cut;
        }
        if random.random_bool(0.005) {
            self.late_ms = match random.random_bool(0.5) {
                true => random.random_range(0..SILENCE_MS),
                false => random.random_range(0..50),
            };
        }
    }
}

/// A link, with the controller at its other end.
struct Link {
    number: u64,
    to_controller: Way<StateQuestion>,
    to_vm: Way<News>,
}

impl Link {
    fn new(number: u64) -> Self {
        Self {
            number,
            to_controller: Way::new(),
            to_vm: Way::new(),
        }
    }

    /// The VM asks and the controller sends its status when it is time, and both read what has arrived.
    /// `held` is the version that the controller has now.
    fn step(&mut self, belief: &mut Belief, weather: Weather, held: u64, now: MonoMs) {
        let is_due = now.plus(self.number * 130).0.is_multiple_of(STATUS_MS);
        if is_due {
            let question = question(now);
            belief.ask(self.number, question);
            if !weather.is_cut {
                self.to_controller.send(question, now, weather.late_ms);
                self.to_vm.send(News::Status(held), now, weather.late_ms);
            }
        }
        for question in self.to_controller.arrived(now) {
            if !weather.is_cut {
                let answer = News::Answer(answer(question, held));
                self.to_vm.send(answer, now, weather.late_ms);
            }
        }
        for news in self.to_vm.arrived(now) {
            match news {
                News::Status(version) => belief.hear(self.number, version, now),
                News::Answer(answer) => assert!(belief.answer(self.number, &answer, now)),
            }
        }
    }
}

fn question(asked: MonoMs) -> StateQuestion {
    StateQuestion {
        incarnation: 3,
        asked,
        asked_unix: UnixMs(1_796_520_522_437 + asked.0),
    }
}

fn answer(question: StateQuestion, document_version: u64) -> StateConfirmation {
    StateConfirmation {
        question,
        document_version,
        software_revision: 0,
    }
}

/// Returns the number of steps in which the newest version was confirmed.
fn check_random_history(seed: u64) -> u64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut belief = Belief::default();
    for link in 0..LINKS {
        belief.open(link, START);
    }
    // The version of each moment; it rises at random times.
    let mut versions = vec![(START, 1)];
    let mut links: Vec<Link> = (0..LINKS).map(Link::new).collect();
    let mut now = START;
    let mut weather = Weather::default();
    let mut confirmed = 0;
    for _ in 0..STEPS {
        now = now.plus(STEP_MS);
        if random.random_bool(0.004) {
            versions.push((now, versions.len() as u64 + 1));
        }
        weather.change(&mut random);
        for link in &mut links {
            let seen = MonoMs(now.0 - random.random_range(0..CONTROLLER_AGE_MS));
            link.step(&mut belief, weather, version_at(&versions, seen), now);
        }
        if now.0.is_multiple_of(TICK_MS) {
            belief.observe(now);
        }
        let due = version_at(&versions, MonoMs(now.0 - CHANGE_IN_FORCE_MS));
        for old in due.saturating_sub(3)..due {
            assert!(
                !belief.confirms(old, now),
                "seed {seed}, {now:?}: {old} was replaced"
            );
        }
        confirmed += u64::from(belief.confirms(version_at(&versions, now), now));
    }
    confirmed
}

/// Compares with the rule by which changes take effect: later than 3 s after the acknowledgement of a version, no VM
/// refuses by an older one, however late its links deliver what controllers say.
#[test]
fn no_vm_refuses_by_a_version_that_was_replaced_three_seconds_ago_as_its_links_deliver_late() {
    let confirmed: u64 = (0..SEEDS).map(check_random_history).sum();
    // Links are cut in about half of the time, and late in some of the other.
    assert!(confirmed * 8 > SEEDS * STEPS, "{confirmed} steps");
}

const OTHER: MonoMs = MonoMs(START.0 + 500);

/// A belief that has asked on link 1 at `START`, and on link 2 later.
fn belief_that_asked() -> Belief {
    let mut belief = Belief::default();
    for link in [1, 2] {
        belief.open(link, START);
    }
    belief.ask(1, question(START));
    belief.ask(2, question(OTHER));
    belief
}

#[test]
fn the_age_of_an_answer_counts_from_its_question() {
    let mut belief = belief_that_asked();
    let read = START.plus(MAX_CONFIRMATION_AGE_MS - 1);
    belief.hear(1, 7, read);
    assert!(!belief.confirms(7, read), "a status confirms nothing");
    assert!(belief.answer(1, &answer(question(START), 7), read));
    assert!(belief.confirms(7, read));
    assert!(belief.is_up_to_date(read));
    assert_eq!(
        belief.contact(read).confirmed_age_ms,
        Some(MAX_CONFIRMATION_AGE_MS - 1)
    );
    assert!(!belief.confirms(7, read.plus(1)));
    assert!(!belief.is_up_to_date(read.plus(1)));
    // Too late to be the reason of a refusal, and still a sign that 8 was in force.
    let late = OTHER.plus(MAX_CONFIRMATION_AGE_MS);
    assert!(belief.answer(2, &answer(question(OTHER), 8), late));
    assert!(!belief.confirms(8, late));
    assert!(belief.knows_newer(7, late));
}

/// Guards against confirmations from controllers that repeat themselves or make up what they were asked.
#[test]
fn answers_to_no_open_question_of_their_link_move_nothing() {
    let of_former = StateQuestion {
        incarnation: 2,
        ..question(START)
    };
    let with_other_day = StateQuestion {
        asked_unix: UnixMs(0),
        ..question(START)
    };
    let never_asked = question(MonoMs(START.0 - 1));
    let from_the_future = question(START.plus(60_000));
    let from_the_other_link = question(OTHER);
    let now = START.plus(600);
    for wrong in [
        of_former,
        with_other_day,
        never_asked,
        from_the_future,
        from_the_other_link,
    ] {
        let mut belief = belief_that_asked();
        assert!(!belief.answer(1, &answer(wrong, 7), now), "{wrong:?}");
        assert!(!belief.confirms(7, now));
        assert!(!belief.knows_newer(6, now));
        assert_eq!(belief.contact(now).confirmed_age_ms, None);
        assert!(belief.answer(1, &answer(question(START), 7), now));
    }
    let mut belief = belief_that_asked();
    assert!(belief.answer(1, &answer(question(START), 7), now));
    assert!(!belief.answer(1, &answer(question(START), 8), now), "again");
    assert!(belief.confirms(7, now), "and 8 is not known");
}

#[test]
fn a_question_ends_with_its_link_and_an_answer_without_a_version_confirms_nothing() {
    let mut belief = belief_that_asked();
    let now = START.plus(600);
    belief.close(1);
    assert!(!belief.answer(1, &answer(question(START), 7), now));
    assert!(!belief.answer(2, &answer(question(OTHER), 0), now));
    assert!(!belief.is_up_to_date(now));
    belief.ask(1, question(now));
    assert!(!belief.answer(1, &answer(question(now), 7), now), "closed");
}

/// Guards against memory that grows with each question to a controller that answers none.
#[test]
fn the_oldest_of_many_open_questions_are_forgotten() {
    let mut belief = belief_that_asked();
    let mut now = START;
    for _ in 0..1_000 {
        now = now.plus(STATUS_MS);
        belief.ask(1, question(now));
    }
    assert!(!belief.answer(1, &answer(question(START), 7), now));
    assert!(belief.answer(1, &answer(question(now), 7), now));
    assert!(belief.confirms(7, now));
}
