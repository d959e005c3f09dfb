//! The command: a table of growth as Markdown, with its plot.

use std::path::Path;
use std::process::ExitCode;

use super::growth_plot::draw_growth;
use super::{GrowthRow, GrowthTable};

/// Reads a table of growth from a file, prints it as Markdown and draws it.
pub fn run_growth(file: &str, plot: Option<&str>) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return fail(&format!("{file}: {error}")),
    };
    let table = match GrowthTable::parse(&text) {
        Ok(table) => table,
        Err(problem) => return fail(&format!("{file}: {problem}")),
    };
    print_table(&table);
    match plot.map(|plot| draw_growth(Path::new(plot), &table)) {
        Some(Err(error)) => fail(&format!("--plot: {error}")),
        _ => ExitCode::SUCCESS,
    }
}

fn fail(problem: &str) -> ExitCode {
    eprintln!("error: {problem}");
    ExitCode::FAILURE
}

fn print_table(table: &GrowthTable) {
    let sizes: Vec<String> = table.sizes.iter().map(f64::to_string).collect();
    println!(
        "| middle / busiest, at instances | {} | power |",
        sizes.join(" | ")
    );
    println!("|---|{}---|", "---|".repeat(sizes.len()));
    for row in &table.rows {
        println!("{}", row_text(row, &table.sizes));
    }
}

fn row_text(row: &GrowthRow, sizes: &[f64]) -> String {
    let points = row.points.iter();
    let points = points.map(|(middle, busiest)| format!("{middle} / {busiest}"));
    let points: Vec<String> = points.collect();
    let power = row.power(sizes);
    let power = power.map_or_else(|| "-".to_owned(), |power| format!("{power:.2}"));
    format!("| {} | {} | {power} |", row.quantity, points.join(" | "))
}
