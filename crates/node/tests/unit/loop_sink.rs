use std::io::{BufRead, BufReader, PipeReader, PipeWriter, Read, Write, pipe};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{env, thread};

use rustix::pipe::{PIPE_BUF, fcntl_setpipe_size};

use super::*;
use crate::log::output::Descriptor;

/// Time limit that is far longer than any operation in the tests takes.
const TIME_LIMIT: Duration = Duration::from_secs(30);

/// Returns a sink that writes to a pipe with a capacity of one page, and the reader of the pipe.
fn small_pipe() -> (Arc<LoopSink>, PipeReader) {
    let (reader, writer) = pipe().unwrap();
    (LoopSink::new(Descriptor(with_min_capacity(writer))), reader)
}

fn with_min_capacity(writer: PipeWriter) -> PipeWriter {
    fcntl_setpipe_size(&writer, PIPE_BUF).unwrap();
    writer
}

fn numbered_line(number: usize) -> String {
    format!("line {number} {}\n", "x".repeat(number % 300))
}

/// Returns the numbers of the lines, and checks that the lines are complete and in order.
fn line_numbers(text: &str) -> Vec<usize> {
    assert!(text.is_empty() || text.ends_with('\n'), "the last line is truncated");
    let numbers: Vec<usize> = text
        .split_inclusive('\n')
        .map(|line| {
            let number = line.split(' ').nth(1).unwrap().parse().unwrap();
            assert_eq!(line, numbered_line(number));
            number
        })
        .collect();
    assert!(numbers.is_sorted_by(|one, next| one < next), "{numbers:?}");
    numbers
}

/// If the reader stops, writing does not block the event loop, the queue is bounded, and each dropped line is
/// counted. Once the reader resumes, it gets complete lines in order.
#[test]
fn stopped_reader_drops_lines_without_blocking_the_loop() {
    const LINES: usize = 10 * MAX_QUEUED_LINES;
    let (sink, mut reader) = small_pipe();
    // This would never end if a write blocked.
    (0..LINES).for_each(|number| sink.write(&numbered_line(number)));
    let dropped = sink.dropped();
    assert!(dropped >= LINES - MAX_QUEUED_LINES - PIPE_BUF / numbered_line(0).len(), "{dropped}");
    let read = thread::spawn(move || {
        let mut text = String::new();
        reader.read_to_string(&mut text).unwrap();
        text
    });
    sink.flush(TIME_LIMIT);
    // These lines are written as well, because the queue has space again.
    (LINES..LINES + 10).for_each(|number| sink.write(&numbered_line(number)));
    sink.flush(TIME_LIMIT);
    assert_eq!(sink.dropped(), dropped);
    drop(sink);
    let numbers = line_numbers(&read.join().unwrap());
    assert_eq!(numbers.len() + dropped, LINES + 10);
    assert_eq!(numbers[..MAX_QUEUED_LINES], (0..MAX_QUEUED_LINES).collect::<Vec<_>>());
    assert_eq!(numbers.last(), Some(&(LINES + 9)));
}

/// A flush ends even if the reader never resumes.
#[test]
fn flush_ends_at_its_time_limit() {
    let (sink, _reader) = small_pipe();
    (0..MAX_QUEUED_LINES).for_each(|number| sink.write(&numbered_line(number)));
    sink.flush(Duration::from_millis(20));
    assert!(!sink.queue().lines.is_empty());
}

/// Lines that are written to a closed pipe are counted as dropped, and the process continues.
#[test]
fn lines_to_a_closed_pipe_are_counted_as_dropped() {
    let (sink, reader) = small_pipe();
    drop(reader);
    (0..10).for_each(|number| sink.write(&numbered_line(number)));
    assert_eq!((sink.dropped(), sink.queue().lines.len()), (10, 0));
}

/// After a partial write, which is possible on a socket, the rest of the line is written before the next line.
#[test]
fn partially_written_line_is_finished_first() {
    /// Accepts three bytes at a time, and every other time none.
    struct PartialOutput(Arc<Mutex<Vec<u8>>>, bool);
    impl Output for PartialOutput {
        fn is_ready(&mut self, _: Duration) -> bool {
            true
        }

        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.1 = !self.1;
            if self.1 {
                return Err(io::ErrorKind::WouldBlock.into());
            }
            let taken = bytes.len().min(3);
            self.0.lock().unwrap().extend_from_slice(&bytes[..taken]);
            Ok(taken)
        }
    }
    let written = Arc::new(Mutex::new(Vec::new()));
    let sink = LoopSink::new(PartialOutput(written.clone(), false));
    (0..100).for_each(|number| sink.write(&numbered_line(number)));
    while sink.queue().write_some() != State::Empty {}
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert_eq!(line_numbers(&text), (0..100).collect::<Vec<_>>());
}

