//! Large answers: passed on while they are read, verified before their last part is let go.
//!
//! The caller's copy ends with an error, never quietly short, when the answer turns out cut. The last
//! part read is held back until length and digest are right.

use std::io;

use async_std::io::ReadExt;
use futures::TryStreamExt;
use http_types::Body;
use marigoldpick_core::prelude::*;
use sha2::{Digest, Sha256};

use super::exchange::{Large, digest};

/// The size of one part.
const PART: usize = 32 << 10;
/// Parts that wait for the caller.
const PARTS: usize = 4;

/// `Sink` takes the parts of an answer.
pub type Sink = async_channel::Sender<io::Result<Vec<u8>>>;

/// Makes a body from the parts that go into the sink.
#[must_use]
pub fn body(length: Option<u64>) -> (Sink, Body) {
    let (sink, parts) = async_channel::bounded(PARTS);
    let length = length.and_then(|length| usize::try_from(length).ok());
    let reader = Box::pin(parts).into_async_read();
    (sink, Body::from_reader(reader, length))
}

/// Passes an answer's body on.
///
/// # Errors
/// Fails with `UnknownAnswerCut` when it is not whole, `NotRunCallerGone` when nobody takes it.
pub async fn pass(mut large: Large<'_>, sink: &Sink) -> Result<(), Code> {
    let mut reader = large.response.take_body();
    let mut hash = Sha256::new();
    let mut total = 0;
    let mut last: Option<Vec<u8>> = None;
    loop {
        let mut part = vec![0; PART];
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
    if !large.verify(total, &digest(&hash.finalize())) {
        return Err(Code::UnknownAnswerCut);
    }
    if let Some(part) = last {
        send(sink, part).await?;
    }
    large.done();
    Ok(())
}

async fn send(sink: &Sink, part: Vec<u8>) -> Result<(), Code> {
    match sink.send(Ok(part)).await {
        Ok(()) => Ok(()),
        Err(_) => Err(Code::NotRunCallerGone),
    }
}
