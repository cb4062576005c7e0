//! Decisions that can be switched off one by one, to measure what each is worth.

use std::str::FromStr;

use snafu::Snafu;

/// A decision that can be switched off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Mechanism {
    /// Adapters that were used once make way as soon as nothing uses them.
    EarlyRelease,
    /// Engines are compared by the prompts that wait there.
    PromptBacklog,
    /// Requests are refused when no place comes free in time for their adapter.
    PlaceForecast,
    /// Adapters go back to any engine that had them, and wait a moment for a place there.
    LoadMemory,
    /// No copies are made while adapters that no engine has wait for places.
    ScarceCopies,
    /// A wish is withdrawn as soon as no request waits for it.
    WishWithdrawal,
    /// Crowded engines get copies of their most used adapters elsewhere.
    CrowdedCopies,
    /// Data centres get copies of adapters that their callers often send far for.
    NearCopies,
    /// An adapter is loaded where it was last.
    LastEngine,
    /// A data centre drops wishes for what another one loads.
    LoadsElsewhere,
    /// The number of loads at once follows the time that they take.
    StorePace,
    /// Wishes of many requests come first.
    ManyFirst,
    /// Requests that would wait too long at an engine are refused.
    Admission,
    /// Requests wait for a first configuration and for token buckets.
    Grace,
    /// A VM hands out tokens by itself while nobody keeps the buckets.
    Carry,
    /// Controllers hand out parts of the token rates while there is no leader.
    StandIn,
    /// Controllers go on ordering engines while there is no leader.
    HoldWithoutLeader,
}

impl Mechanism {
    /// All of them.
    pub const ALL: [Self; 17] = [
        Self::EarlyRelease,
        Self::PromptBacklog,
        Self::PlaceForecast,
        Self::LoadMemory,
        Self::ScarceCopies,
        Self::WishWithdrawal,
        Self::CrowdedCopies,
        Self::NearCopies,
        Self::LastEngine,
        Self::LoadsElsewhere,
        Self::StorePace,
        Self::ManyFirst,
        Self::Admission,
        Self::Grace,
        Self::Carry,
        Self::StandIn,
        Self::HoldWithoutLeader,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::EarlyRelease => "early_release",
            Self::PromptBacklog => "prompt_backlog",
            Self::PlaceForecast => "place_forecast",
            Self::LoadMemory => "load_memory",
            Self::ScarceCopies => "scarce_copies",
            Self::WishWithdrawal => "wish_withdrawal",
            Self::CrowdedCopies => "crowded_copies",
            Self::NearCopies => "near_copies",
            Self::LastEngine => "last_engine",
            Self::LoadsElsewhere => "loads_elsewhere",
            Self::StorePace => "store_pace",
            Self::ManyFirst => "many_first",
            Self::Admission => "admission",
            Self::Grace => "grace",
            Self::Carry => "carry",
            Self::StandIn => "stand_in",
            Self::HoldWithoutLeader => "hold_without_leader",
        }
    }
}

/// A name that is none of a mechanism.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("without: {name:?} is no mechanism, expected some of {expected}"))]
pub struct UnknownMechanism {
    /// The name that was given.
    pub name: String,
    /// The names that there are.
    pub expected: String,
}

/// Result of reading names of mechanisms.
pub type Result<T> = std::result::Result<T, UnknownMechanism>;

/// Which mechanisms are at work. All are, unless they were switched off.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Mechanisms {
    off: u32,
}

impl Mechanisms {
    /// All but `mechanism`.
    pub fn without(self, mechanism: Mechanism) -> Self {
        Self {
            off: self.off | bit(mechanism),
        }
    }

    /// Whether it is at work.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.off & bit(mechanism) == 0
    }
}

impl FromStr for Mechanisms {
    type Err = UnknownMechanism;

    /// Reads the names of those that are switched off, separated by commas.
    fn from_str(names: &str) -> Result<Self> {
        let names = names.split(',').map(str::trim);
        names
            .filter(|name| !name.is_empty())
            .try_fold(Self::default(), |mechanisms, name| {
                let mut all = Mechanism::ALL.into_iter();
                let found = all.find(|mechanism| mechanism.name() == name);
                let unknown = || UnknownMechanism {
                    name: name.to_owned(),
                    expected: Mechanism::ALL.map(Mechanism::name).join(", "),
                };
                found
                    .map(|mechanism| mechanisms.without(mechanism))
                    .ok_or_else(unknown)
            })
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u8
}
