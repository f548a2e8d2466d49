//! Comparison of secrets and reading of bearer tokens.

use http::HeaderMap;
use subtle::ConstantTimeEq;

/// Compares two secrets in time that does not depend on where they differ.
///
/// ```
/// assert!(lw_transport::auth::is_equal("abc", "abc"));
/// assert!(!lw_transport::auth::is_equal("abc", "abd"));
/// ```
#[must_use]
pub fn is_equal(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// The token of an `Authorization: Bearer` header; the case of the scheme does not matter.
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// headers.insert("authorization", "Bearer key".parse().unwrap());
/// assert_eq!(lw_transport::auth::bearer(&headers), Some("key"));
/// ```
#[must_use]
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let (scheme, token) =
        headers.get(http::header::AUTHORIZATION)?.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(token.trim())
}
