//! Rows of the summary table and their comparison with bounds.

use std::fmt::Write as _;

/// Bound on a value, from a stated target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// The value must not be larger.
    AtMost(f64),
    /// The value must not be smaller.
    AtLeast(f64),
    /// No bound; the value is shown for comparison only.
    None,
}

/// Row of the summary table.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Name of the case.
    pub case: &'static str,
    /// Name of the measure.
    pub measure: String,
    /// Unit of the value, the baseline and the bound.
    pub unit: &'static str,
    /// Value of the baseline for the same measure, if there is one.
    pub baseline: Option<f64>,
    /// Measured value.
    pub value: f64,
    /// Bound on the value.
    pub bound: Bound,
}

impl Row {
    /// Returns a function that creates the rows of one case.
    ///
    /// ```
    /// use lw_bench::summary::{Bound, Row};
    /// let row = Row::of("retries");
    /// assert_eq!(row("amplification", "ratio", None, 1.05, Bound::None).case, "retries");
    /// ```
    pub fn of(
        case: &'static str,
    ) -> impl Fn(&str, &'static str, Option<f64>, f64, Bound) -> Self + Copy {
        move |measure, unit, baseline, value, bound| Self {
            case,
            measure: measure.into(),
            unit,
            baseline,
            value,
            bound,
        }
    }

    /// Whether the value is within its bound.
    ///
    /// ```
    /// use lw_bench::summary::{Bound, Row};
    /// let row = Row {
    ///     case: "retries",
    ///     measure: "amplification".into(),
    ///     unit: "ratio",
    ///     baseline: Some(2.0),
    ///     value: 1.05,
    ///     bound: Bound::AtMost(1.1),
    /// };
    /// assert!(row.is_ok());
    /// ```
    #[must_use]
    pub fn is_ok(&self) -> bool {
        match self.bound {
            Bound::AtMost(bound) => self.value <= bound,
            Bound::AtLeast(bound) => self.value >= bound,
            Bound::None => true,
        }
    }
}

/// Formats the rows as tab-separated values with a header line.
///
/// ```
/// assert!(lw_bench::summary::to_tsv(&[]).starts_with("case\tmeasure"));
/// ```
#[must_use]
pub fn to_tsv(rows: &[Row]) -> String {
    let mut out = String::from("case\tmeasure\tunit\tbaseline\tvalue\tbound\tverdict\n");
    for row in rows {
        let baseline = row.baseline.map_or("-".to_owned(), |b| format!("{b:.4}"));
        let bound = match row.bound {
            Bound::AtMost(bound) => format!("<={bound}"),
            Bound::AtLeast(bound) => format!(">={bound}"),
            Bound::None => "-".to_owned(),
        };
        let result = if row.is_ok() { "ok" } else { "short" };
        let (case, measure, unit, value) = (row.case, &row.measure, row.unit, row.value);
        let _ =
            writeln!(out, "{case}\t{measure}\t{unit}\t{baseline}\t{value:.4}\t{bound}\t{result}");
    }
    out
}
