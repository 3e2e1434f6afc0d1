//! `marigold dev`: whole sites in one process, for a first look and for runs that check promises.

mod book;
mod caller;
mod cluster;
mod inject;
mod mix;
mod once;
mod operator;
mod ready;
mod report;
mod samples;
mod serve;
mod site;
mod watch;

use marigoldpick_core::code::Code;
use marigoldpick_core::operator::Problem;

use crate::arguments;
use crate::faults::{self, Fault, Targets};

pub use report::Report;
pub use site::Site;

/// The variable with the level of the log on standard error; without it there is no log.
pub const LOG_VARIABLE: &str = "MARIGOLD_LOG";

/// Runs the command.
///
/// # Errors
/// A numbered problem when the sites or faults are wrong or a site can't start.
pub async fn run(arguments: &arguments::Dev) -> Result<Code, Problem> {
    if let Ok(level) = std::env::var(LOG_VARIABLE) {
        marigoldpick_entry::daemon::start_log(&level)
            .map_err(|error| Problem::new(Code::BadValue, format!("{LOG_VARIABLE}: {error}")))?;
    }
    let sites = match &arguments.intents {
        Some(directory) => vec![Site::read(directory)?],
        None => Site::samples()?,
    };
    let faults = match &arguments.faults {
        Some(file) => read_faults(file, &sites)?,
        None => Vec::new(),
    };
    if arguments.once {
        once::run(arguments, &sites, &faults).await
    } else {
        serve::run(&sites[0], &faults).await
    }
}

/// Reads a faults file; each target has to exist in one of the sites.
fn read_faults(file: &str, sites: &[Site]) -> Result<Vec<Fault>, Problem> {
    let text = crate::files::read(file)?;
    let mut targets = Targets::default();
    for site in sites {
        targets.extend(site.targets());
    }
    faults::parse_for(file, &text, &targets)
        .map_err(|error| Problem::new(error.code, error.to_string()))
}
