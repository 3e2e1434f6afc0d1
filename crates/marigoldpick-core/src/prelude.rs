//! Re-exports of the types that nearly every module of marigoldpick uses.

pub use crate::clock::{Clock, Millis};
pub use crate::code::Code;
pub use crate::id;
pub use crate::name::Name;
pub use crate::resource::Amount;
