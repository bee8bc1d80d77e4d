//! Generates responses that an endpoint writes in bursts. Does no I/O.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Size of the largest body, in bytes.
const MAX_BODY_BYTES: f64 = 250_000.0;
/// Largest number of bursts of a body.
const MAX_BURSTS: usize = 12;
/// Longest delay before the head.
const MAX_HEAD_DELAY_S: f64 = 0.3;
/// Longest time from the head of a response to its end.
pub const MAX_BURSTS_TIME: Duration = Duration::from_millis(1_800);
/// The last byte of a body, which occurs nowhere else in it.
pub const LAST_BYTE: u8 = b'.';

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a stated length.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the last chunk, with a trailer field.
    ChunkedWithTrailer,
    /// By the end of the connection.
    Close,
}

/// How a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// It is complete.
    Complete,
    /// The connection is reset in place of the last burst.
    Reset,
}

/// A response that is written in bursts.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseBursts {
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Delay before the head.
    pub head_delay: Duration,
    /// Sizes of the bursts, in bytes; the first one follows the head at once.
    pub bursts: Vec<usize>,
    /// Pause before each burst but the first, and before the end of a chunked body.
    pub pause: Duration,
    /// How it ends.
    pub end: ResponseEnd,
}

impl ResponseBursts {
    /// Generates the response to a request: a seed and an id always give the same one.
    #[must_use]
    pub fn generate(seed: u64, id: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003) ^ id);
        let size = MAX_BODY_BYTES.powf(rng.random::<f64>()) as usize;
        let bursts = random_bursts(&mut rng, size.max(1));
        let pauses = bursts.len() as f64;
        Self {
            framing: match rng.random_range(0..4) {
                0 => BodyFraming::Length,
                1 => BodyFraming::Chunked,
                2 => BodyFraming::ChunkedWithTrailer,
                _ => BodyFraming::Close,
            },
            head_delay: Duration::from_secs_f64(rng.random_range(0.0..MAX_HEAD_DELAY_S)),
            pause: MAX_BURSTS_TIME.mul_f64(rng.random_range(0.0..1.0) / pauses),
            end: if rng.random_range(0..8) == 0 { ResponseEnd::Reset } else { ResponseEnd::Complete },
            bursts,
        }
    }

    /// Returns the size of the body in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.bursts.iter().sum()
    }

    /// Returns the body of the response to a request: its id on lines of its own, and [`LAST_BYTE`].
    #[must_use]
    pub fn body(&self, id: u64) -> Vec<u8> {
        let line = format!("{id:x}\n").into_bytes();
        let text = line.into_iter().cycle().take(self.size() - 1);
        text.chain([LAST_BYTE]).collect()
    }
}

/// Returns whether a body is that of a complete response to a request.
#[must_use]
pub fn is_body_of(id: u64, body: &[u8]) -> bool {
    let line = format!("{id:x}\n").into_bytes();
    match body.split_last() {
        Some((&LAST_BYTE, text)) => text.iter().eq(line.iter().cycle().take(text.len())),
        _ => body == line,
    }
}

/// Splits a body into bursts of one size, or into all but the last byte and that one.
fn random_bursts(rng: &mut StdRng, size: usize) -> Vec<usize> {
    if size > 1 && rng.random_range(0..5) == 0 {
        return vec![size - 1, 1];
    }
    let burst = size.div_ceil(rng.random_range(1..=MAX_BURSTS));
    let mut bursts = vec![burst; size / burst];
    if !size.is_multiple_of(burst) {
        bursts.push(size % burst);
    }
    bursts
}
