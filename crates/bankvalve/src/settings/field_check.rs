//! Checks of single fields. A failed check returns the field and what was expected of it.

/// Maximum length of the name of an instance, region or failure domain, in bytes.
const MAX_NAME_BYTES: usize = 60;

pub(super) fn check_name(field: &str, name: &str) -> Result<(), (String, String)> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed) {
        return Ok(());
    }
    let expected = format!("expected 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
    Err((field.to_owned(), expected))
}

pub(super) fn check_positive(field: &str, value: f64, max: f64) -> Result<(), (String, String)> {
    if value > 0.0 && value <= max {
        return Ok(());
    }
    let expected = format!("expected more than 0 and at most {max}, found {value}");
    Err((field.to_owned(), expected))
}

pub(super) fn check_range(
    field: &str,
    value: u64,
    min: u64,
    max: u64,
) -> Result<(), (String, String)> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    let expected = format!("expected {min} to {max}, found {value}");
    Err((field.to_owned(), expected))
}
