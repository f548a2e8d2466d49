//! Aligned tables of text.

/// Formats rows under a header; each column is as wide as its longest cell.
///
/// ```
/// let rows = vec![vec!["vm-1".to_owned(), "alive".to_owned()]];
/// let text = lw_cli::table::format(&["PEER", "STATE"], &rows);
/// assert_eq!(text, "PEER  STATE\nvm-1  alive\n");
/// ```
#[must_use]
pub fn format(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(ToString::to_string).collect();
    let all_rows = || std::iter::once(&header).chain(rows);
    let width = |column: usize| {
        all_rows()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let mut text = String::new();
    for row in all_rows() {
        let cells: Vec<_> =
            row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
