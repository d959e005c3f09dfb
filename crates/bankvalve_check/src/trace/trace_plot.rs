//! A plot of where the time of jobs goes.

use std::path::Path;

use plotters::prelude::*;

use super::JobStage;

/// Size of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (720, 360);
/// Colours of the stages, in order.
const COLOURS: [RGBColor; 5] = [
    RGBColor(200, 80, 60),
    RGBColor(230, 160, 60),
    RGBColor(90, 140, 200),
    RGBColor(120, 180, 120),
    RGBColor(150, 110, 180),
];

/// Draws a bar for each kind of job, made of the medians of its stages in milliseconds.
///
/// # Errors
///
/// Returns what could not be drawn or written.
pub(super) fn draw_stages(
    path: &Path,
    bars: &[(String, Vec<f64>)],
) -> Result<(), Box<dyn std::error::Error>> {
    let wholes = bars.iter().map(|(_, stages)| stages.iter().sum::<f64>());
    let most = wholes.fold(1.0_f64, f64::max) * 1.1;
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..bars.len() as f64, 0.0..most)?;
    let name_of = |place: &f64| {
        let name = bars.get(*place as usize).map(|(name, _)| name.clone());
        name.unwrap_or_default()
    };
    let names: Vec<&str> = JobStage::ALL.iter().map(|stage| stage.as_str()).collect();
    let axis = format!(
        "median ms: {} from below",
        names[..COLOURS.len()].join(", ")
    );
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars.len() * 2 + 1)
        .x_label_formatter(&name_of)
        .y_desc(axis)
        .draw()?;
    for (place, (_, stages)) in bars.iter().enumerate() {
        let (left, right) = (place as f64 + 0.2, place as f64 + 0.8);
        let mut below = 0.0;
        for (stage, colour) in stages.iter().zip(COLOURS) {
            let above = below + stage;
            let area = Rectangle::new([(left, below), (right, above)], colour.filled());
            chart.draw_series(std::iter::once(area))?;
            below = above;
        }
    }
    root.present()?;
    Ok(())
}
