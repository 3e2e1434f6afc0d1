//! Runs the stand-ins of the platform as a separate process.

use std::process::ExitCode;

use async_std::stream::StreamExt;
use gumdrop::Options;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;
use marigoldpick_core::code::Code;
use marigoldpick_core::document;
use marigoldpick_standin::{Platform, Settings, platform};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// The pattern of a log line.
const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t}: {m}{n}";

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the settings in TOML", meta = "FILE", required)]
    settings: String,
    #[options(help = "the log level", meta = "LEVEL", default = "info")]
    log: log::LevelFilter,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(u8::try_from(error_code(&error).exit_status()).unwrap_or(u8::MAX))
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), platform::Error> {
    start_log(arguments.log);
    let settings = read_settings(&arguments.settings).map_err(platform::Error::Settings)?;
    let platform = Platform::start(&settings)?;
    println!("{}", serde_json::json!({ "platform": platform.address() }));
    async_std::task::block_on(wait_for_signal()).map_err(platform::Error::Listen)
}

fn read_settings(file: &str) -> Result<Settings, document::Error> {
    let text = std::fs::read_to_string(file).map_err(|source| {
        document::Error::field(Code::BadSyntax, "", source.to_string()).in_file(file)
    })?;
    Settings::parse(file, &text)
}

async fn wait_for_signal() -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.next().await;
    log::info!(target: "worker", "stopping on a signal");
    Ok(())
}

fn start_log(level: log::LevelFilter) {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(LINE_PATTERN)))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .expect("the appender is named");
    drop(log4rs::init_config(config));
}

const fn error_code(error: &platform::Error) -> Code {
    match error {
        platform::Error::Settings(error) => error.code,
        platform::Error::Listen(_) => Code::Internal,
    }
}
