//! The entry process: one control thread, traffic threads, the faces to callers and operators.

pub mod settings;
pub mod view;
