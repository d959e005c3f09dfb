//! Checks of single fields, which say what was expected.

/// Longest name of an instance, region or failure domain, in bytes.
const NAME_LIMIT: usize = 60;

pub(super) fn check_name(field: &str, name: &str) -> Result<(), (String, String)> {
    let letters = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if !name.is_empty() && name.len() <= NAME_LIMIT && name.bytes().all(letters) {
        return Ok(());
    }
    let expected = format!("expected 1 to {NAME_LIMIT} letters, digits, '-', '_' or '.'");
    Err((field.to_owned(), expected))
}

pub(super) fn check_positive(field: &str, value: f64, most: f64) -> Result<(), (String, String)> {
    if value > 0.0 && value <= most {
        return Ok(());
    }
    let expected = format!("expected more than 0 and at most {most}, found {value}");
    Err((field.to_owned(), expected))
}

pub(super) fn check_range(
    field: &str,
    value: u64,
    least: u64,
    most: u64,
) -> Result<(), (String, String)> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    let expected = format!("expected {least} to {most}, found {value}");
    Err((field.to_owned(), expected))
}
