//! A straight line through measured points, with its error.

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Count of the factor.
    pub x: f64,
    /// The measured value.
    pub y: f64,
}

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Increase per unit of `x`.
    pub slope: f64,
    /// Value at `x` = 0.
    pub intercept: f64,
    /// The largest residual, as a share of the largest measured value.
    pub error: f64,
}

impl Line {
    /// Fits a line through points; `None` for fewer than two points, or where all have the same `x`.
    #[must_use]
    pub fn fit(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let common: f64 = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum();
        let slope = common / spread;
        let intercept = mean_y - slope * mean_x;
        let residual = |point: &Point| (point.y - intercept - slope * point.x).abs();
        let largest_residual = points.iter().map(residual).fold(0.0, f64::max);
        let largest_value = points.iter().map(|point| point.y.abs()).fold(0.0, f64::max);
        let error = if largest_value == 0.0 { 0.0 } else { largest_residual / largest_value };
        Some(Self { slope, intercept, error })
    }
}

/// The median, and 0 without values; of an even number of values, the upper one of the two in the middle.
#[must_use]
pub fn median(values: impl IntoIterator<Item = f64>) -> f64 {
    let mut values: Vec<_> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
