//! Tests of this module.
