//! Scheduling and availability mechanisms that can be disabled one by one, to measure the effect of
//! each.

use std::str::FromStr;

use snafu::Snafu;

/// A mechanism that can be disabled. [`Mechanism::name`] gives its name on the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Mechanism {
    /// Adapters that were used once are evicted as soon as no request uses them.
    EarlyRelease,
    /// Engines are compared by the prompt tokens queued on them.
    PromptBacklog,
    /// Requests are refused if no slot is expected to become free in time for their adapter.
    SlotWaitForecast,
    /// Adapters are preferably reloaded on an engine that held them before, even if that takes a
    /// short wait for a slot.
    LoadHistory,
    /// No further copies of an adapter are loaded while adapters that no engine holds wait for
    /// slots.
    CopySuppression,
    /// A load request is withdrawn as soon as no request waits for its adapter.
    LoadRequestWithdrawal,
    /// The most used adapters of crowded engines are copied to other engines.
    CrowdedEngineCopies,
    /// Adapters that callers of a data centre often use in another one are copied to it.
    NearCopies,
    /// An adapter is loaded on the engine that held it last.
    LastEngine,
    /// A data centre drops load requests for adapters that another one is loading.
    RemoteLoads,
    /// The number of concurrent loads is adapted to the time that loads take.
    AdaptiveLoadLimit,
    /// Load requests are ordered by the number of requests that wait for them.
    DemandOrder,
    /// Requests that would wait too long on an engine are refused.
    Admission,
    /// Requests wait for the first configuration and for token buckets.
    GracePeriod,
    /// A VM grants tokens from its local allowance while no VM serves the token buckets.
    OutageAllowance,
    /// Controllers grant shares of the token rates while there is no leader.
    QuotaFailover,
    /// Controllers continue to send orders to engines while there is no leader.
    OrdersWithoutLeader,
    /// Requests that crash servers are refused.
    CrashQuarantine,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 18] = [
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
        Self::CrashQuarantine,
    ];

    /// Name on the command line.
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
            Self::CrashQuarantine => "crash_quarantine",
        }
    }
}

/// A name that is not the name of a mechanism.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("without: {name:?} is no mechanism, expected some of {expected}"))]
pub struct UnknownMechanism {
    /// The unknown name.
    pub name: String,
    /// All known names.
    pub expected: String,
}

/// Result of parsing names of mechanisms.
pub type Result<T> = std::result::Result<T, UnknownMechanism>;

/// The set of enabled mechanisms. By default all are enabled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Mechanisms {
    disabled: u32,
}

impl Mechanisms {
    /// The same set without `mechanism`.
    pub fn without(self, mechanism: Mechanism) -> Self {
        Self {
            disabled: self.disabled | bit(mechanism),
        }
    }

    /// Whether `mechanism` is enabled.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.disabled & bit(mechanism) == 0
    }
}

impl FromStr for Mechanisms {
    type Err = UnknownMechanism;

    /// Parses the names of the disabled mechanisms, separated by commas.
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
