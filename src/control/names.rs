//! Validation of names that operators choose.

use crate::control::FieldError;

/// Longest name of a template, account, route, service, VM or data centre.
pub const MAX_NAME_LEN: usize = 63;

/// Checks a name that appears in paths, metrics and logs.
pub(super) fn check(field: &str, name: &str) -> Result<(), FieldError> {
    let starts_with_alphanumeric = name.starts_with(|c: char| c.is_ascii_alphanumeric());
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if starts_with_alphanumeric && name.len() <= MAX_NAME_LEN && name.chars().all(is_allowed) {
        return Ok(());
    }
    let allowed =
        format!("1 to {MAX_NAME_LEN} letters, digits, -, _ or ., not starting with -, _ or .");
    Err(FieldError::new(field, name, allowed))
}

/// Checks an id that a client chose for a change or a job.
pub(super) fn check_id(field: &str, id: &str) -> Result<(), FieldError> {
    if (1..=MAX_NAME_LEN).contains(&id.len()) && id.chars().all(|c| c.is_ascii_graphic()) {
        return Ok(());
    }
    let allowed = format!("1 to {MAX_NAME_LEN} printable ASCII characters without spaces");
    Err(FieldError::new(field, id, allowed))
}
