//! A straight line through measured points, with its error.

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// How many there are of what grows.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// The line of least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// What one more adds.
    pub slope: f64,
    /// What there is without any.
    pub intercept: f64,
    /// The largest distance of a point from the line, as a share of the largest measured value.
    pub error: f64,
}

impl Line {
    /// Through at least two points that don't all have one `x`; `None` for others.
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

/// The middle one of some values, and 0 of none; the upper one where two are in the middle.
#[must_use]
pub fn median(values: impl IntoIterator<Item = f64>) -> f64 {
    let mut values: Vec<_> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
