use std::io::{BufRead, BufReader, PipeReader, PipeWriter, Read, Write, pipe};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{env, thread};

use rustix::pipe::{PIPE_BUF, fcntl_setpipe_size};

use super::*;
use crate::log::output::Descriptor;

/// Far longer than anything takes.
const LIMIT: Duration = Duration::from_secs(30);

/// A pipe that holds one page, and a sink that writes to it.
fn small_pipe() -> (Arc<LoopSink>, PipeReader) {
    let (reader, writer) = pipe().unwrap();
    (LoopSink::new(Descriptor(shrunk(writer))), reader)
}

fn shrunk(writer: PipeWriter) -> PipeWriter {
    fcntl_setpipe_size(&writer, PIPE_BUF).unwrap();
    writer
}

fn numbered(number: usize) -> String {
    format!("line {number} {}\n", "x".repeat(number % 300))
}

/// Returns the numbers of lines that must be whole and in order.
fn numbers(text: &str) -> Vec<usize> {
    assert!(text.is_empty() || text.ends_with('\n'), "the last line is cut");
    let numbers: Vec<usize> = text
        .split_inclusive('\n')
        .map(|line| {
            let number = line.split(' ').nth(1).unwrap().parse().unwrap();
            assert_eq!(line, numbered(number));
            number
        })
        .collect();
    assert!(numbers.is_sorted_by(|one, next| one < next), "{numbers:?}");
    numbers
}

/// Guards the event loop against a reader that stops: writing does not block, the queue is bounded, and each dropped line
/// is counted.
/// Once the reader goes on it gets whole lines in their order.
#[test]
fn a_stopped_reader_costs_lines_but_no_time() {
    const LINES: usize = 10 * MAX_QUEUED_LINES;
    let (sink, mut reader) = small_pipe();
    // This would never end if a write blocked.
    (0..LINES).for_each(|number| sink.write(&numbered(number)));
    let dropped = sink.dropped();
    assert!(dropped >= LINES - MAX_QUEUED_LINES - PIPE_BUF / numbered(0).len(), "{dropped}");
    let read = thread::spawn(move || {
        let mut text = String::new();
        reader.read_to_string(&mut text).unwrap();
        text
    });
    sink.flush(LIMIT);
    // More than waited before: the place is free again.
    (LINES..LINES + 10).for_each(|number| sink.write(&numbered(number)));
    sink.flush(LIMIT);
    assert_eq!(sink.dropped(), dropped);
    drop(sink);
    let numbers = numbers(&read.join().unwrap());
    assert_eq!(numbers.len() + dropped, LINES + 10);
    assert_eq!(numbers[..MAX_QUEUED_LINES], (0..MAX_QUEUED_LINES).collect::<Vec<_>>());
    assert_eq!(numbers.last(), Some(&(LINES + 9)));
}

/// Guards a flush against a reader that never resumes.
#[test]
fn a_flush_ends_at_its_limit() {
    let (sink, _reader) = small_pipe();
    (0..MAX_QUEUED_LINES).for_each(|number| sink.write(&numbered(number)));
    sink.flush(Duration::from_millis(20));
    assert!(!sink.queue().lines.is_empty());
}

/// Guards the count of lines to a closed pipe, and that the process goes on.
#[test]
fn lines_to_a_closed_pipe_are_counted() {
    let (sink, reader) = small_pipe();
    drop(reader);
    (0..10).for_each(|number| sink.write(&numbered(number)));
    assert_eq!((sink.dropped(), sink.queue().lines.len()), (10, 0));
}

