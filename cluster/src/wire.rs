//! How the root crate's values are written in packets: as the number that each of them holds.

pub(crate) mod micros {
    //! A time, as its number of microseconds.

    use juniperladder::Micros;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(crate) fn serialize<S: Serializer>(time: &Micros, serializer: S) -> Result<S::Ok, S::Error> {
        time.0.serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Micros, D::Error> {
        u64::deserialize(deserializer).map(Micros)
    }
}

pub(crate) mod server_id {
    //! A server, as its number.

    use juniperladder::ServerId;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(crate) fn serialize<S: Serializer>(server: &ServerId, serializer: S) -> Result<S::Ok, S::Error> {
        server.0.serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<ServerId, D::Error> {
        u64::deserialize(deserializer).map(ServerId)
    }
}
