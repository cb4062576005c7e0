//! Patience classes.

use serde::Deserialize;
use serde::Serialize;

/// How long a caller is willing to wait.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Patience {
    /// Interactive: a person waits for the answer.
    Urgent,
    /// Batch: the answer is due by a deadline that may be hours away.
    Patient,
}

impl Patience {
    /// The name used in headers, settings and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Patient => "patient",
        }
    }

    /// Parses the name used in headers and settings.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "urgent" => Some(Self::Urgent),
            "patient" => Some(Self::Patient),
            _ => None,
        }
    }
}
