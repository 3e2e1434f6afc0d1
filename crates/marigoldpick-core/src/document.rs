//! A TOML reader whose errors name the file, the line and the field.

use std::fmt;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use crate::code::Code;

/// The maximum size of a document, in bytes.
pub const MAX_BYTES: usize = 4 << 20;

/// `Error` describes a mistake in a document and its position.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Error {
    /// The kind of mistake.
    pub code: Code,
    /// The file's name as the caller gave it.
    pub file: String,
    /// The line number, starting at one; zero if only the field is known.
    pub line: u32,
    /// The field as a path such as `job[2].count`; empty if it is not known.
    pub field: String,
    /// A description of the mistake for people.
    pub message: String,
}

impl Error {
    /// Creates an error about a field.
    #[must_use]
    pub fn field(code: Code, field: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            code,
            file: String::new(),
            line: 0,
            field: field.into(),
            message: message.into(),
        }
    }

    /// Creates a [`Code::BadValue`] error about a field.
    #[must_use]
    pub fn value(field: &str, message: &str) -> Self {
        Self::field(Code::BadValue, field, message)
    }

    /// Sets the name of the file in which the mistake is.
    #[must_use]
    pub fn in_file(mut self, file: &str) -> Self {
        file.clone_into(&mut self.file);
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: ", self.code.number(), self.code.name())?;
        if !self.file.is_empty() {
            write!(f, "{}:", self.file)?;
        }
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.field.is_empty() {
            write!(f, " {}:", self.field)?;
        }
        write!(f, " {}", self.message)
    }
}

impl std::error::Error for Error {}

/// Parses `text` as a TOML document of type `T`. `file` is used for errors alone.
///
/// # Errors
/// Fails with `TooLarge`, `BadSyntax`, `UnknownField`, `Duplicate` or `BadValue`. The error names
/// the line, except for `TooLarge`.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Error> {
    if text.len() > MAX_BYTES {
        return Err(Error::field(Code::TooLarge, "", "the document is too large").in_file(file));
    }
    toml::from_str(text).map_err(|source| convert_error(file, text, &source))
}

/// Checks that a number is greater than zero.
///
/// # Errors
/// Fails with `BadValue`, naming the field.
pub fn check_positive(field: &str, value: impl Into<u64>) -> Result<(), Error> {
    if value.into() == 0 {
        return Err(Error::value(field, "must be more than zero"));
    }
    Ok(())
}

/// Checks that `text` is an IP address with a port.
///
/// # Errors
/// Fails with `BadValue`, naming the field.
pub fn check_address(field: &str, text: &str) -> Result<(), Error> {
    match text.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(Error::value(
            field,
            "must be an IP number and a port, such as 127.0.0.1:7400",
        )),
    }
}

/// Checks that `names` has no duplicates.
///
/// # Errors
/// Fails with `Duplicate`, naming the field.
pub fn check_unique<'a>(field: &str, names: impl Iterator<Item = &'a str>) -> Result<(), Error> {
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    match names.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => {
            let message = format!("'{}' stands twice", pair[0]);
            Err(Error::field(Code::Duplicate, field, message))
        }
        None => Ok(()),
    }
}

/// Converts an error of the TOML parser, whose kind is visible in its message alone.
fn convert_error(file: &str, text: &str, source: &toml::de::Error) -> Error {
    let message = source.message().trim().to_owned();
    let code = if message.contains("unknown field") || message.contains("unknown variant") {
        Code::UnknownField
    } else if message.contains("duplicate key") {
        Code::Duplicate
    } else if message.contains("missing field") || message.contains("invalid") {
        Code::BadValue
    } else {
        Code::BadSyntax
    };
    let start = source.span().map_or(0, |span| span.start.min(text.len()));
    let line = text.as_bytes()[..start]
        .iter()
        .filter(|&&b| b == b'\n')
        .count()
        + 1;
    let field = message.split('`').nth(1).unwrap_or_default().to_owned();
    let line = u32::try_from(line).unwrap_or(u32::MAX);
    Error {
        code,
        file: file.to_owned(),
        line,
        field,
        message,
    }
}
