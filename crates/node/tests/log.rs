//! The log of a node on the platform: it needs no thread, a reader may stop or go away, and the last lines before the exit
//! are written.

use std::fs;
use std::io::{BufRead, BufReader, PipeReader, PipeWriter, Read, Write, pipe};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use pumicehead_testbed::program::{LIMIT, built, temporary, wait_for};
use pumicehead_testbed::scripted::*;
use rustix::pipe::{PIPE_BUF, fcntl_setpipe_size};

/// Pipe size in bytes, larger than the whole log of a test.
const LARGE_PIPE: usize = 1 << 20;

fn new_folder() -> PathBuf {
    let path = temporary(".log");
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

/// A node on the platform whose log the test reads from a pipe of one page, when it chooses to; killed on drop.
struct LoggingNode {
    child: Child,
    folder: PathBuf,
    config: PathBuf,
    address: SocketAddr,
    admin: SocketAddr,
    log: BufReader<PipeReader>,
    /// The test's copy of the writing end, through which it changes the pipe's size.
    pipe: PipeWriter,
}

impl LoggingNode {
    fn start(backend: &Backend) -> Self {
        let folder = new_folder();
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
        let (address, admin) = (address(), address());
        Self { child, folder, config, address, admin, log, pipe: writer }
    }

    fn call(&self, line: &str) -> String {
        let mut caller = TcpStream::connect(self.admin).unwrap();
        caller.set_read_timeout(Some(LIMIT)).unwrap();
        caller.write_all(format!("{line}\n").as_bytes()).unwrap();
        std::io::read_to_string(caller).unwrap()
    }

    /// Has the node log a line of about 300 bytes with a number.
    fn log_line(&self, number: usize) {
        let levels = format!("info,{}{number}=info", "x".repeat(250));
        assert_eq!(self.call(&format!("FILTER {levels}")), "OK\n");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    fn assert_serves(&self) {
        let mut client = Client::connect(self.address);
        client.write(&request("submit", "x"));
        assert_eq!(client.read().unwrap().status(), 200);
    }

    /// Terminates the node and waits for its exit while nothing reads the log. Returns the unread part of the log.
    fn terminate(mut self) -> String {
        fcntl_setpipe_size(&self.pipe, LARGE_PIPE).unwrap();
        self.signal("-TERM");
        wait_for("the node to exit", || self.child.try_wait().unwrap().is_some());
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
        // Closes the test's own writing end, the last one, so that the log has an end.
        let (_, writer) = pipe().unwrap();
        drop(std::mem::replace(&mut self.pipe, writer));
        let mut text = String::new();
        self.log.read_to_string(&mut text).unwrap();
        text
    }
}

impl Drop for LoggingNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the numbers of [`LoggingNode::log_line`] in a log, of which it asserts that all lines are complete.
fn numbers(text: &str) -> Vec<usize> {
    assert!(text.ends_with('\n'), "the last line is incomplete: {text}");
    let number = |line: &str| {
        let (time, rest) = line.split_once(' ').unwrap();
        let level = rest.split_whitespace().next().unwrap();
        assert!(time.len() == 24 && time.ends_with('Z') && ["INFO", "WARN"].contains(&level), "{line}");
        let (_, levels) = line.split_once("log filter changed: info,")?;
        levels.trim_matches('x').strip_suffix("=info").map(|number| number.parse().unwrap())
    };
    text.lines().filter_map(number).collect()
}

fn thread_names(pid: u32) -> Vec<String> {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).unwrap().filter_map(Result::ok);
    tasks.filter_map(|task| fs::read_to_string(task.path().join("comm")).ok()).collect()
}

fn has_recording(folder: &Path) -> bool {
    let names = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    names.into_iter().any(|path| path.extension().is_some_and(|end| end == "rec"))
}

/// Guards that a node on the platform has one thread under load, while it logs, reloads its configuration, answers admin
/// commands and writes a recording.
#[test]
fn the_platform_process_has_one_thread() {
    let backend = Backend::start(|_| ok("done"));
    let folder = new_folder();
    let mut node = Setup { folder: Some(folder.clone()), ..Setup::of(&[&backend]) }.start();
    let assert_one_thread = |node: &Node| {
        let threads = thread_names(node.pid());
        assert_eq!(threads.len(), 1, "{threads:?}");
    };
    assert_one_thread(&node);
    let load = LoadClients::start(&node, 8, "submit");
    wait_for("load", || {
        assert_one_thread(&node);
        backend.count() > 200
    });
    node.reload(&node.config());
    assert_eq!(node.admin_command("FILTER trace"), "OK\n");
    assert!(node.admin_command("METRICS").ends_with("# EOF\n"));
    node.signal("-USR1");
    wait_for("a recording", || {
        assert_one_thread(&node);
        has_recording(&folder)
    });
    let before = backend.count();
    wait_for("more load", || {
        assert_one_thread(&node);
        backend.count() > before + 200
    });
    assert!(load.stop().contains(&200));
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards that the event loop does not block on a log reader that stops: requests and commands are answered, and the lines
/// that are read later are complete and in order.
#[test]
fn a_stopped_log_reader_does_not_block_requests() {
    let backend = Backend::start(|_| ok("done"));
    let node = LoggingNode::start(&backend);
    let config = fs::read_to_string(&node.config).unwrap();
    // More bytes than the pipe holds. The messages are of three kinds, since of each kind only the first ten are logged one
    // by one.
    for number in 0..12 {
        node.log_line(number);
        fs::write(&node.config, "{").unwrap();
        node.signal("-HUP");
        node.signal("-USR1");
        node.assert_serves();
    }
    fs::write(&node.config, config).unwrap();
    let text = node.terminate();
    assert!(text.len() > PIPE_BUF, "{} bytes", text.len());
    let numbers = numbers(&text);
    assert!(numbers.len() >= 10 && numbers.is_sorted_by(|number, next| number < next), "{numbers:?}");
}

/// Guards that queued lines are written before the process exits on SIGTERM.
#[test]
fn lines_before_sigterm_are_flushed() {
    let backend = Backend::start(|_| ok("done"));
    let node = LoggingNode::start(&backend);
    (0..10).for_each(|number| node.log_line(number));
    assert_eq!(numbers(&node.terminate()), (0..10).collect::<Vec<_>>());
}

/// Guards that the process exits although the log reader never reads again.
#[test]
fn the_exit_does_not_wait_for_a_stopped_log_reader() {
    let backend = Backend::start(|_| ok("done"));
    let mut node = LoggingNode::start(&backend);
    (0..10).for_each(|number| node.log_line(number));
    node.signal("-TERM");
    wait_for("the node to exit", || node.child.try_wait().unwrap().is_some());
}

/// Guards the count of dropped lines, and that a node whose log reader is gone still serves requests.
#[test]
fn dropped_log_lines_are_counted() {
    let backend = Backend::start(|_| ok("done"));
    let mut node = LoggingNode::start(&backend);
    let (reader, writer) = pipe().unwrap();
    node.log = BufReader::new(reader);
    node.pipe = writer;
    (0..5).for_each(|number| node.log_line(number));
    node.assert_serves();
    let figure = |line: &str| line.strip_prefix("pumicehead_log_lines_dropped ")?.trim().parse::<f64>().ok();
    // After a slow write, as on a busy machine, the node pauses before it writes further lines.
    wait_for("the count of dropped lines", || {
        let figures = node.call("METRICS");
        figures.lines().find_map(figure).unwrap_or_else(|| panic!("{figures}")) >= 5.0
    });
    node.signal("-TERM");
    wait_for("the node to exit", || node.child.try_wait().unwrap().is_some());
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}
