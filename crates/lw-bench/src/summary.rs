//! Result rows, their verdict and the summary table.

use std::fmt::Write as _;

/// Which side of the bound is good.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// The value must not be above.
    AtMost(f64),
    /// The value must not be below.
    AtLeast(f64),
    /// The value is shown for comparison only.
    None,
}

/// One measured value.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Name of the case.
    pub case: &'static str,
    /// What was measured.
    pub measure: String,
    /// Unit of all figures of the row.
    pub unit: &'static str,
    /// The same measure with the baseline, if there is one.
    pub baseline: Option<f64>,
    /// The measured value.
    pub value: f64,
    /// The bound, from a stated target.
    pub bound: Bound,
}

impl Row {
    /// Makes the rows of one case.
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

    /// Whether the value keeps its bound.
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

/// The rows as tab-separated values with a header.
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
        let verdict = if row.is_ok() { "ok" } else { "short" };
        let (case, measure, unit, value) = (row.case, &row.measure, row.unit, row.value);
        let _ =
            writeln!(out, "{case}\t{measure}\t{unit}\t{baseline}\t{value:.4}\t{bound}\t{verdict}");
    }
    out
}
