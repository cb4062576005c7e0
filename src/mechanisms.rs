//! Decisions that can be switched disabled one by one, to measure what each is worth.

use std::str::FromStr;

use snafu::Snafu;

/// A decision that can be switched disabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Mechanism {
    /// Adapters that were used once make way as soon as nothing uses them.
    EarlyRelease,
    /// Engines are compared by the prompts that wait there.
    PromptBacklog,
    /// Requests are refused when no place comes free in time for their adapter.
    SlotWaitForecast,
    /// Adapters go back to any engine that had them, and wait a moment for a place there.
    LoadHistory,
    /// No copies are made while adapters that no engine has wait for places.
    CopySuppression,
    /// A wish is withdrawn as soon as no request waits for it.
    LoadRequestWithdrawal,
    /// Crowded engines get copies of their most used adapters elsewhere.
    CrowdedEngineCopies,
    /// Data centres get copies of adapters that their callers often send far for.
    NearCopies,
    /// An adapter is loaded where it was last.
    LastEngine,
    /// A data centre drops wishes for what another one loads.
    RemoteLoads,
    /// The number of loads at once follows the time that they take.
    AdaptiveLoadLimit,
    /// Wishes of many requests come first.
    DemandOrder,
    /// Requests that would wait too long at an engine are refused.
    Admission,
    /// Requests wait for a first configuration and for token buckets.
    GracePeriod,
    /// A VM hands out tokens by itself while nobody keeps the buckets.
    OutageAllowance,
    /// Controllers hand out parts of the token rates while there is no leader.
    QuotaFailover,
    /// Controllers go on ordering engines while there is no leader.
    OrdersWithoutLeader,
}

impl Mechanism {
    /// All of them.
    pub const ALL: [Self; 17] = [
        Self::EarlyRelease,
        Self::PromptBacklog,
        Self::SlotWaitForecast,
        Self::LoadHistory,
        Self::CopySuppression,
        Self::LoadRequestWithdrawal,
        Self::CrowdedEngineCopies,
        Self::NearCopies,
        Self::LastEngine,
        Self::RemoteLoads,
        Self::AdaptiveLoadLimit,
        Self::DemandOrder,
        Self::Admission,
        Self::GracePeriod,
        Self::OutageAllowance,
        Self::QuotaFailover,
        Self::OrdersWithoutLeader,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::EarlyRelease => "early_release",
            Self::PromptBacklog => "prompt_backlog",
            Self::SlotWaitForecast => "place_forecast",
            Self::LoadHistory => "load_memory",
            Self::CopySuppression => "scarce_copies",
            Self::LoadRequestWithdrawal => "wish_withdrawal",
            Self::CrowdedEngineCopies => "crowded_copies",
            Self::NearCopies => "near_copies",
            Self::LastEngine => "last_engine",
            Self::RemoteLoads => "loads_elsewhere",
            Self::AdaptiveLoadLimit => "store_pace",
            Self::DemandOrder => "many_first",
            Self::Admission => "admission",
            Self::GracePeriod => "grace",
            Self::OutageAllowance => "carry",
            Self::QuotaFailover => "stand_in",
            Self::OrdersWithoutLeader => "hold_without_leader",
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

/// Which mechanisms are at work. All are, unless they were switched disabled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Mechanisms {
    disabled: u32,
}

impl Mechanisms {
    /// All but `mechanism`.
    pub fn without(self, mechanism: Mechanism) -> Self {
        Self {
            disabled: self.disabled | bit(mechanism),
        }
    }

    /// Whether it is at work.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.disabled & bit(mechanism) == 0
    }
}

impl FromStr for Mechanisms {
    type Err = UnknownMechanism;

    /// Reads the names of those that are switched disabled, separated by commas.
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
