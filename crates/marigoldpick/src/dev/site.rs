//! Reads and validates the files of a site: its stand-ins, entries and intents.

use std::path::Path;

use marigoldpick_core::code::Code;
use marigoldpick_core::document::Error;
use marigoldpick_core::id;
use marigoldpick_core::intent::{Class, Intent};
use marigoldpick_core::operator::Problem;
use marigoldpick_entry::settings::Settings as EntrySettings;
use marigoldpick_standin::Settings as StandinSettings;

use super::samples;
use crate::faults::{Job, Targets};
use crate::files;

/// `Site` holds the settings and intents that a dev run needs.
#[derive(Clone, Debug)]
pub struct Site {
    /// The site's name.
    pub name: String,
    /// The settings of the platform's stand-ins.
    pub standin: StandinSettings,
    /// The settings of the entries.
    pub entries: Vec<EntrySettings>,
    /// The intents, in the order in which they are confirmed.
    pub intents: Vec<Document>,
}

/// `Document` is an intent with its source text.
#[derive(Clone, Debug)]
pub struct Document {
    /// The path of the file.
    pub file: String,
    /// The source text.
    pub text: String,
    /// The parsed intent.
    pub intent: Intent,
}

/// `SourceFile` is a file of a site before it is parsed.
#[derive(Clone, Debug)]
pub(super) struct SourceFile {
    pub(super) file: String,
    pub(super) text: String,
}

impl Site {
    /// Returns the two sample sites that are built into the program.
    ///
    /// # Errors
    /// Names the file, and the line or the field.
    pub fn samples() -> Result<Vec<Self>, Problem> {
        samples::all()
    }

    /// Reads a site from a directory with `standin.toml`, `entries/` and `intents/`.
    ///
    /// A directory without `standin.toml` holds intents alone, which run on the stand-ins and
    /// entries of the first sample.
    ///
    /// # Errors
    /// Names the file, and the line or the field.
    pub fn read(directory: &str) -> Result<Self, Problem> {
        let root = Path::new(directory);
        let intents = root.join("intents");
        let intents = if intents.is_dir() {
            intents
        } else {
            root.to_owned()
        };
        let standin = root.join("standin.toml");
        if !standin.is_file() {
            let mut site = samples::default_site()?;
            site.intents = parse_intents(read_files(&intents)?)?;
            directory.clone_into(&mut site.name);
            return site.validated();
        }
        let standin = SourceFile::read(&standin)?;
        let entries = read_files(&root.join("entries"))?;
        Self::parse(directory, &standin, &entries, read_files(&intents)?)
    }

    pub(super) fn parse(
        name: &str,
        standin: &SourceFile,
        entries: &[SourceFile],
        intents: Vec<SourceFile>,
    ) -> Result<Self, Problem> {
        let standin = StandinSettings::parse(&standin.file, &standin.text).map_err(to_problem)?;
        let entries: Result<Vec<_>, _> = entries
            .iter()
            .map(|text| EntrySettings::parse(&text.file, &text.text).map_err(to_problem))
            .collect();
        let site = Self {
            name: name.to_owned(),
            standin,
            entries: entries?,
            intents: parse_intents(intents)?,
        };
        site.validated()
    }

    /// Validates what depends on several of the files.
    fn validated(self) -> Result<Self, Problem> {
        if self.entries.is_empty() {
            return Err(self.problem(Code::BadValue, "the site has no entries"));
        }
        if self.intents.is_empty() {
            return Err(self.problem(Code::BadValue, "the site has no intents"));
        }
        let domains = &self.standin.domain;
        let misplaced = self
            .entries
            .iter()
            .find(|entry| domains.iter().all(|domain| domain.name != entry.domain));
        if let Some(entry) = misplaced {
            let details = format!(
                "entry {}: no failure domain is named '{}'",
                entry.entry, entry.domain
            );
            return Err(self.problem(Code::UnknownName, &details));
        }
        let mut names: Vec<&id::Entry> = self.entries.iter().map(|entry| &entry.entry).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            let details = format!("entry '{}' is defined twice", pair[0]);
            return Err(self.problem(Code::Duplicate, &details));
        }
        Ok(self)
    }

    fn problem(&self, code: Code, details: &str) -> Problem {
        Problem::new(code, format!("{}: {details}", self.name))
    }

    /// Returns the possible targets of faults.
    #[must_use]
    pub fn targets(&self) -> Targets {
        let racks = self.standin.domain.iter().flat_map(|domain| &domain.rack);
        let workers = racks
            .flat_map(|rack| (0..rack.workers).map(move |at| format!("{}/w{at}", rack.name)))
            .collect();
        let jobs = self
            .intents
            .iter()
            .flat_map(|document| &document.intent.job);
        Targets {
            entries: self.entries.iter().map(|e| e.entry.to_string()).collect(),
            workers,
            domains: self
                .standin
                .domain
                .iter()
                .map(|d| d.name.to_string())
                .collect(),
            jobs: jobs
                .map(|job| Job {
                    name: job.name.to_string(),
                    endpoints: if job.service.is_some() { job.count } else { 0 },
                })
                .collect(),
        }
    }

    /// Returns the services that have endpoints.
    #[must_use]
    pub fn services(&self) -> Vec<id::Service> {
        let jobs = self
            .intents
            .iter()
            .flat_map(|document| &document.intent.job);
        let mut services: Vec<id::Service> = jobs
            .filter(|job| job.class == Class::Service)
            .filter_map(|job| job.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Returns the teams.
    #[must_use]
    pub fn teams(&self) -> Vec<id::Team> {
        let teams = self
            .intents
            .iter()
            .flat_map(|document| &document.intent.team);
        teams.map(|team| team.name.clone()).collect()
    }
}

impl SourceFile {
    fn read(path: &Path) -> Result<Self, Problem> {
        let file = path.display().to_string();
        let text = files::read(&file)?;
        Ok(Self { file, text })
    }
}

fn read_files(directory: &Path) -> Result<Vec<SourceFile>, Problem> {
    files::list(&directory.display().to_string())?
        .iter()
        .map(|file| SourceFile::read(Path::new(file)))
        .collect()
}

fn parse_intents(texts: Vec<SourceFile>) -> Result<Vec<Document>, Problem> {
    texts
        .into_iter()
        .map(|SourceFile { file, text }| {
            let intent = Intent::parse(&file, &text).map_err(to_problem)?;
            Ok(Document { file, text, intent })
        })
        .collect()
}

fn to_problem(error: Error) -> Problem {
    Problem::new(error.code, error.to_string())
}
