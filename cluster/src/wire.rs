//! Serialization of the root crate's types in packets, each as its inner number.

pub(crate) mod micros {
    //! Serializes a time as its number of microseconds.

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
    //! Serializes a server id as its number.

    use juniperladder::ServerId;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(crate) fn serialize<S: Serializer>(server: &ServerId, serializer: S) -> Result<S::Ok, S::Error> {
        server.0.serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<ServerId, D::Error> {
        u64::deserialize(deserializer).map(ServerId)
    }
}
