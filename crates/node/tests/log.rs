//! The platform's log: one thread in all, a reader that stops or goes away, and the last lines of a process.

use std::fs;
use std::io::{BufRead, BufReader, PipeReader, PipeWriter, Read, Write, pipe};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use pumicehead_testbed::program::{LIMIT, built, temporary, wait_for};
use pumicehead_testbed::scripted::*;
use rustix::pipe::{PIPE_BUF, fcntl_setpipe_size};

/// Large enough for all that a test has a node log.
const LARGE_PIPE: usize = 1 << 20;

fn folder() -> PathBuf {
    let path = temporary(".log");
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

/// A node on the platform whose log is read by the test alone, from a pipe that holds one page. Killed when dropped.
struct Logged {
    child: Child,
    folder: PathBuf,
    config: PathBuf,
    address: SocketAddr,
    calls: SocketAddr,
    log: BufReader<PipeReader>,
    /// The test's own end of the pipe, so that its size can be changed.
    pipe: PipeWriter,
}

impl Logged {
    fn start(backend: &Backend) -> Self {
        let folder = folder();
        let setup = Setup { folder: Some(folder.clone()), ..Setup::of(&[backend]) };
        let config = folder.join("edge.json");
        fs::write(&config, setup.text()).unwrap();
        let (reader, writer) = pipe().unwrap();
        fcntl_setpipe_size(&writer, PIPE_BUF).unwrap();
        let mut command = Command::new(built("pumicehead").unwrap());
        command.env("EDGE_CONFIG", &config).env("TMPDIR", &folder).stderr(writer.try_clone().unwrap());
        for name in ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_ADMIN", "EDGE_FD"] {
            command.env_remove(name);
        }
        let child = command.spawn().unwrap();
        let mut log = BufReader::new(reader);
        let mut address = || {
            let mut line = String::new();
            log.read_line(&mut line).unwrap();
            line.trim_end().rsplit(' ').next().unwrap().parse().unwrap()
        };
        let (address, calls) = (address(), address());
        Self { child, folder, config, address, calls, log, pipe: writer }
    }

    fn call(&self, line: &str) -> String {
        let mut caller = TcpStream::connect(self.calls).unwrap();
        caller.set_read_timeout(Some(LIMIT)).unwrap();
        caller.write_all(format!("{line}\n").as_bytes()).unwrap();
        std::io::read_to_string(caller).unwrap()
    }

    /// Has it log a line of some 300 bytes with a number.
    fn log_line(&self, number: usize) {
        let levels = format!("info,{}{number}=info", "x".repeat(250));
        assert_eq!(self.call(&format!("FILTER {levels}")), "OK\n");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    fn serves(&self) {
        let mut client = Client::connect(self.address);
        client.write(&request("submit", "x"));
        assert_eq!(client.read().unwrap().status(), 200);
    }

    /// Ends it in order: what it logged that was not read yet, without a reader meanwhile.
    fn end(mut self) -> String {
        fcntl_setpipe_size(&self.pipe, LARGE_PIPE).unwrap();
        self.signal("-TERM");
        wait_for("the node's end", || self.child.try_wait().unwrap().is_some());
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
        // The last one that could write is the test.
        let (_, writer) = pipe().unwrap();
        drop(std::mem::replace(&mut self.pipe, writer));
        let mut text = String::new();
        self.log.read_to_string(&mut text).unwrap();
        text
    }
}

impl Drop for Logged {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The numbers of [`Logged::log_line`], of lines that are all whole.
fn numbers(text: &str) -> Vec<usize> {
    assert!(text.ends_with('\n'), "the last line is cut: {text}");
    let number = |line: &str| {
        let (time, rest) = line.split_once(' ').unwrap();
        let level = rest.split_whitespace().next().unwrap();
        assert!(time.len() == 24 && time.ends_with('Z') && ["INFO", "WARN"].contains(&level), "{line}");
        let (_, levels) = line.split_once("log filter changed: info,")?;
        levels.trim_matches('x').strip_suffix("=info").map(|number| number.parse().unwrap())
    };
    text.lines().filter_map(number).collect()
}

fn threads(pid: u32) -> Vec<String> {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).unwrap().filter_map(Result::ok);
    tasks.filter_map(|task| fs::read_to_string(task.path().join("comm")).ok()).collect()
}

fn has_recording(folder: &Path) -> bool {
    let names = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    names.into_iter().any(|path| path.extension().is_some_and(|end| end == "rec"))
}

/// Guards that the platform's process has one thread, whatever it does: under load, as it logs, reloads its
/// configuration, answers commands and writes a recording.
#[test]
fn the_platform_process_has_one_thread() {
    let backend = Backend::start(|_| ok("done"));
    let folder = folder();
    let mut node = Setup { folder: Some(folder.clone()), ..Setup::of(&[&backend]) }.start();
    let one_thread = |node: &Node| {
        let threads = threads(node.pid());
        assert_eq!(threads.len(), 1, "{threads:?}");
    };
    one_thread(&node);
    let crowd = Crowd::start(&node, 8, "submit");
    wait_for("load", || {
        one_thread(&node);
        backend.count() > 200
    });
    node.reload(&node.config());
    assert_eq!(node.call("FILTER trace"), "OK\n");
    assert!(node.call("METRICS").ends_with("# EOF\n"));
    node.signal("-USR1");
    wait_for("a recording", || {
        one_thread(&node);
        has_recording(&folder)
    });
    let before = backend.count();
    wait_for("more load", || {
        one_thread(&node);
        backend.count() > before + 200
    });
    assert!(crowd.end().contains(&200));
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards the event loop against a reader of the log that stops: requests and commands are answered, and the lines that it
/// reads later are whole and in order.
#[test]
fn a_stopped_log_reader_does_not_block_requests() {
    let backend = Backend::start(|_| ok("done"));
    let node = Logged::start(&backend);
    let config = fs::read_to_string(&node.config).unwrap();
    // More than the pipe holds, of three kinds: only the first ten of a kind are logged one by one.
    for number in 0..12 {
        node.log_line(number);
        fs::write(&node.config, "{").unwrap();
        node.signal("-HUP");
        node.signal("-USR1");
        node.serves();
    }
    fs::write(&node.config, config).unwrap();
    let text = node.end();
    assert!(text.len() > PIPE_BUF, "{} bytes", text.len());
    let numbers = numbers(&text);
    assert!(numbers.len() >= 10 && numbers.is_sorted_by(|one, next| one < next), "{numbers:?}");
}

/// Guards the last lines before the end by SIGTERM: queued ones are written.
#[test]
fn lines_before_sigterm_are_flushed() {
    let backend = Backend::start(|_| ok("done"));
    let node = Logged::start(&backend);
    (0..10).for_each(|number| node.log_line(number));
    assert_eq!(numbers(&node.end()), (0..10).collect::<Vec<_>>());
}

/// Guards the exit against a reader that never resumes.
#[test]
fn the_exit_does_not_wait_for_a_stopped_log_reader() {
    let backend = Backend::start(|_| ok("done"));
    let mut node = Logged::start(&backend);
    (0..10).for_each(|number| node.log_line(number));
    node.signal("-TERM");
    wait_for("the node's end", || node.child.try_wait().unwrap().is_some());
}

/// Guards the count of dropped lines, and a node whose log reader is gone.
#[test]
fn dropped_log_lines_are_counted() {
    let backend = Backend::start(|_| ok("done"));
    let mut node = Logged::start(&backend);
    let (reader, writer) = pipe().unwrap();
    node.log = BufReader::new(reader);
    node.pipe = writer;
    (0..5).for_each(|number| node.log_line(number));
    node.serves();
    let figure = |line: &str| line.strip_prefix("pumicehead_log_lines_dropped ")?.trim().parse::<f64>().ok();
    // After a write that took long, as it may on a busy machine, lines wait for a while before they are tried.
    wait_for("the count", || {
        let figures = node.call("METRICS");
        figures.lines().find_map(figure).unwrap_or_else(|| panic!("{figures}")) >= 5.0
    });
    node.signal("-TERM");
    wait_for("the node's end", || node.child.try_wait().unwrap().is_some());
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}
