//! JSON values that are kept and forwarded as text.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;
use std::sync::Arc;

/// A JSON value as text. It is serialized once and parsed at most once, however often it is sent or delivered.
#[derive(Debug, Clone)]
pub struct Json(Arc<RawValue>);

impl Json {
    /// Serializes `value`; yields `null` if serialization fails, which cannot happen for records: they are
    /// plain data with string keys.
    pub fn encode(value: &impl Serialize) -> Json {
        let raw = serde_json::value::to_raw_value(value);
        Json(raw.unwrap_or_else(|_| RawValue::NULL.to_owned()).into())
    }

    /// Parses the text as a value of type `T`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a valid `T`: it is corrupt or was written by an unknown version.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(self.0.get())
    }

    /// Length of the text, bytes.
    pub fn size(&self) -> usize {
        self.0.get().len()
    }
}

impl Default for Json {
    fn default() -> Self {
        Json(RawValue::NULL.to_owned().into())
    }
}

impl PartialEq for Json {
    fn eq(&self, other: &Self) -> bool {
        self.0.get() == other.0.get()
    }
}

impl Serialize for Json {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Json {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Box::<RawValue>::deserialize(deserializer).map(|raw| Json(raw.into()))
    }
}