/// Guards the rest of a line whose write was cut short, which a socket may do.
#[test]
fn a_partially_written_line_is_finished_first() {
    /// Takes three bytes at a time, every other time nothing, into what is shared.
    struct Grudging(Arc<Mutex<Vec<u8>>>, bool);
    impl Output for Grudging {
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
    let got = Arc::new(Mutex::new(Vec::new()));
    let sink = LoopSink::new(Grudging(got.clone(), false));
    (0..100).for_each(|number| sink.write(&numbered(number)));
    while sink.queue().write_some() != State::Empty {}
    let text = String::from_utf8(got.lock().unwrap().clone()).unwrap();
    assert_eq!(numbers(&text), (0..100).collect::<Vec<_>>());
}

/// Guards the loop against a slow disk: however many lines there are, writing takes a small share of the time.
#[test]
fn a_slow_disk_takes_a_bounded_share_of_time() {
    const WRITE: Duration = Duration::from_millis(5);
    struct Slow(Arc<AtomicUsize>);
    impl Output for Slow {
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
    let sink = LoopSink::new(Slow(writes.clone()));
    let start = Instant::now();
    (0..MAX_QUEUED_LINES).for_each(|number| sink.write(&numbered(number)));
    let most = 1 + start.elapsed().as_micros() / (WRITE * SLOW_WRITE_PAUSE_FACTOR).as_micros();
    assert!(
        (1..=most).contains(&(writes.load(Ordering::SeqCst) as u128)),
        "{writes:?} writes, {most} at most"
    );
    assert!(matches!(sink.queue().write_some(), State::Paused(left) if !left.is_zero()));
    // The end does not rest.
    let before = writes.load(Ordering::SeqCst);
    sink.flush(WRITE * 3);
    assert!(writes.load(Ordering::SeqCst) > before);
}

/// Guards what is written by the loop: a line that could not be written at its time is, without another event, once the
/// reader goes on.
#[test]
fn the_event_loop_writes_queued_lines() {
    let (sink, reader) = small_pipe();
    (0..200).for_each(|number| sink.write(&numbered(number)));
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
        let written = tokio::time::timeout(LIMIT, done).await;
        writer.abort();
        written
    });
    assert!(written.is_ok(), "lines still wait");
    assert_eq!(numbers(&read.join().unwrap()).len(), 200);
}

/// Names the variable that makes this program the child of the next test.
const CHILD: &str = "PUMICEHEAD_TEST_PANIC";

/// Guards the last words of a process that panics while lines wait: they and the panic's message are written, in order.
#[test]
fn lines_before_a_panic_are_written() {
    if env::var_os(CHILD).is_some() {
        panic_with_lines_waiting();
    }
    let (reader, writer) = pipe().unwrap();
    let mut command = Command::new(env::current_exe().unwrap());
    // The name of this test, as the harness has it.
    let name = thread::current().name().unwrap().to_owned();
    command.args(["--exact", &name, "--nocapture"]).env(CHILD, "1").env_remove("RUST_BACKTRACE");
    command.stdout(Stdio::piped()).stderr(Stdio::from(shrunk(writer)));
    let mut child = command.spawn().unwrap();
    // The command holds the pipe's other end.
    drop(command);
    let mut said = BufReader::new(child.stdout.take().unwrap()).lines();
    assert!(said.any(|line| line.unwrap().contains("lines wait")), "the child did not come that far");
    let mut text = io::read_to_string(reader).unwrap();
    said.for_each(drop);
    assert!(!child.wait().unwrap().success());
    let panic = text.split_off(text.trim_end().rfind('\n').unwrap() + 1);
    assert!(panic.contains("ERROR panic: thread '") && panic.contains("panicked at"), "{panic}");
    assert!(panic.ends_with(": on purpose\n"), "{panic}");
    assert_eq!(numbers(&text), (0..200).collect::<Vec<_>>());
}

fn panic_with_lines_waiting() -> ! {
    let sink = LoopSink::new(Descriptor(io::stderr()));
    crate::log::panic::set_hook(sink.clone(), LIMIT);
    (0..200).for_each(|number| sink.write(&numbered(number)));
    assert!(!sink.queue().lines.is_empty());
    println!("lines wait");
    io::stdout().flush().unwrap();
    panic!("on purpose");
}
