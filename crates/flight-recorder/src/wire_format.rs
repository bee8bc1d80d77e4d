//! Primitive encodings: LEB128 integers, and byte strings prefixed with their length. Reading never panics: it returns `None`
//! if the input is invalid.

/// Appends an integer.
pub fn put_varint(out: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}

/// Appends an optional integer.
pub fn put_optional_varint(out: &mut Vec<u8>, value: Option<u64>) {
    // `None` is 0, other values are stored plus one. `u64::MAX` can't be stored, and is not needed.
    put_varint(out, value.map_or(0, |value| value.saturating_add(1)));
}

/// Appends a float.
pub fn put_f32(out: &mut Vec<u8>, value: f32) {
    out.extend_from_slice(&value.to_le_bytes());
}

/// Appends bytes with their length.
pub fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    put_varint(out, bytes.len() as u64);
    out.extend_from_slice(bytes);
}

/// Reads values from the front of a byte slice.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    /// Whether nothing is left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Reads `count` bytes.
    pub fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    /// Reads a byte.
    pub fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|bytes| bytes[0])
    }

    /// Reads an integer.
    pub fn varint(&mut self) -> Option<u64> {
        let mut value = 0;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            let bits = u64::from(byte & 0x7f);
            // Only one bit of the tenth byte fits.
            if shift == 63 && bits > 1 {
                return None;
            }
            value |= bits << shift;
            if byte & 0x80 == 0 {
                return Some(value);
            }
        }
        None
    }

    /// Reads an integer as another type; `None` if it is out of range.
    pub fn varint_as<T: TryFrom<u64>>(&mut self) -> Option<T> {
        T::try_from(self.varint()?).ok()
    }

    /// Reads an optional integer; the outer `None` is an error.
    pub fn optional_varint(&mut self) -> Option<Option<u64>> {
        self.varint().map(|value| value.checked_sub(1))
    }

    /// Reads a float.
    pub fn f32(&mut self) -> Option<f32> {
        self.take(4).and_then(|bytes| bytes.try_into().ok()).map(f32::from_le_bytes)
    }

    /// Reads bytes with their length.
    pub fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = self.varint_as::<usize>()?;
        self.take(length)
    }

    /// Reads a string.
    pub fn text(&mut self) -> Option<&'a str> {
        str::from_utf8(self.bytes()?).ok()
    }
}
