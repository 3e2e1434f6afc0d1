//! Conversion between the types of marigoldpick-core and the generated types of the schema.

pub(crate) mod control;
pub(crate) mod jobs;
pub(crate) mod traffic;

use marigoldpick_core::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// `Malformed` is the error for a message whose content is not as the schema's comments require.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Malformed;

/// `Converted` is the result of reading or writing a part of a message.
pub(crate) type Converted<T> = Result<T, Malformed>;

macro_rules! malformed_from {
    ($($source:ty),+) => {$(
        impl From<$source> for Malformed {
            fn from(_source: $source) -> Self {
                Self
            }
        }
    )+};
}

malformed_from!(
    capnp::Error,
    capnp::NotInSchema,
    std::str::Utf8Error,
    marigoldpick_core::name::Error,
    id::TaskError,
    serde_json::Error
);

/// Reads a text.
pub(crate) fn read_text(reader: capnp::Result<capnp::text::Reader<'_>>) -> Converted<&str> {
    Ok(reader?.to_str()?)
}

/// Reads a name of any kind.
pub(crate) fn read_name<T>(reader: capnp::Result<capnp::text::Reader<'_>>) -> Converted<T>
where
    T: std::str::FromStr,
    Malformed: From<T::Err>,
{
    Ok(read_text(reader)?.parse()?)
}

/// Reads a name; an empty text stands for no name.
pub(crate) fn read_optional_name<T>(
    reader: capnp::Result<capnp::text::Reader<'_>>,
) -> Converted<Option<T>>
where
    T: std::str::FromStr,
    Malformed: From<T::Err>,
{
    match read_text(reader)? {
        "" => Ok(None),
        text => Ok(Some(text.parse()?)),
    }
}

/// Reads a result code.
pub(crate) fn read_code(number: u16) -> Converted<Code> {
    Code::from_number(number).ok_or(Malformed)
}

/// Reads JSON text.
pub(crate) fn from_json<T: DeserializeOwned>(data: capnp::Result<&[u8]>) -> Converted<T> {
    Ok(serde_json::from_slice(data?)?)
}

/// Writes JSON text.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Converted<Vec<u8>> {
    Ok(serde_json::to_vec(value)?)
}

/// Returns the length of a list as the schema's number type.
pub(crate) fn list_len<T>(list: &[T]) -> Converted<u32> {
    u32::try_from(list.len()).map_err(|_source| Malformed)
}
