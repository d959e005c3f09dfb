//! A straight line through points, by least squares.

/// A straight line through points.
///
/// # Examples
///
/// ```
/// use bankvalve_check::slopes::LineFit;
///
/// let fit = LineFit::through(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
/// assert!((fit.slope - 2.0).abs() < 1e-9 && fit.residual < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Value at zero.
    pub base: f64,
    /// Rise for each unit.
    pub slope: f64,
    /// Root mean square of what the line misses.
    pub residual: f64,
}

impl LineFit {
    /// Fits a line through points.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let joint: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let base = mean_y - slope * mean_x;
        let missed: f64 = points
            .iter()
            .map(|point| (point.1 - base - slope * point.0).powi(2))
            .sum();
        Self {
            base,
            slope,
            residual: (missed / count).sqrt(),
        }
    }

    /// The line's value at a place.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
