//! Compatibility with files of an older version, and the form of output and of responses to admin commands. The fixtures
//! were written by version 0.2.0, before its types were renamed: a new version must read the files of an old one, and scripts
//! parse the output.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use pumicehead_testbed::program::{LIMIT, StandaloneNode, temporary, wait_for};
use pumicehead_testbed::scripted::{Backend, Client, Node, Setup, ok, request};
use serde_json::Value;

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn fixture_text(name: &str) -> String {
    fs::read_to_string(fixture_path(name)).unwrap()
}

/// Asserts that a text equals a fixture.
fn assert_matches_fixture(name: &str, text: &str) {
    let expected = fixture_text(name);
    for (index, (line, expected_line)) in text.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, expected_line, "{name}, line {}", index + 1);
    }
    assert_eq!(text, expected, "{name}");
}

/// Runs the program in the folder of the fixtures and asserts its exit code. Returns its standard output.
fn run_with_exit_code(code: i32, arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pumicehead"));
    command.args(arguments).env_remove("EDGE_CONFIG").current_dir(fixture_path(""));
    let output = command.output().unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{arguments:?}: {stderr}");
    String::from_utf8(output.stdout).unwrap()
}

fn run(arguments: &[&str]) -> String {
    run_with_exit_code(0, arguments)
}

#[test]
fn an_older_recording_is_exported_as_before() {
    for (format, extension) in [("otlp", "otlp.jsonl"), ("chrome", "chrome.json"), ("html", "html")] {
        let text = run(&["export", "every_event.rec", "--as", format]);
        assert_matches_fixture(&format!("every_event.{extension}"), &text);
    }
    assert_matches_fixture("faulty_day.html", &run(&["export", "faulty_day.rec", "--as", "html"]));
}

#[test]
fn an_older_recording_is_explained_as_before() {
    assert_matches_fixture("why.txt", &run(&["why", "faulty_day.rec"]));
    assert_matches_fixture("why.json", &run(&["why", "faulty_day.rec", "--json"]));
    assert_matches_fixture(
        "why_between.txt",
        &run(&["why", "faulty_day.rec", "--between", "1.5s", "22:13:50"]),
    );
    assert_matches_fixture("why_diff.txt", &run(&["why", "faulty_day.rec", "--diff", "every_event.rec"]));
}

#[test]
fn request_timelines_of_an_older_recording_are_shown_as_before() {
    assert_matches_fixture("why_request.txt", &run(&["why", "every_event.rec", "every-event"]));
    assert_matches_fixture("why_open_request.txt", &run(&["why", "faulty_day.rec", "still open"]));
}

#[test]
fn a_configuration_is_checked_compared_and_explained_as_before() {
    let check = run_with_exit_code(1, &["check", "--format", "json", "broken.conf"]);
    assert_matches_fixture("check.jsonl", &check);
    assert_matches_fixture("diff.txt", &run_with_exit_code(3, &["diff", "every_setting.conf", "other.conf"]));
    let explained = run(&["explain", "every_setting.conf", "PUT", "http://a.org/runs/7"]);
    assert_matches_fixture("explain.txt", &explained);
}

/// A temporary folder, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = temporary(".stored");
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn file(&self, extension: &str) -> PathBuf {
        // The file name contains a hash of the node's name, `n0`.
        self.0.join(format!("pumicehead-{}.{extension}", fixture_text("hash_of_n0.txt").trim()))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Starts a node on a socket of the platform, as one that takes over from a predecessor.
fn start_successor(folder: &Folder, backend: &Backend) -> Node {
    let socket = Some(TcpListener::bind("127.0.0.1:0").unwrap());
    Setup { folder: Some(folder.0.clone()), socket, ..Setup::of(&[backend]) }.start()
}

/// Time at which the handover fixture was written, in nanoseconds of Unix time.
const HANDED_OVER_AT: u64 = 1796288326054554460;

fn unix_ns() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos()
}

