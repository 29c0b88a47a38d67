//! Times in packets: a [`Micros`] goes over the wire as its number of microseconds.

use juniperladder::Micros;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub(crate) fn serialize<S: Serializer>(time: &Micros, serializer: S) -> Result<S::Ok, S::Error> {
    time.0.serialize(serializer)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Micros, D::Error> {
    u64::deserialize(deserializer).map(Micros)
}
