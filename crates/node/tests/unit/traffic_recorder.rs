use std::{env, fs, process};

use super::*;

#[test]
fn recording_contains_requests_and_overwrites_no_file() {
    let path = env::temp_dir().join(format!("record-{}.jsonl", process::id()));
    let recorder = TrafficRecorder::start(&path).unwrap();
    recorder.record("GET", "/a\"b?c=d", 0);
    recorder.record("POST", "/runs", 120);
    recorder.record("OPTIONS", "*", 0);
    recorder.record("GET", &format!("/{}", "x".repeat(MAX_TARGET_BYTES)), 0);
    assert_eq!(recorder.dropped.get(), 2);
    assert!(TrafficRecorder::start(&path).is_err(), "an existing recording was overwritten");
    drop(recorder);
    let text = fs::read_to_string(&path).unwrap();
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 2);
    assert_eq!((&lines[0]["path"], &lines[0]["body"]), (&"/a\"b?c=d".into(), &0.into()));
    assert_eq!((&lines[1]["method"], &lines[1]["body"]), (&"POST".into(), &120.into()));
    assert!(lines[0]["at"].as_f64().unwrap() <= lines[1]["at"].as_f64().unwrap());
    fs::remove_file(path).unwrap();
}

#[test]
fn stalled_disk_drops_lines_instead_of_blocking() {
    let (lines, waiting) = sync_channel(1);
    let recorder =
        TrafficRecorder { started: Instant::now(), lines: Some(lines), writer: None, dropped: Cell::new(0) };
    for _ in 0..5 {
        recorder.record("GET", "/", 0);
    }
    assert_eq!((recorder.dropped.get(), waiting.try_iter().count()), (4, 1));
}
