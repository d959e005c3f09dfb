//! Output to stdout, as tables for people or JSON for programs.

use std::io::Write;

use serde::Serialize;

use super::options::OutputFormat;

/// Prints a line to stdout.
///
/// Ends the process with exit code 0 if the write fails, as when the reader of a pipe has closed it.
pub(crate) fn print_line(line: impl std::fmt::Display) {
    let written = writeln!(std::io::stdout(), "{line}");
    if written.is_err() {
        std::process::exit(0);
    }
}

/// Prints rows under headings, in aligned columns.
pub(crate) fn print_rows(headings: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = headings.iter().map(|heading| heading.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        print_line(padded.join("  ").trim_end());
    };
    line(headings.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}

/// Prints a value as JSON, or calls `table` to print it as a table.
pub(super) fn print_value<T: Serialize>(output: OutputFormat, value: &T, table: impl FnOnce(&T)) {
    match output {
        OutputFormat::Table => table(value),
        OutputFormat::Json => {
            let text = serde_json::to_string_pretty(value).unwrap_or_default();
            print_line(text);
        }
    }
}