/// Adds the paths of all fields of a value, with the types of their values.
fn collect_fields(value: &Value, path: &str, fields: &mut BTreeMap<String, &'static str>) {
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(name, value)| collect_fields(value, &format!("{path}.{name}"), fields))
        }
        Value::Array(list) => {
            list.iter().for_each(|value| collect_fields(value, &format!("{path}[]"), fields))
        }
        Value::Null => drop(fields.insert(path.into(), "null")),
        Value::Bool(_) => drop(fields.insert(path.into(), "bool")),
        Value::Number(_) => drop(fields.insert(path.into(), "number")),
        Value::String(_) => drop(fields.insert(path.into(), "string")),
    }
}

/// Returns the paths and types of all fields of a JSON text, one per line.
fn fields_of(text: &str) -> String {
    let mut fields = BTreeMap::new();
    collect_fields(&serde_json::from_str(text).unwrap(), "", &mut fields);
    fields.iter().map(|(path, kind)| format!("{path} {kind}\n")).collect()
}

/// Removes the values of metrics and `INFO` lines, which differ between runs.
fn without_values(text: &str) -> String {
    let mut names = String::new();
    for line in text.lines() {
        if line.starts_with('#') {
            names += &format!("{line}\n");
            continue;
        }
        let line = line.split(" # {").next().unwrap_or_default();
        let (name, _) = line.rsplit_once([' ', ':']).unwrap_or((line, ""));
        names += &format!("{name}\n");
    }
    names
}

#[test]
fn a_new_process_takes_over_the_files_of_an_older_one() {
    let backend = Backend::start(|_| ok("done"));
    let folder = Folder::new();
    // The lame-duck mode of a handover that is too old is not applied, so its time is replaced by the present one.
    let written_at = format!("\"at\":{HANDED_OVER_AT}");
    let handover = fixture_text("handover.json");
    assert_eq!(handover.matches(&written_at).count(), 1);
    let handover = handover.replace(&written_at, &format!("\"at\":{}", unix_ns()));
    fs::write(folder.file("learned"), handover).unwrap();
    fs::copy(fixture_path("servers_out.json"), folder.file("out")).unwrap();
    let node = start_successor(&folder, &backend);
    // The handover file says that the node is in lame-duck mode, and which backends were listed; the state file says that one
    // of them is disabled.
    assert_eq!(node.admin_command("PING"), "OK serves what comes, and is emptied\n");
    assert_eq!(node.info_value("node.members_unavailable"), Some(1));
    assert_eq!(node.admin_command("DETACH s-listed-before"), "OK\n");
    assert_eq!(node.admin_command("ATTACH s-out-before"), "OK\n");
    assert!(node.admin_command("DETACH s-never-listed").starts_with("ERR "));
    let state: Value = serde_json::from_str(&fs::read_to_string(folder.file("out")).unwrap()).unwrap();
    assert_eq!(state["servers"]["s-0"]["out"], 1_700_000_000_000_u64);
    assert_eq!(state["servers"]["s-out-before"]["back"]["out"], 1_700_000_000_002_u64);
    assert_eq!(node.admin_command("ATTACH s-0"), "OK\n");
    // The only endpoint is in slow start and may not take the first request.
    wait_for("service after the backend is enabled", || node.ask(&request("read", "")).status() == 200);
    let before = fs::read_to_string(folder.file("learned")).unwrap();
    assert_eq!(node.admin_command("REJOIN"), "OK\n");
    assert_eq!(node.admin_command("PING"), "OK\n");
    let after = fs::read_to_string(folder.file("learned")).unwrap();
    assert_ne!(before, after);
    assert_eq!(fields_of(&after), fields_of(&fixture_text("handover.json")));
    assert_matches_fixture("platform.info.txt", &without_values(&node.admin_command("INFO")));
    assert_matches_fixture("platform.metrics.txt", &without_values(&node.admin_command("METRICS")));
}