/// With a slow disk, writing takes only a small share of the event loop's time, regardless of the number of lines.
#[test]
fn slow_disk_takes_a_bounded_share_of_time() {
    const WRITE: Duration = Duration::from_millis(5);
    struct SlowOutput(Arc<AtomicUsize>);
    impl Output for SlowOutput {
        fn is_ready(&mut self, _: Duration) -> bool {
            true
        }

        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.fetch_add(1, Ordering::SeqCst);
            thread::sleep(WRITE);
            Ok(bytes.len())
        }
    }
    let writes = Arc::new(AtomicUsize::new(0));
    let sink = LoopSink::new(SlowOutput(writes.clone()));
    let start = Instant::now();
    (0..MAX_QUEUED_LINES).for_each(|number| sink.write(&numbered_line(number)));
    let max_writes = 1 + start.elapsed().as_micros() / (WRITE * SLOW_WRITE_PAUSE_FACTOR).as_micros();
    assert!(
        (1..=max_writes).contains(&(writes.load(Ordering::SeqCst) as u128)),
        "{writes:?} writes, {max_writes} at most"
    );
    assert!(matches!(sink.queue().write_some(), State::Paused(left) if !left.is_zero()));
    // The flush at the end of the process does not pause.
    let before = writes.load(Ordering::SeqCst);
    sink.flush(WRITE * 3);
    assert!(writes.load(Ordering::SeqCst) > before);
}

/// A line that could not be written immediately is written by the event loop once the reader resumes, without any
/// other event.
#[test]
fn event_loop_writes_queued_lines_once_the_reader_resumes() {
    let (sink, reader) = small_pipe();
    (0..200).for_each(|number| sink.write(&numbered_line(number)));
    assert!(!sink.queue().lines.is_empty());
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build_local(tokio::runtime::LocalOptions::default()).unwrap();
    let read = thread::spawn(move || {
        let lines = BufReader::new(reader).lines().take(200);
        lines.map(|line| line.unwrap() + "\n").collect::<String>()
    });
    let written = runtime.block_on(async {
        let writer = tokio::task::spawn_local(sink.clone().write_queued());
        let done = async {
            while !sink.queue().lines.is_empty() {
                sleep(Duration::from_millis(1)).await
            }
        };
        let written = tokio::time::timeout(TIME_LIMIT, done).await;
        writer.abort();
        written
    });
    assert!(written.is_ok(), "lines are still queued");
    assert_eq!(line_numbers(&read.join().unwrap()).len(), 200);
}

/// Environment variable that makes this program the child process of the next test.
const CHILD_VARIABLE: &str = "PUMICEHEAD_TEST_PANIC";

/// If a process panics while lines are queued, these lines and the panic's message are written in order.
#[test]
fn queued_lines_are_written_before_a_panic_message() {
    if env::var_os(CHILD_VARIABLE).is_some() {
        panic_with_queued_lines();
    }
    let (reader, writer) = pipe().unwrap();
    let mut command = Command::new(env::current_exe().unwrap());
    // The name of this test in the test harness.
    let name = thread::current().name().unwrap().to_owned();
    command.args(["--exact", &name, "--nocapture"]).env(CHILD_VARIABLE, "1").env_remove("RUST_BACKTRACE");
    command.stdout(Stdio::piped()).stderr(Stdio::from(with_min_capacity(writer)));
    let mut child = command.spawn().unwrap();
    // The command holds the write end of the pipe.
    drop(command);
    let mut stdout_lines = BufReader::new(child.stdout.take().unwrap()).lines();
    assert!(
        stdout_lines.any(|line| line.unwrap().contains("lines are queued")),
        "the child ended before its lines were queued"
    );
    let mut text = io::read_to_string(reader).unwrap();
    stdout_lines.for_each(drop);
    assert!(!child.wait().unwrap().success());
    let panic = text.split_off(text.trim_end().rfind('\n').unwrap() + 1);
    assert!(panic.contains("ERROR panic: thread '") && panic.contains("panicked at"), "{panic}");
    assert!(panic.ends_with(": on purpose\n"), "{panic}");
    assert_eq!(line_numbers(&text), (0..200).collect::<Vec<_>>());
}

fn panic_with_queued_lines() -> ! {
    let sink = LoopSink::new(Descriptor(io::stderr()));
    crate::log::panic::set_hook(sink.clone(), TIME_LIMIT);
    (0..200).for_each(|number| sink.write(&numbered_line(number)));
    assert!(!sink.queue().lines.is_empty());
    println!("lines are queued");
    io::stdout().flush().unwrap();
    panic!("on purpose");
}
