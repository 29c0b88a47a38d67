//! Splits a byte stream into consecutive JSON objects, whether each is on one line or indented over many.
//!
//! Guarantee: each byte is scanned once. The content of an object is not validated.

use bytes::BytesMut;
use thiserror::Error;

/// How many bytes of the unexpected input an error shows.
const MAX_EXCERPT_BYTES: usize = 40;

/// Input other than an object where an object should begin; holds the first bytes of the input.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("expected a JSON object, found {0:?}")]
pub struct UnexpectedInput(String);

/// Finds the end of each object.
#[derive(Debug, Default)]
pub struct JsonObjectScanner {
    /// Number of bytes of the current object that have been scanned.
    scanned_bytes: usize,
    /// Number of brackets and braces open at the scan position.
    open_brackets: usize,
    /// Whether the scan position is inside a string.
    in_string: bool,
    /// Whether the next byte of the string follows an escaping backslash.
    is_escaped: bool,
}

impl JsonObjectScanner {
    /// Removes the next object from the input; none while it is incomplete.
    ///
    /// # Errors
    /// The input does not begin with an object.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<BytesMut>, UnexpectedInput> {
        if self.open_brackets == 0 {
            let blank = input.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            let _ = input.split_to(blank);
        }
        while let Some(byte) = input.get(self.scanned_bytes).copied() {
            if self.open_brackets == 0 && byte != b'{' {
                let excerpt = &input[..input.len().min(MAX_EXCERPT_BYTES)];
                return Err(UnexpectedInput(String::from_utf8_lossy(excerpt).into_owned()));
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
