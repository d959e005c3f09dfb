//! The `slopes` command.

use std::fmt::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Mutex;
use std::thread;

use super::slope_plot::draw_plot;
use super::{measure_cost, CostSample, LineFit, SizeAxis};

/// Measurements that run at once; few, so that they do not slow each other.
const THREADS: usize = 4;
/// Columns that are plotted.
const PLOTTED: [&str; 3] = ["decisions_ms", "peer_bytes", "cell_writes"];

/// Measures all sizes, prints fits, and writes CSV and plots to a folder.
pub fn run_slopes(folder: &str) -> ExitCode {
    let samples = measure_all();
    match write_all(Path::new(folder), &samples) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {folder}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure_all() -> Vec<CostSample> {
    let mut open: Vec<(SizeAxis, u32)> = SizeAxis::ALL
        .iter()
        .flat_map(|axis| axis.sizes().map(|size| (*axis, size)))
        .collect();
    open.reverse();
    let open = Mutex::new(open);
    let samples = Mutex::new(Vec::new());
    let next = || open.lock().ok()?.pop();
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((axis, size)) = next() {
                    let sample = measure_cost(axis, size);
                    if let Ok(mut samples) = samples.lock() {
                        samples.push(sample);
                    }
                }
            });
        }
    });
    let mut samples = samples.into_inner().unwrap_or_default();
    samples.sort_by_key(|sample| (sample.axis, sample.size));
    samples
}

fn write_all(folder: &Path, samples: &[CostSample]) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(folder)?;
    let mut csv = format!("axis,size,{}\n", CostSample::COLUMNS.join(","));
    for sample in samples {
        let values = sample.values().map(|value| format!("{value:.3}"));
        writeln!(
            csv,
            "{},{},{}",
            sample.axis.as_str(),
            sample.size,
            values.join(",")
        )?;
    }
    std::fs::write(folder.join("slopes.csv"), csv)?;
    let mut fits = String::from("axis,column,base,slope,residual\n");
    for axis in SizeAxis::ALL {
        for (index, column) in CostSample::COLUMNS.iter().enumerate() {
            let points: Vec<(f64, f64)> = samples
                .iter()
                .filter(|sample| sample.axis == *axis)
                .map(|sample| (f64::from(sample.size), sample.values()[index]))
                .collect();
            let fit = LineFit::through(&points);
            writeln!(
                fits,
                "{},{column},{:.4},{:.6},{:.4}",
                axis.as_str(),
                fit.base,
                fit.slope,
                fit.residual
            )?;
            if PLOTTED.contains(column) {
                let path = folder.join(format!("{}-{column}.svg", axis.as_str()));
                draw_plot(&path, axis.as_str(), column, &points, &fit)?;
            }
        }
    }
    std::fs::write(folder.join("fits.csv"), &fits)?;
    print!("{fits}");
    Ok(())
}
