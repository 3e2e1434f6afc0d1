//! `status` and `explain`: what an entry knows.

use marigoldpick_core::code::Code;
use marigoldpick_core::id;

use super::{Outcome, none, only, print_json, usage};
use crate::arguments;
use crate::client::Client;
use crate::render;

pub(super) async fn status(arguments: &arguments::Status) -> Outcome {
    none(&arguments.words)?;
    let status = Client::new(&arguments.entry)?.status().await?;
    if arguments.json {
        print_json(&status);
    } else {
        say!("{}", render::status(&status).trim_end());
    }
    Ok(Code::Done)
}

pub(super) async fn explain(arguments: &arguments::Explain) -> Outcome {
    let word = only(&arguments.words, "the task")?;
    let task: id::Task = word
        .parse()
        .map_err(|error| usage(&format!("'{word}': {error}")))?;
    let explain = Client::new(&arguments.entry)?.explain(&task).await?;
    if arguments.json {
        print_json(&explain);
    } else {
        say!("{}", render::explain(&explain).trim_end());
    }
    Ok(Code::Done)
}
