//! Resume tokens: the authenticated position of a caller's stream, from which any instance can resume it.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::ids::Name;

/// Length of the truncated HMAC in a token.
const TAG_BYTES: usize = 16;

/// Position of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Organisation that may resume the stream.
    #[serde(rename = "o")]
    pub organisation: Name,
    /// Pipeline.
    #[serde(rename = "p")]
    pub pipeline: Name,
    /// Request id.
    #[serde(rename = "r")]
    pub request: String,
    /// Stage that streams.
    #[serde(rename = "s")]
    pub stage: Name,
    /// Address of the target that streams.
    #[serde(rename = "t")]
    pub target: String,
    /// Attempt id, by which the target identifies the stream.
    #[serde(rename = "a")]
    pub attempt: String,
    /// Index of the next chunk.
    #[serde(rename = "n")]
    pub next: u64,
}

/// A key that signs and verifies tokens.
#[derive(Clone, Debug)]
pub struct TokenKey {
    /// Key id carried in the token.
    pub id: u32,
    /// Secret shared by all instances.
    pub secret: Vec<u8>,
}

/// Why a token is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadToken {
    /// The token is malformed.
    Format,
    /// The token is signed by an unknown key.
    Key,
    /// The tag does not match.
    Tag,
}

/// Makes a token signed by the first key.
///
/// # Panics
///
/// Panics if `keys` is empty, which the settings don't allow.
pub fn seal(position: &Place, keys: &[TokenKey]) -> String {
    let key = &keys[0];
    let body = serde_json::to_vec(position).expect("a position has string keys only");
    let tag = tag(key, &body).finalize().into_bytes();
    let encoded = URL_SAFE_NO_PAD.encode(&body);
    format!("{}.{encoded}.{}", key.id, URL_SAFE_NO_PAD.encode(&tag[..TAG_BYTES]))
}

/// Verifies a token by `keys` and reads its position.
pub fn open(token: &str, keys: &[TokenKey]) -> Result<Place, BadToken> {
    let mut parts = token.splitn(3, '.');
    let mut part = || parts.next().ok_or(BadToken::Format);
    let (id, body, received_tag) = (part()?, part()?, part()?);
    let id: u32 = id.parse().map_err(|_| BadToken::Format)?;
    let body = URL_SAFE_NO_PAD.decode(body).map_err(|_| BadToken::Format)?;
    let received_tag = URL_SAFE_NO_PAD.decode(received_tag).map_err(|_| BadToken::Format)?;
    if received_tag.len() != TAG_BYTES {
        return Err(BadToken::Format);
    }
    let key = keys.iter().find(|it| it.id == id).ok_or(BadToken::Key)?;
    tag(key, &body).verify_truncated_left(&received_tag).map_err(|_| BadToken::Tag)?;
    serde_json::from_slice(&body).map_err(|_| BadToken::Format)
}

/// Reads the position in a token without verifying the signature; only for a caller's own use.
pub fn peek(token: &str) -> Option<Place> {
    let body = token.split('.').nth(1)?;
    serde_json::from_slice(&URL_SAFE_NO_PAD.decode(body).ok()?).ok()
}

fn tag(key: &TokenKey, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("any length is a key");
    mac.update(body);
    mac
}
