//! The life cycle of the entry process: settings, log, signals and drain.

use async_std::stream::StreamExt;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;
use marigoldpick_core::prelude::*;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::entry::Entry;
use crate::error::Error;
use crate::settings::Settings;

/// The pattern of a log line: UTC time, level, target and message.
const LOG_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)} {l} {t}: {m}{n}";

/// Runs an entry until SIGTERM or SIGINT, then drains it.
///
/// # Errors
/// Fails when the settings are invalid or an address can't be bound.
pub fn run(file: &str) -> Result<(), Error> {
    let text = std::fs::read_to_string(file).map_err(|source| Error::File {
        file: file.to_owned(),
        source,
    })?;
    let settings = Settings::parse(file, &text).map_err(Error::Settings)?;
    start_log(&settings.log)?;
    async_std::task::block_on(serve(settings))
}

/// Directs log lines to standard error.
///
/// # Errors
/// Fails when the level is unknown or a logger is already installed.
pub fn start_log(level: &str) -> Result<(), Error> {
    let level = level
        .parse()
        .map_err(|_source| Error::Log(format!("unknown level '{level}'")))?;
    let console = ConsoleAppender::builder()
        .target(log4rs::append::console::Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(LOG_PATTERN)))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .map_err(|error| Error::Log(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| Error::Log(error.to_string()))?;
    Ok(())
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Error::Thread)?;
    let longest = settings.span.drain_ms;
    let entry = Entry::start(settings).await?;
    println!("{}", entry.addresses());
    signals.next().await;
    drain(&entry, longest).await;
    Ok(())
}

async fn drain(entry: &Entry, longest: Millis) {
    log::info!(target: "entry", "Draining; longest={longest}.");
    match async_std::future::timeout(longest.duration(), entry.drain()).await {
        Ok(()) => log::info!(target: "entry", "Drained."),
        Err(_) => log::warn!(target: "entry", "The drain timed out; requests are aborted."),
    }
}
