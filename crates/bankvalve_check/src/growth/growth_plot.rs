//! A plot of how the busiest instance grows, with both axes by powers of ten.

use std::path::Path;

use plotters::prelude::*;

use super::GrowthTable;

/// Size of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (760, 480);

/// Draws each quantity of the busiest instance, as a multiple of that at the smallest size.
///
/// # Errors
///
/// Returns what could not be drawn or written.
pub(super) fn draw_growth(
    path: &Path,
    table: &GrowthTable,
) -> Result<(), Box<dyn std::error::Error>> {
    let first = table.sizes.iter().copied().fold(f64::MAX, f64::min);
    let last = table.sizes.iter().copied().fold(1.0, f64::max);
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d((first..last).log_scale(), (0.1..100.0).log_scale())?;
    let times = "busiest instance, times that of the smallest site";
    chart
        .configure_mesh()
        .x_desc("instances")
        .y_desc(times)
        .draw()?;
    let drawn = table.rows.iter().filter(|row| row.points[0].1 > 0.0);
    for (number, row) in drawn.enumerate() {
        let base = row.points[0].1;
        let points = table.sizes.iter().zip(&row.points);
        let points = points.map(|(size, (_, busiest))| (*size, (busiest / base).max(0.1)));
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(row.quantity.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
