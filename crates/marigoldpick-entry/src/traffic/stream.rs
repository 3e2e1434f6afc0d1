//! Streams large answers to the caller while they are read.
//!
//! The last part is held back until the length and digest of the whole answer are verified. If the
//! answer proves truncated, the caller's stream ends with an error instead of a silent end.

use std::io;

use async_std::io::ReadExt;
use futures::TryStreamExt;
use http_types::Body;
use marigoldpick_core::prelude::*;
use sha2::{Digest, Sha256};

use super::exchange::{Large, hex};

/// The size of the read buffer of one part.
const PART_BYTES: usize = 32 << 10;
/// The most parts that are buffered for a slow caller.
const QUEUED_PARTS: usize = 4;

/// `Sink` receives the parts of an answer.
pub type Sink = async_channel::Sender<io::Result<Vec<u8>>>;

/// Creates a body that yields the parts sent to the sink.
#[must_use]
pub fn body(length: Option<u64>) -> (Sink, Body) {
    let (sink, parts) = async_channel::bounded(QUEUED_PARTS);
    let length = length.and_then(|length| usize::try_from(length).ok());
    let reader = Box::pin(parts).into_async_read();
    (sink, Body::from_reader(reader, length))
}

/// Copies an answer's body to the sink.
///
/// # Errors
/// Fails with `UnknownAnswerCut` when the answer is not whole, and with `NotRunCallerGone` when the
/// caller has disconnected.
pub async fn relay(mut large: Large<'_>, sink: &Sink) -> Result<(), Code> {
    let mut reader = large.response.take_body();
    let mut hash = Sha256::new();
    let mut total = 0;
    let mut last: Option<Vec<u8>> = None;
    loop {
        let mut part = vec![0; PART_BYTES];
        let read = match reader.read(&mut part).await {
            Ok(0) => break,
            Ok(read) => read,
            Err(_) => return Err(Code::UnknownAnswerCut),
        };
        part.truncate(read);
        hash.update(&part);
        total += read as u64;
        if total > large.length.unwrap_or(large.limit) {
            return Err(Code::UnknownAnswerCut);
        }
        if let Some(before) = last.replace(part) {
            send(sink, before).await?;
        }
    }
    if !large.is_whole(total, &hex(&hash.finalize())) {
        return Err(Code::UnknownAnswerCut);
    }
    if let Some(part) = last {
        send(sink, part).await?;
    }
    large.release_connection();
    Ok(())
}

async fn send(sink: &Sink, part: Vec<u8>) -> Result<(), Code> {
    match sink.send(Ok(part)).await {
        Ok(()) => Ok(()),
        Err(_) => Err(Code::NotRunCallerGone),
    }
}
