//! Comparison of secrets, reading of bearer tokens, and authentication codes of messages.

use hmac::{Hmac, Mac};
use http::HeaderMap;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of an authentication code, the first half of an HMAC-SHA256.
const AUTH_CODE_BYTES: usize = 16;

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

/// Returns the token of an `Authorization: Bearer` header; the case of the scheme does not matter.
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// headers.insert("authorization", "Bearer key".parse().unwrap());
/// assert_eq!(lw_transport::auth::bearer_token(&headers), Some("key"));
/// ```
#[must_use]
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let (scheme, token) =
        headers.get(http::header::AUTHORIZATION)?.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(token.trim())
}

/// Returns a message with its authentication code in front.
///
/// ```
/// use lw_transport::auth::{sign, verify};
/// let signed = sign(b"key", b"message");
/// assert_eq!(verify(b"key", &signed), Some(&b"message"[..]));
/// assert_eq!(verify(b"another", &signed), None);
/// ```
#[must_use]
pub fn sign(key: &[u8], message: &[u8]) -> Vec<u8> {
    let mut signed = Vec::with_capacity(message.len() + AUTH_CODE_BYTES);
    signed.extend_from_slice(&message_mac(key, message).finalize().into_bytes()[..AUTH_CODE_BYTES]);
    signed.extend_from_slice(message);
    signed
}

/// Returns the message behind its authentication code, if the code is valid.
#[must_use]
pub fn verify<'a>(key: &[u8], signed: &'a [u8]) -> Option<&'a [u8]> {
    let (code_bytes, message) = signed.split_at_checked(AUTH_CODE_BYTES)?;
    message_mac(key, message).verify_truncated_left(code_bytes).is_ok().then_some(message)
}

fn message_mac(key: &[u8], message: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key)
        .unwrap_or_else(|e| unreachable!("HMAC accepts keys of any length: {e}"));
    mac.update(message);
    mac
}
