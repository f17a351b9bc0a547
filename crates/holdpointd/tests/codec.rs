//! Instances of two versions talk while one replaces the other: a field more on either side.

use std::pin::Pin;

use bytes::BytesMut;
use holdpoint_schema::peer::Digest;
use serde::{Deserialize, Serialize};
use tokio_serde::{Deserializer, Serializer, formats::Cbor};

/// The digest of a later version.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct LaterDigest {
    from: String,
    #[serde(default)]
    mood: Option<String>,
    head: u64,
    version: u64,
    seen: u64,
}

fn over_the_wire<A: Serialize + Unpin, B: for<'de> Deserialize<'de> + Unpin>(value: &A) -> B {
    let mut codec: Cbor<B, A> = Cbor::default();
    let bytes = Pin::new(&mut codec).serialize(value).unwrap();
    Pin::new(&mut codec).deserialize(&BytesMut::from(&bytes[..])).unwrap()
}

#[test]
fn a_field_that_is_not_known_is_passed_over() {
    let mood = Some("calm".to_owned());
    let later = LaterDigest { from: "a".into(), mood, head: 3, version: 1, seen: 2 };
    let digest: Digest = over_the_wire(&later);
    assert_eq!((digest.from.as_str(), digest.head, digest.seen), ("a", 3, 2));
}

#[test]
fn a_field_that_is_absent_has_its_default() {
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
    let later: LaterDigest = over_the_wire(&digest);
    assert_eq!(later, LaterDigest { from: "a".into(), mood: None, head: 3, version: 1, seen: 2 });
}
