//! JSON objects one behind another, found in the bytes as they come: one a line, or indented over many.

use bytes::BytesMut;

/// Finds where an object ends. It looks at each byte once and says nothing of what stands in it.
#[derive(Debug, Default)]
pub struct Objects {
    /// How far the first object has been looked through, and how many brackets are open there.
    seen: usize,
    open: usize,
    in_text: bool,
    escaped: bool,
}

impl Objects {
    /// Takes the next object off the input; none until it is whole.
    ///
    /// # Errors
    /// Something stands there that begins no object.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<BytesMut>, String> {
        if self.open == 0 {
            let blank = input.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            let _ = input.split_to(blank);
        }
        while let Some(byte) = input.get(self.seen) {
            if self.open == 0 && *byte != b'{' {
                let shown = String::from_utf8_lossy(&input[..input.len().min(40)]).into_owned();
                return Err(format!("no object: {shown:?}"));
            }
            self.seen += 1;
            if self.in_text {
                self.in_text = self.escaped || *byte != b'"';
                self.escaped = !self.escaped && *byte == b'\\';
                continue;
            }
            match byte {
                b'"' => self.in_text = true,
                b'{' | b'[' => self.open += 1,
                b'}' | b']' => self.open -= 1,
                _ => {}
            }
            if self.open == 0 {
                return Ok(Some(input.split_to(std::mem::take(&mut self.seen))));
            }
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests;
