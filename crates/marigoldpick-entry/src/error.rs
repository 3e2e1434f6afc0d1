//! The errors that prevent an entry from starting.

use displaydoc::Display;
use marigoldpick_core::document;
use marigoldpick_core::prelude::*;

/// `Error` is the reason why an entry could not start.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Settings(document::Error),
    /// {file}: {source}
    File {
        /// The path of the file.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// {address}: {source}
    Listen {
        /// The address that could not be bound.
        address: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// the log could not be set up: {0}
    Log(String),
    /// a thread could not be started: {0}
    Thread(std::io::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the result code.
    #[must_use]
    pub const fn code(&self) -> Code {
        match self {
            Self::Settings(error) => error.code,
            Self::File { .. } => Code::UnknownName,
            Self::Listen { .. } => Code::BadValue,
            Self::Log(_) | Self::Thread(_) => Code::Internal,
        }
    }
}
