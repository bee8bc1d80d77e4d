use super::*;
use pumicehead_admin::disabled_backends::BackendState;
use tokio::runtime::Builder;

fn block_on<T>(work: impl Future<Output = T>) -> T {
    Builder::new_current_thread().enable_time().build().unwrap().block_on(work)
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("pumicehead-state-file-{}-{name}", std::process::id()));
    fs::create_dir_all(&path).unwrap();
    path
}

#[test]
fn processes_extend_the_state_written_by_others() {
    let folder = folder("two");
    let (mut one, mut other) = (StateFile::new(&folder, "n/1"), StateFile::new(&folder, "n/1"));
    assert!(one.read_if_changed().unwrap().is_none());
    let empty = DisabledBackends::default();
    block_on(one.update(&empty, |disabled| disabled.disable("a", 1))).unwrap();
    assert!(one.read_if_changed().unwrap().is_none(), "its own write is not reported as a change");
    assert_eq!(other.read_if_changed().unwrap().unwrap().state("a", 0), BackendState::Disabled);
    let disabled = block_on(other.update(&empty, |disabled| disabled.disable("b", 2))).unwrap();
    assert_eq!(
        (disabled.state("a", 0), disabled.state("b", 0)),
        (BackendState::Disabled, BackendState::Disabled)
    );
    assert_eq!(one.read_if_changed().unwrap().unwrap(), disabled);
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn damaged_file_is_replaced_from_known_state() {
    let folder = folder("damaged");
    let mut state_file = StateFile::new(&folder, "n1");
    let mut known = DisabledBackends::default();
    known.disable("a", 1).unwrap();
    fs::write(&state_file.path, "{\"v\":1,\"serv").unwrap();
    assert!(matches!(state_file.read_if_changed(), Err(StateFileError::Content { .. })));
    assert!(state_file.read_if_changed().unwrap().is_none(), "the error is reported only once");
    let disabled = block_on(state_file.update(&known, |disabled| disabled.disable("b", 2))).unwrap();
    assert_eq!(disabled.state("a", 0), BackendState::Disabled);
    assert_eq!(StateFile::new(&folder, "n1").read_if_changed().unwrap(), Some(disabled));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn update_fails_in_time_if_the_lock_stays_held() {
    let folder = folder("locked");
    let mut state_file = StateFile::new(&folder, "n1");
    let held = File::create(state_file.path.with_extension("lock")).unwrap();
    held.lock().unwrap();
    let done = block_on(state_file.update(&DisabledBackends::default(), |disabled| disabled.disable("a", 1)));
    assert!(matches!(done, Err(StateFileError::Locked)));
    assert!(state_file.read_if_changed().unwrap().is_none(), "nothing was written");
    fs::remove_dir_all(folder).unwrap();
}
