//! Implements `marigold dev`, which runs whole sites in one process.
//!
//! It serves to try marigoldpick out, and to check its promises under faults.

mod caller;
mod cluster;
mod inject;
mod mix;
mod once;
mod operator;
mod ready;
mod record;
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

/// The environment variable with the log level; without it, nothing is logged to standard error.
pub const LOG_VARIABLE: &str = "MARIGOLD_LOG";

/// Runs the `dev` command.
///
/// # Errors
/// A numbered problem when a site or faults file is invalid or a site can't start.
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

/// Reads a faults file and checks that each target exists in one of the sites.
fn read_faults(file: &str, sites: &[Site]) -> Result<Vec<Fault>, Problem> {
    let text = crate::files::read(file)?;
    let mut targets = Targets::default();
    for site in sites {
        targets.extend(site.targets());
    }
    faults::parse_for(file, &text, &targets)
        .map_err(|error| Problem::new(error.code, error.to_string()))
}
