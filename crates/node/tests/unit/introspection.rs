use std::fs;

use super::recording_file::{MAX_FILES, RecordingFile};
use super::*;

#[test]
fn panic_writes_a_recording() {
    let folder = std::env::temp_dir().join(format!("pumicehead-panic-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let (log, _flush) = crate::log::start_with_thread();
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build_local(tokio::runtime::LocalOptions::default()).unwrap();
    runtime.block_on(async {
        let introspection = Introspection::new(
            "n0",
            Clock::start(),
            1 << 20,
            1,
            log,
            RecordingDestination::BlockingThread(folder.clone()),
        );
        introspection.start().unwrap();
        let result = task::spawn_local(async { panic!("on purpose, in a test") }).await;
        assert!(result.is_err());
    });
    let file = fs::read_dir(&folder).unwrap().next().unwrap().unwrap().path();
    let recording = pumicehead_flight_recorder::recording::Recording::read(&fs::read(file).unwrap()).unwrap();
    assert!(recording.header.reason.contains("on purpose"), "{}", recording.header.reason);
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn only_the_newest_recordings_of_a_node_are_kept() {
    let folder = std::env::temp_dir().join(format!("pumicehead-introspection-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("other.rec"), "x").unwrap();
    for number in 0..9 {
        let path = RecordingFile::new(&folder, 7, number).write(b"abc").unwrap();
        assert_eq!(fs::read(path).unwrap(), b"abc");
    }
    RecordingFile::new(&folder, 8, 0).write(b"abc").unwrap();
    assert_eq!(fs::read_dir(&folder).unwrap().count(), MAX_FILES + 2);
    fs::remove_dir_all(&folder).unwrap();
    assert!(RecordingFile::new(&folder, 7, 1).write(b"abc").is_err());
}
