//! Parses JSON with comments and reports the line and field of an invalid value.

use std::fmt;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{parse_to_ast, parse_to_serde_value, CollectOptions, ParseOptions};
use serde::de::DeserializeOwned;

/// An invalid value in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Line in the file, counted from 1.
    pub line: usize,
    /// Path of the field, such as `listen.callers`, or `file` if the problem concerns the whole file.
    pub field: String,
    /// What was expected, or an error message.
    pub expected: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.expected)
    }
}

impl std::error::Error for SettingsProblem {}

/// Returns parser options that allow comments and trailing commas, and otherwise require strict JSON.
fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// A text and its syntax tree, which give the line of a field.
pub(super) struct ParsedText<'a> {
    text: &'a str,
    root: Option<Value<'a>>,
}

impl<'a> ParsedText<'a> {
    fn new(text: &'a str) -> Result<Self, SettingsProblem> {
        let options = strict_options();
        let parsed = parse_to_ast(text, &CollectOptions::default(), &options);
        match parsed {
            Ok(result) => Ok(Self {
                text,
                root: result.value,
            }),
            Err(error) => Err(SettingsProblem {
                line: error.line_display(),
                field: "file".into(),
                expected: format!("expected JSON with comments: {}", error.kind()),
            }),
        }
    }

    fn line_at(&self, position: usize) -> usize {
        1 + self.text[..position.min(self.text.len())]
            .matches('\n')
            .count()
    }

    /// Returns the line of a field, or of its innermost parent that is in the text.
    pub(super) fn line_of(&self, path: &str) -> usize {
        let Some(mut value) = self.root.as_ref() else {
            return 1;
        };
        let mut position = value.range().start;
        for part in split_path(path) {
            let next = match value {
                Value::Object(object) => object
                    .properties
                    .iter()
                    .find(|property| property.name.as_str() == part)
                    .map(|property| (property.range.start, &property.value)),
                Value::Array(array) => part
                    .parse::<usize>()
                    .ok()
                    .and_then(|index| array.elements.get(index))
                    .map(|element| (element.range().start, element)),
                _ => None,
            };
            let Some((start, inner)) = next else { break };
            position = start;
            value = inner;
        }
        self.line_at(position)
    }
}

fn split_path(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '[', ']']).filter(|part| !part.is_empty())
}

/// Parses JSON with comments into a value.
///
/// `check` validates the parsed value. For an invalid value it returns the path of the field and what was
/// expected of it.
///
/// # Errors
///
/// Returns the first problem, with its line and field.
///
/// # Examples
///
/// ```
/// use bankvalve::settings::parse_jsonc;
/// use bankvalve_cell::machine::TaskSize;
///
/// let text = "{\n  // a small task\n  \"millicores\": 500,\n  \"memory\": 1\n}";
/// let problem = parse_jsonc::<TaskSize>(text, |_| Ok(())).unwrap_err();
/// assert_eq!((problem.line, problem.field.as_str()), (4, "memory"));
/// ```
pub fn parse_jsonc<T: DeserializeOwned>(
    text: &str,
    check: impl Fn(&T) -> Result<(), (String, String)>,
) -> Result<T, SettingsProblem> {
    let parsed = ParsedText::new(text)?;
    if parsed.root.is_none() {
        return Err(SettingsProblem {
            line: 1,
            field: "file".into(),
            expected: "expected an object, found nothing".into(),
        });
    }
    let value = parse_to_serde_value::<serde_json::Value>(text, &strict_options());
    let value = value.map_err(|error| SettingsProblem {
        line: 1,
        field: "file".into(),
        expected: error.to_string(),
    })?;
    if let Some(problem) = find_duplicate(&parsed, parsed.root.as_ref(), "") {
        return Err(problem);
    }
    let typed: T = serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let message = error.inner().to_string();
        let field = field_of_error(&path, &message);
        SettingsProblem {
            line: parsed.line_of(&field),
            field,
            expected: message,
        }
    })?;
    check(&typed).map_err(|(field, expected)| SettingsProblem {
        line: parsed.line_of(&field),
        field,
        expected,
    })?;
    Ok(typed)
}

/// Returns the path of the field that a deserialization error is about.
///
/// The error path of an unknown or missing field may end at its parent. The name of the field is then taken
/// from the error message and appended.
fn field_of_error(path: &str, message: &str) -> String {
    let named = ["unknown field `", "missing field `"]
        .iter()
        .find_map(|start| message.strip_prefix(start))
        .and_then(|rest| rest.split('`').next());
    let ends_with = |name: &str| path == name || path.ends_with(&format!(".{name}"));
    match named {
        Some(name) if path == "." => name.to_owned(),
        Some(name) if !ends_with(name) => format!("{path}.{name}"),
        _ if path == "." => "file".to_owned(),
        _ => path.to_owned(),
    }
}

fn find_duplicate(
    parsed: &ParsedText<'_>,
    value: Option<&Value<'_>>,
    path: &str,
) -> Option<SettingsProblem> {
    match value? {
        Value::Object(object) => {
            let mut seen = std::collections::BTreeSet::new();
            for property in &object.properties {
                let name = property.name.as_str();
                let field = if path.is_empty() {
                    name.to_owned()
                } else {
                    format!("{path}.{name}")
                };
                if !seen.insert(name.to_owned()) {
                    return Some(SettingsProblem {
                        line: parsed.line_at(property.range.start),
                        field,
                        expected: "expected each key once".into(),
                    });
                }
                let inner = find_duplicate(parsed, Some(&property.value), &field);
                if inner.is_some() {
                    return inner;
                }
            }
            None
        }
        Value::Array(array) => array
            .elements
            .iter()
            .enumerate()
            .find_map(|(index, element)| {
                find_duplicate(parsed, Some(element), &format!("{path}[{index}]"))
            }),
        _ => None,
    }
}
