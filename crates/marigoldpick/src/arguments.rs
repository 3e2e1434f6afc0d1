//! Defines the command-line arguments of the `marigold` program.

use gumdrop::Options;

/// `Arguments` is the whole command line.
#[derive(Debug, Options)]
#[options(help = "Operates a marigoldpick cluster.")]
pub struct Arguments {
    /// print help
    pub help: bool,
    /// the command to run
    #[options(command)]
    pub command: Option<Command>,
}

/// `Command` is the command to run.
#[derive(Debug, Options)]
pub enum Command {
    /// request the plan of an intent: plan FILE [--yes]
    Plan(Plan),
    /// confirm a plan: confirm PLAN
    Confirm(Confirm),
    /// cancel jobs: cancel JOB...
    Cancel(Cancel),
    /// print the state of an entry: status
    Status(Status),
    /// print the teams with their limits and what they use: teams
    Teams(Teams),
    /// explain where a job would go, without sending it: where JOB.toml|JOB.json
    Where(Where),
    /// print the reasons for the state of a task: explain JOB:INDEX, or explain --log FILE... ID
    Explain(Explain),
    /// stop new work on a part of the site: drain worker|endpoint|entry|rack|domain NAME [--off]
    Drain(Drain),
    /// merge the events of several entries: timeline [--task T | --request R]
    Timeline(Timeline),
    /// check settings or an intent offline: check FILE
    Check(Check),
    /// run entries, stand-ins and the sample sites in this process: dev [--once]
    Dev(Dev),
}

/// `Plan` holds the arguments of `plan`.
#[derive(Debug, Default, Options)]
#[options(help = "Asks for the plan of an intent; nothing changes before it is confirmed.")]
pub struct Plan {
    /// print help
    pub help: bool,
    /// an entry's operator address; may be repeated
    #[options(no_short, meta = "ADDR")]
    pub entry: Vec<String>,
    /// confirm at once if nothing is displaced
    pub yes: bool,
    /// print JSON
    pub json: bool,
    /// the path of the intent
    #[options(free)]
    pub words: Vec<String>,
}

/// `Confirm` holds the arguments of `confirm`.
#[derive(Debug, Default, Options)]
#[options(help = "Confirms a plan.")]
pub struct Confirm {
    /// print help
    pub help: bool,
    /// an entry's operator address; may be repeated
    #[options(no_short, meta = "ADDR")]
    pub entry: Vec<String>,
    /// print JSON
    pub json: bool,
    /// the plan's name
    #[options(free)]
    pub words: Vec<String>,
}

/// `Cancel` holds the arguments of `cancel`.
#[derive(Debug, Default, Options)]
#[options(help = "Cancels jobs.")]
pub struct Cancel {
    /// print help
    pub help: bool,
    /// an entry's operator address; may be repeated
    #[options(no_short, meta = "ADDR")]
    pub entry: Vec<String>,
    /// print JSON
    pub json: bool,
    /// the jobs' names
    #[options(free)]
    pub words: Vec<String>,
}

/// `Teams` holds the arguments of `teams`.
#[derive(Debug, Default, Options)]
#[options(help = "Prints what entries on the users' platform know of the teams.")]
pub struct Teams {
    /// print help
    pub help: bool,
    /// an entry's metrics address; may be repeated, and only the lead knows what teams use
    #[options(no_short, meta = "ADDR")]
    pub entry: Vec<String>,
    /// print JSON
    pub json: bool,
    /// takes none
    #[options(free)]
    pub words: Vec<String>,
}

/// `Where` holds the arguments of `where`.
#[derive(Debug, Default, Options)]
#[options(help = "Explains where a job would go on the users' platform; nothing is sent.")]
pub struct Where {
    /// print help
    pub help: bool,
    /// an entry's metrics address; may be repeated, and only the lead knows the workers
    #[options(no_short, meta = "ADDR")]
    pub entry: Vec<String>,
    /// print JSON
    pub json: bool,
    /// the path of the job
    #[options(free)]
    pub words: Vec<String>,
}

