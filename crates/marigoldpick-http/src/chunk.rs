//! Decodes chunked bodies piece by piece, without a buffer of its own.

/// The most bytes of a chunk's extension.
const MAX_EXTENSION_BYTES: usize = 256;
/// The most bytes of all trailers.
const MAX_TRAILER_BYTES: usize = 4_096;

/// `Malformed` means that the input is no chunked body, or exceeds the limits of its framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In the digits of a size; the number of digits so far.
    Size(u8),
    /// In an extension; the number of its bytes so far.
    Extension(usize),
    /// Before the line feed that ends a size.
    SizeEnd,
    Data,
    /// Before the carriage return, then before the line feed that end a chunk.
    DataReturn,
    DataFeed,
    /// In a line of the trailers; the number of bytes of that line.
    Trailer(usize),
    Done,
}

/// `Decoder` decodes one chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decoder {
    state: State,
    /// The bytes that are left of the chunk.
    left: u64,
    trailer_bytes: usize,
}

impl Default for Decoder {
    fn default() -> Self {
        Self {
            state: State::Size(0),
            left: 0,
            trailer_bytes: 0,
        }
    }
}

impl Decoder {
    /// Returns whether the body has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes `input` into `output`; returns the numbers of bytes read and written.
    ///
    /// # Errors
    /// Fails when the input is malformed.
    pub fn decode(&mut self, input: &[u8], output: &mut [u8]) -> Result<(usize, usize), Malformed> {
        let (mut read, mut written) = (0, 0);
        while read < input.len() && !self.is_done() {
            if self.state == State::Data {
                let size = (input.len() - read).min(output.len() - written);
                let size = size.min(usize::try_from(self.left).unwrap_or(usize::MAX));
                if size == 0 {
                    break;
                }
                output[written..written + size].copy_from_slice(&input[read..read + size]);
                read += size;
                written += size;
                self.left -= size as u64;
                if self.left == 0 {
                    self.state = State::DataReturn;
                }
            } else {
                self.state = self.step(input[read])?;
                read += 1;
            }
        }
        Ok((read, written))
    }

    /// Returns the state after a byte of the framing.
    fn step(&mut self, byte: u8) -> Result<State, Malformed> {
        match (self.state, byte) {
            (State::Size(digits @ 0..15), digit) if digit.is_ascii_hexdigit() => {
                let value = char::from(digit).to_digit(16).unwrap_or_default();
                self.left = self.left * 16 + u64::from(value);
                Ok(State::Size(digits + 1))
            }
            (State::Size(1..), b';' | b' ' | b'\t') => Ok(State::Extension(0)),
            (State::Size(1..) | State::Extension(_), b'\r') => Ok(State::SizeEnd),
            (State::Size(1..) | State::Extension(_) | State::SizeEnd, b'\n') => {
                Ok(if self.left == 0 {
                    State::Trailer(0)
                } else {
                    State::Data
                })
            }
            (State::Extension(length), _) if length < MAX_EXTENSION_BYTES => {
                Ok(State::Extension(length + 1))
            }
            (State::DataReturn, b'\r') => Ok(State::DataFeed),
            (State::DataReturn | State::DataFeed, b'\n') => Ok(State::Size(0)),
            (State::Trailer(0), b'\n') => Ok(State::Done),
            (State::Trailer(_), b'\n') => Ok(State::Trailer(0)),
            (State::Trailer(length), byte) => {
                self.trailer_bytes += 1;
                if self.trailer_bytes > MAX_TRAILER_BYTES {
                    return Err(Malformed);
                }
                Ok(State::Trailer(length + usize::from(byte != b'\r')))
            }
            _ => Err(Malformed),
        }
    }
}
