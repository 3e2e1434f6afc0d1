//! A site: its stand-ins, its entries and its intents.

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

/// `Site` is all that a dev run needs.
#[derive(Clone, Debug)]
pub struct Site {
    /// The site's name.
    pub name: String,
    /// The stand-ins of the platform.
    pub standin: StandinSettings,
    /// The entries.
    pub entries: Vec<EntrySettings>,
    /// The intents, in the order in which they are confirmed.
    pub intents: Vec<Document>,
}

/// `Document` is an intent with its text.
#[derive(Clone, Debug)]
pub struct Document {
    /// The file.
    pub file: String,
    /// The text.
    pub text: String,
    /// What it says.
    pub intent: Intent,
}

/// `Text` is a file of a site before it is parsed.
#[derive(Clone, Debug)]
pub(super) struct Text {
    pub(super) file: String,
    pub(super) text: String,
}

impl Site {
    /// Returns the two samples that are built into the program.
    ///
    /// # Errors
    /// Names the file, and the line or the field.
    pub fn samples() -> Result<Vec<Self>, Problem> {
        samples::all()
    }

    /// Reads a site from a directory with `standin.toml`, `entries/` and `intents/`; one without
    /// `standin.toml` holds intents alone and runs on the first sample's machines.
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
            let mut site = samples::first()?;
            site.intents = documents(read_all(&intents)?)?;
            directory.clone_into(&mut site.name);
            return site.verified();
        }
        let standin = Text::read(&standin)?;
        let entries = read_all(&root.join("entries"))?;
        Self::parse(directory, &standin, &entries, read_all(&intents)?)
    }

    pub(super) fn parse(
        name: &str,
        standin: &Text,
        entries: &[Text],
        intents: Vec<Text>,
    ) -> Result<Self, Problem> {
        let standin = StandinSettings::parse(&standin.file, &standin.text).map_err(problem)?;
        let entries: Result<Vec<_>, _> = entries
            .iter()
            .map(|text| EntrySettings::parse(&text.file, &text.text).map_err(problem))
            .collect();
        let site = Self {
            name: name.to_owned(),
            standin,
            entries: entries?,
            intents: documents(intents)?,
        };
        site.verified()
    }

    /// Checks what the files only tell together.
    fn verified(self) -> Result<Self, Problem> {
        if self.entries.is_empty() {
            return Err(self.wrong(Code::BadValue, "it has no entries"));
        }
        if self.intents.is_empty() {
            return Err(self.wrong(Code::BadValue, "it has no intents"));
        }
        let domains = &self.standin.domain;
        let stray = self
            .entries
            .iter()
            .find(|entry| domains.iter().all(|domain| domain.name != entry.domain));
        if let Some(entry) = stray {
            let details = format!(
                "entry {}: no failure domain is named '{}'",
                entry.entry, entry.domain
            );
            return Err(self.wrong(Code::UnknownName, &details));
        }
        let mut names: Vec<&id::Entry> = self.entries.iter().map(|entry| &entry.entry).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            let details = format!("entry '{}' stands twice", pair[0]);
            return Err(self.wrong(Code::Duplicate, &details));
        }
        Ok(self)
    }

    fn wrong(&self, code: Code, details: &str) -> Problem {
        Problem::new(code, format!("{}: {details}", self.name))
    }

    /// Returns what faults can hit.
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

impl Text {
    fn read(path: &Path) -> Result<Self, Problem> {
        let file = path.display().to_string();
        let text = files::read(&file)?;
        Ok(Self { file, text })
    }
}

fn read_all(directory: &Path) -> Result<Vec<Text>, Problem> {
    files::list(&directory.display().to_string())?
        .iter()
        .map(|file| Text::read(Path::new(file)))
        .collect()
}

fn documents(texts: Vec<Text>) -> Result<Vec<Document>, Problem> {
    texts
        .into_iter()
        .map(|Text { file, text }| {
            let intent = Intent::parse(&file, &text).map_err(problem)?;
            Ok(Document { file, text, intent })
        })
        .collect()
}

fn problem(error: Error) -> Problem {
    Problem::new(error.code, error.to_string())
}