#[test]
fn files_of_a_node_keep_their_names() {
    let backend = Backend::start(|_| ok("done"));
    let folder = Folder::new();
    let node = start_successor(&folder, &backend);
    assert_eq!(node.admin_command("DETACH s-0"), "OK\n");
    assert_eq!(node.admin_command("LAMEDUCK"), "OK\n");
    node.signal("-USR1");
    let recording = format!("pumicehead-{}-{}-1.rec", fixture_text("hash_of_n0.txt").trim(), node.pid());
    wait_for("a recording", || folder.0.join(&recording).exists());
    let names = || {
        let names = fs::read_dir(&folder.0).unwrap().map(|entry| entry.unwrap().file_name());
        let names = names.map(|name| name.into_string().unwrap().replace(&node.pid().to_string(), "PID"));
        let mut names: Vec<_> = names.collect();
        names.sort();
        names.join("\n") + "\n"
    };
    // A file has a temporary name while it is being written.
    wait_for("the final names of all files", || names() == fixture_text("files.txt"));
}

/// Sends an admin command and returns the whole response.
fn admin_command(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// Waits for a log line that ends in these words and an address. Returns the address.
fn logged_address(node: &StandaloneNode, words: &str) -> SocketAddr {
    let find = || {
        let log = node.log.lock().unwrap();
        log.iter().find_map(|line| line.split_once(words)?.1.trim().parse().ok())
    };
    wait_for(words, || find().is_some());
    find().unwrap()
}

#[test]
fn admin_responses_of_a_fleet_node_keep_their_fields() {
    let server = Backend::start(|_| ok("x"));
    let node = StandaloneNode::start(
        &fixture_text("fleet_node.conf").replace("SERVER", &server.address.to_string()),
        1,
    );
    let admin = logged_address(&node, " takes admin commands on ");
    let mut client = Client::connect(node.address());
    client.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(client.read().unwrap().status(), 200);
    wait_for("the node's number", || admin_command(admin, "FLEET members").contains("\"number\":1"));
    assert_matches_fixture("fleet.members.fields.txt", &fields_of(&admin_command(admin, "FLEET members")));
    assert_matches_fixture("fleet.why.fields.txt", &fields_of(&admin_command(admin, "FLEET why n1")));
    assert_matches_fixture("fleet.metrics.txt", &without_values(&admin_command(admin, "METRICS")));
    let commands = ["PING", "LAMEDUCK", "PING", "REJOIN", "RECORD full", "RECORD on", "FILTER warn", "INFO"];
    let mut text: String =
        commands.iter().map(|line| format!("{line}\n{}", admin_command(admin, line))).collect();
    let invalid = ["", "NOTHING", "PING x", "DETACH", "FLEET x", "FLEET why n9", "RECORD x", "FILTER x=y"];
    text.extend(invalid.iter().map(|line| format!("{line}\n{}", admin_command(admin, line))));
    assert_matches_fixture("calls.txt", &text);
    let config = admin_command(admin, "CONFIG");
    assert!(config.starts_with("OK revision 1 digest ") && config.trim_end().len() == 53, "{config}");
}

/// Starts a listener that answers one admin command with a text of an older version. Returns its address.
fn answer_one_command(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut line = String::new();
        BufReader::new(stream.try_clone().unwrap()).read_line(&mut line).unwrap();
        assert!(line.starts_with("FLEET "), "{line}");
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

#[test]
fn the_fleet_view_of_an_older_node_is_shown_as_before() {
    let (members, why) = (fixture_text("fleet.members.json"), fixture_text("fleet.why.json"));
    let shown = run(&["fleet", "members", &answer_one_command(members.clone())]);
    assert_matches_fixture("fleet.members.txt", &shown);
    assert_eq!(run(&["fleet", "members", &answer_one_command(members.clone()), "--json"]), members);
    assert_matches_fixture("fleet.why.txt", &run(&["fleet", "why", "n2", &answer_one_command(why.clone())]));
    assert_eq!(run(&["fleet", "why", "n2", &answer_one_command(why.clone()), "--json"]), why);
}