/// `Status` holds the arguments of `status`.
#[derive(Debug, Default, Options)]
#[options(help = "Tells what an entry knows.")]
pub struct Status {
    /// print help
    pub help: bool,
    /// an entry's operator address; may be repeated
    #[options(no_short, meta = "ADDR")]
    pub entry: Vec<String>,
    /// print JSON
    pub json: bool,
    /// no further arguments
    #[options(free)]
    pub words: Vec<String>,
}

/// `Explain` holds the arguments of `explain`.
#[derive(Debug, Default, Options)]
#[options(
    help = "Tells why a task runs, waits or can never run; with --log, what happened to a job of steps."
)]
pub struct Explain {
    /// print help
    pub help: bool,
    /// an entry's operator address; may be repeated
    #[options(no_short, meta = "ADDR")]
    pub entry: Vec<String>,
    /// a log file of an entry; more may follow before the job's id
    #[options(no_short, meta = "FILE")]
    pub log: Vec<String>,
    /// print JSON
    pub json: bool,
    /// the task, as JOB:INDEX; with --log, the id of a job
    #[options(free)]
    pub words: Vec<String>,
}

/// `Drain` holds the arguments of `drain`.
#[derive(Debug, Default, Options)]
#[options(help = "Starts or ends the drain of a worker, endpoint, entry, rack or domain.")]
pub struct Drain {
    /// print help
    pub help: bool,
    /// an entry's operator address; may be repeated
    #[options(no_short, meta = "ADDR")]
    pub entry: Vec<String>,
    /// end the drain
    pub off: bool,
    /// print JSON
    pub json: bool,
    /// the kind and the name of the part
    #[options(free)]
    pub words: Vec<String>,
}

/// `Timeline` holds the arguments of `timeline`.
#[derive(Debug, Default, Options)]
#[options(help = "Merges the events of several entries in causal order.")]
pub struct Timeline {
    /// print help
    pub help: bool,
    /// an entry's operator address; may be repeated
    #[options(no_short, meta = "ADDR")]
    pub entry: Vec<String>,
    /// follow one task, as JOB:INDEX
    #[options(meta = "T")]
    pub task: Option<String>,
    /// follow one request by its id
    #[options(meta = "R")]
    pub request: Option<String>,
    /// print JSON, one event per line
    pub json: bool,
    /// no further arguments
    #[options(free)]
    pub words: Vec<String>,
}

/// `Check` holds the arguments of `check`.
#[derive(Debug, Default, Options)]
#[options(help = "Checks files offline.")]
pub struct Check {
    /// print help
    pub help: bool,
    /// the kind of file: entry, standin, intent or faults; detected from the fields by default
    #[options(no_short, meta = "KIND")]
    pub kind: Option<String>,
    /// print JSON
    pub json: bool,
    /// the files
    #[options(free)]
    pub words: Vec<String>,
}

/// `Dev` holds the arguments of `dev`.
#[derive(Debug, Default, Options)]
#[options(help = "Runs entries, stand-ins and sample sites in this process.")]
pub struct Dev {
    /// print help
    pub help: bool,
    /// run all work to completion, print the counts, and exit
    pub once: bool,
    /// print JSON; the last line is one object
    pub json: bool,
    /// the directory of a site to run instead of the two sample sites
    #[options(meta = "DIR")]
    pub intents: Option<String>,
    /// the number of requests from callers, over all sites
    #[options(meta = "N", default = "200")]
    pub requests: u32,
    /// the seed from which the callers' requests are drawn
    #[options(meta = "S", default = "1")]
    pub seed: u64,
    /// a file of faults to inject
    #[options(meta = "FILE")]
    pub faults: Option<String>,
    /// the time limit of each site's run, in seconds
    #[options(no_short, meta = "SECONDS", default = "180")]
    pub limit: u64,
    /// no further arguments
    #[options(free)]
    pub words: Vec<String>,
}
