//! Immutable names that are cheap to copy.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
pub const MAX_BYTES: usize = 128;

/// `Name` is a short shared string of ASCII letters, digits, `.`, `_`, `-` and `/`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// `Error` is the reason why a text is not a valid name.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// a name must not be empty
    Empty,
    /// a name has at most 128 bytes
    TooLong,
    /// a name has only letters, digits, '.', '_', '-' and '/'
    Character,
}

impl std::error::Error for Error {}

impl Name {
    /// Creates a name from a text.
    ///
    /// # Errors
    /// Fails when the text is empty, too long, or has a character that is not allowed.
    pub fn new(text: &str) -> Result<Self, Error> {
        if text.is_empty() {
            return Err(Error::Empty);
        }
        if text.len() > MAX_BYTES {
            return Err(Error::TooLong);
        }
        let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b'/');
        if !text.bytes().all(valid) {
            return Err(Error::Character);
        }
        Ok(Self(Arc::from(text)))
    }

    /// Returns the text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Name {
    type Err = Error;
    fn from_str(text: &str) -> Result<Self, Error> {
        Self::new(text)
    }
}

impl TryFrom<String> for Name {
    type Error = Error;
    fn try_from(text: String) -> Result<Self, Error> {
        Self::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.as_str().to_owned()
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&*self.0, f)
    }
}
