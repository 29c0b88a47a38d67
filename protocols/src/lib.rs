//! Protocol codecs, without I/O.

pub mod admin;
pub mod http;
pub mod memcache;
pub mod objects;
