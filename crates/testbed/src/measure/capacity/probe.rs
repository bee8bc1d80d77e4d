//! Measures a node's event loop: from outside by a client that asks what needs no backend, and by the processor time of
//! the loop's thread between two sleeps.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::file::HOST;
use super::procfs;
use crate::scripted::Message;

/// Between an answer and the next request.
const PROBE_GAP: Duration = Duration::from_millis(1);
/// Between two readings of the loop's processor time.
const SAMPLE_GAP: Duration = Duration::from_micros(300);
/// A node that takes longer over any answer has failed.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);
/// A path that no route has: the node answers it by itself, with 404.
const UNKNOWN_PATH: &str = "/unknown";

/// A client that asks one request after another on one connection.
pub struct ProbeClient {
    stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl ProbeClient {
    /// Connects.
    ///
    /// # Errors
    /// Those of the system.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_LIMIT))?;
        Ok(Self { input: BufReader::new(stream.try_clone()?), stream })
    }

    /// The status of an answer to a read.
    ///
    /// # Errors
    /// A connection that ends first.
    pub fn ask(&mut self, path: &str, fields: &str) -> io::Result<u16> {
        let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{fields}\r\n");
        self.stream.write_all(request.as_bytes())?;
        let answer = Message::read(&mut self.input).ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(answer.status())
    }

    /// How long the node takes over an answer of its own.
    ///
    /// # Errors
    /// A connection that ends, or another answer.
    pub fn time_own_answer(&mut self) -> io::Result<Duration> {
        let start = Instant::now();
        match self.ask(UNKNOWN_PATH, "")? {
            404 => Ok(start.elapsed()),
            status => Err(io::Error::other(format!("{UNKNOWN_PATH} was answered with {status}"))),
        }
    }
}

/// What was seen of a loop over some time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopTimes {
    /// The longest time that the node took over an answer of its own. Includes waits for a processor, of the node and of
    /// the client.
    pub longest_answer: Duration,
    /// Processor time of the loop's thread between two of its sleeps, the longest; at least this. Free of such waits.
    pub longest_turn: Duration,
    /// Answers.
    pub answers: u64,
}

/// Watches the processor time of a node's loop on a thread until it is stopped; asks the node nothing.
pub struct TurnWatch {
    over: Arc<AtomicBool>,
    sampler: JoinHandle<io::Result<Duration>>,
}

impl TurnWatch {
    /// Begins.
    ///
    /// # Errors
    /// A process that the system does not tell of.
    pub fn start(process: u32) -> io::Result<Self> {
        let first = read_turns(process)?;
        let over = Arc::new(AtomicBool::new(false));
        let sampler_over = over.clone();
        let sampler = thread::spawn(move || sample_until(&sampler_over, process, first));
        Ok(Self { over, sampler })
    }

    /// Ends it: the longest turn, at least.
    ///
    /// # Errors
    /// A process that the system told nothing of.
    pub fn stop(self) -> io::Result<Duration> {
        self.over.store(true, Ordering::Relaxed);
        self.sampler.join().map_err(|_| io::Error::other("a thread failed"))?
    }
}

/// Watches a node's loop from outside as well until it is stopped.
pub struct LoopWatch {
    over: Arc<AtomicBool>,
    client: JoinHandle<io::Result<(Duration, u64)>>,
    turns: TurnWatch,
}

impl LoopWatch {
    /// Begins, with a connection that is open and has been used.
    ///
    /// # Errors
    /// A node that does not answer.
    pub fn start(process: u32, address: SocketAddr) -> io::Result<Self> {
        let mut probe = ProbeClient::connect(address)?;
        probe.time_own_answer()?;
        let turns = TurnWatch::start(process)?;
        let over = Arc::new(AtomicBool::new(false));
        let client_over = over.clone();
        let client = thread::spawn(move || ask_until(&client_over, &mut probe));
        Ok(Self { over, client, turns })
    }

    /// Ends it.
    ///
    /// # Errors
    /// A node that did not answer, or that the system told nothing of.
    pub fn stop(self) -> io::Result<LoopTimes> {
        self.over.store(true, Ordering::Relaxed);
        let client = self.client.join().map_err(|_| io::Error::other("a thread failed"))?;
        let longest_turn = self.turns.stop()?;
        let (longest_answer, answers) = client?;
        Ok(LoopTimes { longest_answer, longest_turn, answers })
    }
}

/// Asks in a closed loop: the longest answer, and how many there were.
fn ask_until(over: &AtomicBool, probe: &mut ProbeClient) -> io::Result<(Duration, u64)> {
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

/// Reads the loop's processor time and how often it slept; a span between readings with several sleeps counts by its mean.
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
    // Sleeps first: time that is used between the two reads then counts to the turn that is under way.
    let sleeps = procfs::sleeps(process, process)?;
    Ok(TurnReading { sleeps, used: procfs::thread_time(process, process)? })
}

/// A reading of a thread.
#[derive(Clone, Copy, Debug)]
pub struct TurnReading {
    /// How often it went to sleep.
    pub sleeps: u64,
    /// Its processor time.
    pub used: Duration,
}

/// The longest processor time of a thread between two sleeps, from readings now and then.
#[derive(Clone, Copy, Debug)]
pub struct TurnTracker {
    anchor: TurnReading,
    longest: Duration,
}

impl TurnTracker {
    /// From a first reading on.
    #[must_use]
    pub fn new(first: TurnReading) -> Self {
        Self { anchor: first, longest: Duration::ZERO }
    }

    /// Takes a later reading. Where the thread slept several times since the last sleep that was seen, the mean counts,
    /// which is no more than the longest.
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

    /// The longest so far; the true one is this or more.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.longest
    }
}
