//! Daemon settings and the operators' configuration: formats, patches and validation.

pub mod document;
pub mod fields;
pub mod settings;
