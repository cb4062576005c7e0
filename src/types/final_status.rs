//! Which statuses end an exchange.

use std::ops::RangeInclusive;

use http::StatusCode;

/// Statuses of final answers. Those below are interim ones, and 101 answers only who asks for another protocol,
/// which no VM does. Those above are outside the classes of HTTP.
const FINAL: RangeInclusive<u16> = 200..=599;

/// Whether `status` is that of a final answer.
pub fn is_final(status: StatusCode) -> bool {
    FINAL.contains(&status.as_u16())
}
