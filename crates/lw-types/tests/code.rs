//! Guards against result codes that differ from the documented table or say that a refused request was executed.

use lw_types::prelude::*;

fn documented_row(code: ResultCode) -> String {
    let retry = if code.may_retry() { "yes" } else { "no" };
    format!(
        "| {} | `{}` | {} | {} | {retry} |",
        code.number(),
        code.name(),
        code.http_status(),
        code.executed()
    )
}

// Failure: a code or one of its properties is changed or added without the documented table.
#[test]
fn table_in_docs_matches_code() {
    let page = include_str!("../../../docs/result-codes.md");
    for &code in ResultCode::ALL {
        let row = documented_row(code);
        assert!(page.contains(&row), "docs/result-codes.md lacks: {row}");
    }
    let rows = page.lines().filter(|line| line.starts_with("| ") && line.contains('`')).count();
    assert_eq!(rows, ResultCode::ALL.len(), "docs/result-codes.md has extra rows");
}

// Failure: two codes have the same number, so clients cannot tell them apart.
#[test]
fn numbers_are_unique_and_ascending() {
    assert!(ResultCode::ALL.windows(2).all(|w| w[0].number() < w[1].number()));
}

// Failure: a refusal says that an upstream executed the request.
#[test]
fn refusals_never_say_that_the_request_was_executed() {
    for code in ResultCode::ALL.iter().filter(|c| (2000..4000).contains(&c.number())) {
        assert_ne!(code.executed(), Executed::Yes, "{code:?}");
    }
}
