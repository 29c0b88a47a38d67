//! Codecs: bytes to values and back, without I/O.

pub mod http;
pub mod memcache;
pub mod mgmt;
pub mod objects;
