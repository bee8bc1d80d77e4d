//! Measures a node's event loop: from outside by requests that need no backend, and by the processor time of the loop's
//! thread between two sleeps.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::file::HOST;
use super::procfs;
use crate::scripted::Message;

/// Pause between a response and the next request.
const PROBE_GAP: Duration = Duration::from_millis(1);
/// Interval between readings of the loop's processor time.
const SAMPLE_GAP: Duration = Duration::from_micros(300);
/// Timeout of a response.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);
/// A path without a route, which the node answers with 404 by itself.
const UNKNOWN_PATH: &str = "/unknown";

/// A client that sends one request after another on one connection.
pub struct ProbeClient {
    stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl ProbeClient {
    /// Opens the connection.
    ///
    /// # Errors
    /// Those of the system.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_LIMIT))?;
        Ok(Self { input: BufReader::new(stream.try_clone()?), stream })
    }

    /// Sends a GET request and returns the status code of the response.
    ///
    /// # Errors
    /// A connection that ends first.
    pub fn ask(&mut self, path: &str, fields: &str) -> io::Result<u16> {
        let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{fields}\r\n");
        self.stream.write_all(request.as_bytes())?;
        let answer = Message::read(&mut self.input).ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(answer.status())
    }

    /// Returns the latency of a response that the node gives by itself.
    ///
    /// # Errors
    /// A connection that ends, or another response.
    pub fn time_own_answer(&mut self) -> io::Result<Duration> {
        let start = Instant::now();
        match self.ask(UNKNOWN_PATH, "")? {
            404 => Ok(start.elapsed()),
            status => Err(io::Error::other(format!("{UNKNOWN_PATH} was answered with {status}"))),
        }
    }
}

/// Measurements of an event loop over some time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopTimes {
    /// The longest latency of a response that the node gives by itself. Includes time in which the node or the client waited
    /// for a processor.
    pub longest_answer: Duration,
    /// A lower bound of the longest processor time of the loop's thread between two sleeps. Without waits for a processor.
    pub longest_turn: Duration,
    /// Number of responses.
    pub answers: u64,
}

/// Samples the processor time of a node's loop on a thread until it is stopped; sends the node nothing.
pub struct TurnWatch {
    over: Arc<AtomicBool>,
    sampler: JoinHandle<io::Result<Duration>>,
}

impl TurnWatch {
    /// Starts to sample.
    ///
    /// # Errors
    /// A process that `/proc` does not have.
    pub fn start(process: u32) -> io::Result<Self> {
        let first = read_turns(process)?;
        let over = Arc::new(AtomicBool::new(false));
        let sampler_over = over.clone();
        let sampler = thread::spawn(move || sample_until(&sampler_over, process, first));
        Ok(Self { over, sampler })
    }

    /// Stops, and returns a lower bound of the longest turn.
    ///
    /// # Errors
    /// A process that `/proc` does not have.
    pub fn stop(self) -> io::Result<Duration> {
        self.over.store(true, Ordering::Relaxed);
        self.sampler.join().map_err(|_| io::Error::other("sampler thread panicked"))?
    }
}

/// Measures a node's loop by requests and by its processor time until it is stopped.
pub struct LoopWatch {
    over: Arc<AtomicBool>,
    client: JoinHandle<io::Result<(Duration, u64)>>,
    turns: TurnWatch,
}

impl LoopWatch {
    /// Starts to measure, after a first request on the connection.
    ///
    /// # Errors
    /// A node that does not answer.
    pub fn start(process: u32, address: SocketAddr) -> io::Result<Self> {
        let mut probe = ProbeClient::connect(address)?;
        probe.time_own_answer()?;
        let turns = TurnWatch::start(process)?;
        let over = Arc::new(AtomicBool::new(false));
        let client_over = over.clone();
        let client = thread::spawn(move || probe_until(&client_over, &mut probe));
        Ok(Self { over, client, turns })
    }

    /// Stops, and returns the measurements.
    ///
    /// # Errors
    /// A node that did not answer, or that `/proc` does not have.
    pub fn stop(self) -> io::Result<LoopTimes> {
        self.over.store(true, Ordering::Relaxed);
        let client = self.client.join().map_err(|_| io::Error::other("client thread panicked"))?;
        let longest_turn = self.turns.stop()?;
        let (longest_answer, answers) = client?;
        Ok(LoopTimes { longest_answer, longest_turn, answers })
    }
}

/// Sends requests in a closed loop. Returns the longest latency and the number of responses.
fn probe_until(over: &AtomicBool, probe: &mut ProbeClient) -> io::Result<(Duration, u64)> {
    let (mut longest, mut answers) = (Duration::ZERO, 0);
    loop {
        longest = longest.max(probe.time_own_answer()?);
        answers += 1;
        if over.load(Ordering::Relaxed) {
            return Ok((longest, answers));
        }
        thread::sleep(PROBE_GAP);
    }
}

/// Samples the loop's processor time and its number of sleeps.
fn sample_until(over: &AtomicBool, process: u32, first: TurnReading) -> io::Result<Duration> {
    let mut turns = TurnTracker::new(first);
    loop {
        turns.add(read_turns(process)?);
        if over.load(Ordering::Relaxed) {
            return Ok(turns.longest());
        }
        thread::sleep(SAMPLE_GAP);
    }
}

fn read_turns(process: u32) -> io::Result<TurnReading> {
    // Sleeps first: processor time used between the two reads is then attributed to the current turn.
    let sleeps = procfs::sleeps(process, process)?;
    Ok(TurnReading { sleeps, used: procfs::thread_time(process, process)? })
}

/// A sample of a thread.
#[derive(Clone, Copy, Debug)]
pub struct TurnReading {
    /// Number of its sleeps.
    pub sleeps: u64,
    /// Its processor time.
    pub used: Duration,
}

/// A lower bound of the longest processor time of a thread between two sleeps, from samples.
#[derive(Clone, Copy, Debug)]
pub struct TurnTracker {
    anchor: TurnReading,
    longest: Duration,
}

impl TurnTracker {
    /// Starts from a first sample.
    #[must_use]
    pub fn new(first: TurnReading) -> Self {
        Self { anchor: first, longest: Duration::ZERO }
    }

    /// Takes a later sample. Where the thread slept several times in between, the mean counts, which is at most the longest.
    pub fn add(&mut self, reading: TurnReading) {
        let sleeps = reading.sleeps.saturating_sub(self.anchor.sleeps);
        if sleeps == 0 {
            return;
        }
        let used = reading.used.saturating_sub(self.anchor.used);
        let mean = used / u32::try_from(sleeps).unwrap_or(u32::MAX);
        self.longest = self.longest.max(mean);
        self.anchor = reading;
    }

    /// The lower bound so far.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.longest
    }
}
