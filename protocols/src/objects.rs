//! JSON objects one behind another, found in the bytes as they come: one a line, or indented over many.
//!
//! Guarantee: each byte is looked at once. What stands in an object is not checked.

use bytes::BytesMut;
use thiserror::Error;

/// How many bytes an error shows.
const SHOWN_BYTES: usize = 40;

/// Something else stands where an object should begin.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("expected a JSON object, found {0:?}")]
pub struct NotAnObject(String);

/// Finds where each object ends.
#[derive(Debug, Default)]
pub struct JsonObjectScanner {
    /// How many bytes of the first object have been scanned.
    scanned_bytes: usize,
    /// How many brackets are open there.
    open_brackets: usize,
    in_string: bool,
    /// Whether a backslash stands before the next byte of a string.
    is_escaped: bool,
}

impl JsonObjectScanner {
    /// Takes the next object off the input; none until it is complete.
    ///
    /// # Errors
    /// Something stands there that begins no object.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<BytesMut>, NotAnObject> {
        if self.open_brackets == 0 {
            let blank = input.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            let _ = input.split_to(blank);
        }
        while let Some(byte) = input.get(self.scanned_bytes).copied() {
            if self.open_brackets == 0 && byte != b'{' {
                let shown = &input[..input.len().min(SHOWN_BYTES)];
                return Err(NotAnObject(String::from_utf8_lossy(shown).into_owned()));
            }
            self.scanned_bytes += 1;
            if self.in_string {
                self.scan_string_byte(byte);
            } else {
                self.scan_byte(byte);
            }
            if self.open_brackets == 0 {
                return Ok(Some(input.split_to(std::mem::take(&mut self.scanned_bytes))));
            }
        }
        Ok(None)
    }

    fn scan_string_byte(&mut self, byte: u8) {
        self.in_string = self.is_escaped || byte != b'"';
        self.is_escaped = !self.is_escaped && byte == b'\\';
    }

    fn scan_byte(&mut self, byte: u8) {
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.open_brackets += 1,
            b'}' | b']' => self.open_brackets -= 1,
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
