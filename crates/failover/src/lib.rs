//! Placeholder
