//! Watches on resources, as a stream of JSON events, one per line.

use std::convert::Infallible;

use axum::{
    body::{Body, Bytes},
    http::header,
    response::{IntoResponse, Response},
};
use futures::{StreamExt, stream};
use tokio_stream::wrappers::{BroadcastStream, errors::BroadcastStreamRecvError};

use crate::{
    control::{Input, WatchEvent, WatchStart},
    operators::{Refusal, ask_control},
    shared::{Shared, wait_until_set},
};

/// Starts a watch on a kind from a version.
pub(crate) async fn watch(shared: &Shared, kind: String, from: u64) -> Result<Response, Refusal> {
    let watched = kind.clone();
    let start = ask_control(shared, |reply| Input::Watch { kind, from, reply }).await?;
    let WatchStart::From(before, changes) = start else { return Err(Refusal::TooOld) };
    let after = before.iter().map(|it| it.version).max().unwrap_or(from);
    let mut hand_over = shared.hand_over.subscribe();
    let later = BroadcastStream::new(changes)
        .take_while(|it| {
            // A watch that falls behind ends with an error event.
            let has_lagged = matches!(it, Err(BroadcastStreamRecvError::Lagged(_)));
            std::future::ready(!has_lagged)
        })
        .filter_map(|it| std::future::ready(it.ok()))
        .filter(move |it| std::future::ready(it.kind == watched && after < it.version))
        .map(|it| line(&it))
        .chain(stream::iter([Bytes::from_static(b"{\"error\":\"too-old\"}\n")]))
        .take_until(async move {
            // A stopping instance ends its watches; clients resume them at another instance.
            wait_until_set(&mut hand_over).await;
        });
    let before: Vec<Bytes> = before.iter().map(line).collect();
    let lines = stream::iter(before).chain(later).map(Ok::<Bytes, Infallible>);
    let headers = [(header::CONTENT_TYPE, "application/x-ndjson")];
    Ok((headers, Body::from_stream(lines)).into_response())
}

fn line(event: &WatchEvent) -> Bytes {
    let mut text = serde_json::to_vec(event).unwrap_or_default();
    text.push(b'\n');
    Bytes::from(text)
}
