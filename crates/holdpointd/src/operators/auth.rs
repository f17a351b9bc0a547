//! Authentication of operators by bearer token.

use axum::http::{HeaderMap, header};
use holdpoint_core::ids::sha256_hex;
use subtle::ConstantTimeEq;

use crate::{operators::Refusal, shared::Shared};

/// Name of the operator whose token is in the headers. Hashes are compared in constant time.
pub(crate) fn operator<'a>(shared: &'a Shared, headers: &HeaderMap) -> Result<&'a str, Refusal> {
    let bearer = headers.get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
    let token = bearer.and_then(|it| it.strip_prefix("Bearer ")).ok_or(Refusal::Unauthorized)?;
    let hash = sha256_hex(token.as_bytes());
    let is_same = |it: &str| bool::from(it.as_bytes().ct_eq(hash.as_bytes()));
    let found = shared.settings.operators.iter().find(|it| is_same(&it.token_sha256));
    found.map(|it| it.name.as_str()).ok_or(Refusal::Unauthorized)
}
