//! Reads the files that an operator names.

use std::fs;

use marigoldpick_core::code::Code;
use marigoldpick_core::document;
use marigoldpick_core::operator::Problem;

/// Reads the text of a file.
///
/// # Errors
/// `UnknownName` when the file can't be read, `TooLarge` when it exceeds the size of a document.
pub fn read(path: &str) -> Result<String, Problem> {
    let metadata = fs::metadata(path).map_err(|error| unreadable(path, &error))?;
    if metadata.len() > document::MAX_BYTES as u64 {
        let details = format!(
            "{path}: the file is larger than {} bytes",
            document::MAX_BYTES
        );
        return Err(Problem::new(Code::TooLarge, details));
    }
    fs::read_to_string(path).map_err(|error| unreadable(path, &error))
}

/// Reads a log file of any length and replaces bytes that are not valid UTF-8.
///
/// # Errors
/// `UnknownName` when the file can't be read.
pub fn read_log(path: &str) -> Result<String, Problem> {
    let bytes = fs::read(path).map_err(|error| unreadable(path, &error))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Lists the TOML files of a directory, sorted by name.
///
/// # Errors
/// `UnknownName` when the directory can't be read.
pub fn list(directory: &str) -> Result<Vec<String>, Problem> {
    let entries = fs::read_dir(directory).map_err(|error| unreadable(directory, &error))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.map_err(|error| unreadable(directory, &error))?.path();
        let is_toml = path
            .extension()
            .is_some_and(|extension| extension == "toml");
        if let (true, Some(path)) = (is_toml, path.to_str()) {
            files.push(path.to_owned());
        }
    }
    files.sort_unstable();
    Ok(files)
}

fn unreadable(path: &str, error: &std::io::Error) -> Problem {
    Problem::new(Code::UnknownName, format!("{path}: {error}"))
}
