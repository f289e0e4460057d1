//! Search for the end of a request head in bytes that arrive in pieces.

/// State of the search for the empty line that ends a head.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScan {
    /// Bytes of the head so far.
    pub length: usize,
    /// Whether the present line has a character.
    in_line: bool,
    /// Whether any line had one: empty lines before the request line are skipped.
    pub begun: bool,
}

impl HeadScan {
    /// Scans further bytes; the number of bytes up to the end of the head if it is among them.
    pub fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.begun && !self.in_line => return Some(index + 1),
                b'\n' => self.in_line = false,
                b'\r' => {}
                _ => {
                    self.in_line = true;
                    self.begun = true;
                }
            }
        }
        self.length += bytes.len();
        None
    }
}
