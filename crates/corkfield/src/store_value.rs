//! Serialization of records to values of the state service.

use serde::Serialize;
use serde_json::Value;
use std::io::{self, Write};

/// Converts a record to the JSON value to store.
///
/// # Panics
///
/// Panics if serialization fails. It can't fail for records: they are plain structs whose maps have
/// string keys, and the serializer writes to memory.
pub fn store_value(record: &impl Serialize) -> Value {
    serde_json::to_value(record).expect("records are plain structs with string keys")
}

/// Returns the length of the JSON of a record or transaction, in bytes, without storing the JSON.
pub fn serialized_bytes(value: &impl Serialize) -> usize {
    let mut counter = ByteCounter(0);
    serde_json::to_writer(&mut counter, value).expect("records are plain structs with string keys");
    counter.0
}

/// A writer that counts the bytes written to it and discards them.
struct ByteCounter(usize);

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
