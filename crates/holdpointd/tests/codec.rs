//! Peer messages between instances of two versions, which run side by side during a rollout: fields that only one
//! side has must not break decoding.

use std::pin::Pin;

use bytes::BytesMut;
use holdpoint_schema::peer::Digest;
use serde::{Deserialize, Serialize};
use tokio_serde::{Deserializer, Serializer, formats::Cbor};

/// `Digest` as a later version might define it, with one field more.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct LaterDigest {
    from: String,
    #[serde(default)]
    mood: Option<String>,
    head: u64,
    version: u64,
    seen: u64,
}

fn round_trip<A: Serialize + Unpin, B: for<'de> Deserialize<'de> + Unpin>(value: &A) -> B {
    let mut codec: Cbor<B, A> = Cbor::default();
    let bytes = Pin::new(&mut codec).serialize(value).unwrap();
    Pin::new(&mut codec).deserialize(&BytesMut::from(&bytes[..])).unwrap()
}

#[test]
fn unknown_fields_are_ignored() {
    let mood = Some("calm".to_owned());
    let later = LaterDigest { from: "a".into(), mood, head: 3, version: 1, seen: 2 };
    let digest: Digest = round_trip(&later);
    assert_eq!((digest.from.as_str(), digest.head, digest.seen), ("a", 3, 2));
}

#[test]
fn absent_fields_have_their_default() {
    let digest = Digest {
        from: "a".into(),
        head: 3,
        confirmed_ms: None,
        version: 1,
        seen: 2,
        members: Vec::new(),
        acks: Vec::new(),
        leaving: Vec::new(),
    };
    let later: LaterDigest = round_trip(&digest);
    assert_eq!(later, LaterDigest { from: "a".into(), mood: None, head: 3, version: 1, seen: 2 });
}
