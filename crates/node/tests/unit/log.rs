use super::*;
use crate::log::format::{MAX_FIELD_BYTES, MAX_LINE_BYTES, utc};
use crate::log::sink::MAX_QUEUED_LINES;

#[test]
fn filter_syntax_is_validated() {
    for good in ["info", "off", "warn,discovery=debug", "front=trace,ERROR"] {
        assert!(parse_filter(good).is_ok(), "{good}");
    }
    for bad in ["", "loud", "info,", "front=", "front=loud", "a b=info", "\u{1b}[2J", &"info,".repeat(200)] {
        let message = parse_filter(bad).unwrap_err().to_string();
        assert!(message.chars().all(|character| !character.is_control()) && message.len() < 300, "{bad}");
    }
}

#[test]
fn former_targets_in_filters_select_the_present_ones() {
    let filter = |text| parse_filter(text).expect("the filter should be valid");
    assert!(filter("warn,calls=debug").would_enable("admin", &Level::DEBUG));
    assert!(!filter("warn,calls=debug").would_enable("loop", &Level::INFO));
    assert_eq!(filter("info,calls=off"), filter("info,admin=off"));
    assert_eq!(filter("callsigns=debug").to_string(), "callsigns=debug");
}

/// Without a reader, lines are dropped and counted, and writing does not block the event loop.
#[test]
fn stopped_reader_drops_lines_without_blocking() {
    struct BlockedWriter(std::sync::mpsc::Receiver<()>);
    impl io::Write for BlockedWriter {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _ = self.0.recv();
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let (resume, blocked) = std::sync::mpsc::channel();
    let (log, flush) = start_with_sink(Arc::new(ThreadSink::new(BlockedWriter(blocked))));
    for n in 0..10 * MAX_QUEUED_LINES {
        log.shared.write(Level::INFO, "test", &Fields::with_message(format!("line {n}")));
    }
    // One line is being written, and the queue is full.
    assert!(log.dropped() >= 9 * MAX_QUEUED_LINES - 1, "{}", log.dropped());
    drop(resume);
    drop(flush);
}

#[test]
fn times_are_formatted_as_rfc_3339() {
    assert_eq!(utc(0), "1970-01-01T00:00:00.000Z");
    assert_eq!(utc(951_782_399_999), "2000-02-28T23:59:59.999Z");
    assert_eq!(utc(951_782_400_000), "2000-02-29T00:00:00.000Z");
    assert_eq!(utc(1_798_761_599_001), "2026-12-31T23:59:59.001Z");
    assert_eq!(utc(4_107_542_400_000), "2100-03-01T00:00:00.000Z");
}

/// Lines that several processes write to the same pipe must not be mixed up. So no line is longer than an atomic
/// write in either format, and a shortened JSON line is still a valid object.
#[test]
fn no_line_is_longer_than_an_atomic_write() {
    for text in
        ["x".repeat(MAX_FIELD_BYTES), "\"\\".repeat(MAX_FIELD_BYTES / 2), "é".repeat(MAX_FIELD_BYTES / 2)]
    {
        for others in 0..20 {
            let names = ["one", "two", "three", "four"].into_iter().cycle();
            let others: Vec<_> = names.take(others).map(|name| (name, text.clone())).collect();
            let fields = Fields { message: text.clone(), others };
            for form in [LogFormat::Text, LogFormat::Json] {
                let line = line(form, 0, Level::INFO, "test", &fields);
                assert!(line.len() <= MAX_LINE_BYTES, "{} bytes", line.len());
                assert_eq!(line.matches('\n').count(), 1);
                let content = line.strip_suffix('\n').expect("the line should end with a line feed");
                if form == LogFormat::Json {
                    let object: serde_json::Value = serde_json::from_str(content).unwrap();
                    assert_eq!(object["level"], "INFO");
                }
            }
        }
    }
    let line = plain_line(&"a line\n".repeat(2_000));
    assert!(line.len() <= MAX_LINE_BYTES && line.matches('\n').count() == 1, "{line}");
}

/// At the end of the process, dropping the guard writes the queued lines, and waits for the reader for a limited
/// time.
#[test]
fn queued_lines_are_flushed_on_drop() {
    /// Accepts lines only from a writer that is willing to wait.
    struct OutputReadyOnWait(Arc<Mutex<String>>);
    impl output::Output for OutputReadyOnWait {
        fn is_ready(&mut self, limit: Duration) -> bool {
            !limit.is_zero()
        }

        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().unwrap().push_str(str::from_utf8(bytes).unwrap());
            Ok(bytes.len())
        }
    }
    let written = Arc::new(Mutex::new(String::new()));
    let (log, flush) = start_with_sink(LoopSink::new(OutputReadyOnWait(written.clone())));
    log.write_plain("one");
    log.write_plain("two");
    assert_eq!(*written.lock().unwrap(), "");
    drop(flush);
    assert_eq!(*written.lock().unwrap(), "one\ntwo\n");
}
