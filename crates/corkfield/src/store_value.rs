//! Records as values of the state service.

use serde::Serialize;
use serde_json::Value;
use std::io::{self, Write};

/// The record as a value to be stored.
///
/// Every record is a plain struct whose maps, if any, have string keys; serialization fails for
/// nothing else, as it writes to memory.
pub fn store_value(record: &impl Serialize) -> Value {
    serde_json::to_value(record).expect("records are plain structs with string keys")
}

/// Bytes that a record or a transaction takes when it is sent, without keeping them.
pub fn serialized_bytes(value: &impl Serialize) -> usize {
    let mut counter = ByteCounter(0);
    serde_json::to_writer(&mut counter, value).expect("records are plain structs with string keys");
    counter.0
}

/// Counts what is written to it.
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
