//! Writes a small site with two failure domains, two entries in each, and jobs of each class.

use std::fs;
use std::path::{Path, PathBuf};

const DOMAINS: [&str; 2] = ["north", "south"];
/// The number of entries in each failure domain.
const ENTRIES: usize = 2;
/// The first port of the settings; `dev --once` replaces all ports by free ones.
const FIRST_PORT: usize = 7_700;

const TEAMS: &str = r#"
[[team]]
name = "sellers"
quota = { millicores = 60000, memory_mib = 60000 }

[[team]]
name = "night"
quota = { millicores = 60000, memory_mib = 60000 }

[[service]]
name = "booking"
deadline_ms = 4000
queue = 200
"#;

const JOBS: &str = r#"
[[job]]
name = "booking"
class = "service"
team = "sellers"
count = 8
priority = "high"
needs = { millicores = 1000, memory_mib = 1024 }
where = { spread = "domain" }
service = "booking"
command = "forever"

[[job]]
name = "maps"
class = "batch"
team = "night"
count = 60
needs = { millicores = 500, memory_mib = 512 }
run_ms = 500
command = "run_ms=500"

[[job]]
name = "forecast"
class = "gang"
team = "night"
count = 4
needs = { millicores = 1000, memory_mib = 1024 }
run_ms = 800
command = "run_ms=800"
"#;

const CHARGES: &str = r#"
[[job]]
name = "charges"
class = "batch"
team = "sellers"
count = 20
idempotent = false
needs = { millicores = 2000, memory_mib = 256 }
run_ms = 1500
command = "run_ms=1500"
"#;

/// The number of idempotent tasks of batch and gang jobs.
pub const IDEMPOTENT_TASKS: u64 = 64;
/// The number of non-idempotent tasks, which may be started at most once.
pub const NON_IDEMPOTENT_TASKS: u64 = 20;

/// Writes the site into a directory below `root` and returns its path.
pub fn write(root: &Path, name: &str, seed: u64) -> PathBuf {
    let site = root.join(name);
    if site.exists() {
        fs::remove_dir_all(&site).expect("the directory of an earlier run is removed");
    }
    for directory in ["entries", "intents"] {
        fs::create_dir_all(site.join(directory)).expect("the directory is created");
    }
    write_file(&site, "standin.toml", &standin(seed));
    for (at, domain) in DOMAINS.iter().enumerate() {
        for number in 0..ENTRIES {
            let file = format!("entries/{domain}-{number}.toml");
            write_file(&site, &file, &entry(domain, number, at * ENTRIES + number));
        }
    }
    write_file(&site, "intents/10-teams.toml", TEAMS);
    write_file(&site, "intents/20-jobs.toml", JOBS);
    write_file(&site, "intents/30-charges.toml", CHARGES);
    site
}

fn write_file(site: &Path, file: &str, text: &str) {
    fs::write(site.join(file), text).expect("the file is written");
}

fn standin(seed: u64) -> String {
    let head = format!(
        "seed = {seed}\n[endpoint]\nwork_ms = {{ from = 20.0, to = 100.0 }}\n\
         speed = {{ from = 1.0, to = 3.0 }}\n"
    );
    let rack = |domain: &&str| {
        format!(
            "[[domain]]\nname = \"{domain}\"\n[[domain.rack]]\nname = \"{domain}-r\"\nworkers = 4\n\
             kind = \"plain\"\nsize = {{ millicores = 8000, memory_mib = 16384 }}\n"
        )
    };
    let domains: String = DOMAINS.iter().map(rack).collect();
    format!("{head}{domains}")
}

fn entry(domain: &str, number: usize, at: usize) -> String {
    let port = FIRST_PORT + 10 * at;
    format!(
        "entry = \"{domain}-{number}\"\ndomain = \"{domain}\"\ncallers = \"127.0.0.1:{port}\"\n\
         operators = \"127.0.0.1:{}\"\ninner = \"127.0.0.1:{}\"\n\
         platform = \"http://127.0.0.1:{FIRST_PORT}\"\n",
        port + 1,
        port + 2
    )
}
