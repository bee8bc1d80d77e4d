//! What the program reads from files of an older version and prints of them, and what it answers staff. The fixtures were
//! written by version 0.2.0, before its types were renamed, and must stay readable: a new version reads what an old one
//! wrote, and scripts read what it prints.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use pumicehead_testbed::program::{LIMIT, Standalone, temporary, wait_for};
use pumicehead_testbed::scripted::{Backend, Client, Node, Setup, ok, request};
use serde_json::Value;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn stored(name: &str) -> String {
    fs::read_to_string(fixture(name)).unwrap()
}

/// Compares a whole text with a stored one.
fn assert_stored_text(name: &str, text: &str) {
    let expected = stored(name);
    for (line, (one, other)) in text.lines().zip(expected.lines()).enumerate() {
        assert_eq!(one, other, "{name}, line {}", line + 1);
    }
    assert_eq!(text, expected, "{name}");
}

/// Standard output of the program, run in the folder of the fixtures; it ends with this code.
fn run_to(code: i32, arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pumicehead"));
    command.args(arguments).env_remove("EDGE_CONFIG").current_dir(fixture(""));
    let done = command.output().unwrap();
    assert_eq!(done.status.code(), Some(code), "{arguments:?}: {}", String::from_utf8_lossy(&done.stderr));
    String::from_utf8(done.stdout).unwrap()
}

fn run(arguments: &[&str]) -> String {
    run_to(0, arguments)
}

#[test]
fn an_older_recording_is_exported_as_before() {
    for (form, end) in [("otlp", "otlp.jsonl"), ("chrome", "chrome.json"), ("html", "html")] {
        let text = run(&["export", "every_event.rec", "--as", form]);
        assert_stored_text(&format!("every_event.{end}"), &text);
    }
    assert_stored_text("faulty_day.html", &run(&["export", "faulty_day.rec", "--as", "html"]));
}

#[test]
fn an_older_recording_is_explained_as_before() {
    assert_stored_text("why.txt", &run(&["why", "faulty_day.rec"]));
    assert_stored_text("why.json", &run(&["why", "faulty_day.rec", "--json"]));
    assert_stored_text("why_between.txt", &run(&["why", "faulty_day.rec", "--between", "1.5s", "22:13:50"]));
    assert_stored_text("why_diff.txt", &run(&["why", "faulty_day.rec", "--diff", "every_event.rec"]));
}

#[test]
fn requests_of_an_older_recording_are_told_as_before() {
    assert_stored_text("why_request.txt", &run(&["why", "every_event.rec", "every-event"]));
    assert_stored_text("why_open_request.txt", &run(&["why", "faulty_day.rec", "still open"]));
}

#[test]
fn a_configuration_is_checked_compared_and_explained_as_before() {
    let check = run_to(1, &["check", "--format", "json", "broken.conf"]);
    assert_stored_text("check.jsonl", &check);
    assert_stored_text("diff.txt", &run_to(3, &["diff", "every_setting.conf", "other.conf"]));
    let explained = run(&["explain", "every_setting.conf", "PUT", "http://a.org/runs/7"]);
    assert_stored_text("explain.txt", &explained);
}

/// A folder that goes with this.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = temporary(".stored");
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn file(&self, end: &str) -> PathBuf {
        // The name of a file holds a hash of the node's name, `n0`.
        self.0.join(format!("pumicehead-{}.{end}", stored("hash_of_n0.txt").trim()))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A node on a socket that the platform holds, as one that takes over from another.
fn handed_over(folder: &Folder, backend: &Backend) -> Node {
    let socket = Some(TcpListener::bind("127.0.0.1:0").unwrap());
    Setup { folder: Some(folder.0.clone()), socket, ..Setup::of(&[backend]) }.start()
}

/// When the handover of the fixture was written, in nanoseconds of Unix time.
const HANDED_OVER_AT: u64 = 1796288326054554460;

fn unix_ns() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos()
}

/// The fields of a value, by their ways, with the kinds of what they hold.
fn fields(value: &Value, way: &str, into: &mut BTreeMap<String, &'static str>) {
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(name, value)| fields(value, &format!("{way}.{name}"), into))
        }
        Value::Array(list) => list.iter().for_each(|value| fields(value, &format!("{way}[]"), into)),
        Value::Null => drop(into.insert(way.into(), "null")),
        Value::Bool(_) => drop(into.insert(way.into(), "bool")),
        Value::Number(_) => drop(into.insert(way.into(), "number")),
        Value::String(_) => drop(into.insert(way.into(), "string")),
    }
}

fn fields_of(text: &str) -> String {
    let mut all = BTreeMap::new();
    fields(&serde_json::from_str(text).unwrap(), "", &mut all);
    all.iter().map(|(way, kind)| format!("{way} {kind}\n")).collect()
}

/// Numbers, which differ by run, are not compared.
fn without_numbers(text: &str) -> String {
    let mut out = String::new();
    for line in text.lines() {
        if line.starts_with('#') {
            out += &format!("{line}\n");
            continue;
        }
        let line = line.split(" # {").next().unwrap_or_default();
        let (name, _) = line.rsplit_once([' ', ':']).unwrap_or((line, ""));
        out += &format!("{name}\n");
    }
    out
}

#[test]
fn a_new_process_takes_over_the_files_of_an_older_one() {
    let backend = Backend::start(|_| ok("done"));
    let folder = Folder::new();
    // A word of staff's that was left long ago is nobody's: the time alone is another.
    let stored_at = format!("\"at\":{HANDED_OVER_AT}");
    let handover = stored("handover.json");
    assert_eq!(handover.matches(&stored_at).count(), 1);
    let handover = handover.replace(&stored_at, &format!("\"at\":{}", unix_ns()));
    fs::write(folder.file("learned"), handover).unwrap();
    fs::copy(fixture("servers_out.json"), folder.file("out")).unwrap();
    let node = handed_over(&folder, &backend);
    // What is learned says that staff empty the node, and which servers were listed; the book, that one of them is out.
    assert_eq!(node.call("PING"), "OK serves what comes, and is emptied\n");
    assert_eq!(node.figure("node.members_unavailable"), Some(1));
    assert_eq!(node.call("DETACH s-listed-before"), "OK\n");
    assert_eq!(node.call("ATTACH s-out-before"), "OK\n");
    assert!(node.call("DETACH s-never-listed").starts_with("ERR "));
    let book: Value = serde_json::from_str(&fs::read_to_string(folder.file("out")).unwrap()).unwrap();
    assert_eq!(book["servers"]["s-0"]["out"], 1_700_000_000_000_u64);
    assert_eq!(book["servers"]["s-out-before"]["back"]["out"], 1_700_000_000_002_u64);
    assert_eq!(node.call("ATTACH s-0"), "OK\n");
    // It is cold, and the only one.
    wait_for("an answer", || node.ask(&request("read", "")).status() == 200);
    let before = fs::read_to_string(folder.file("learned")).unwrap();
    assert_eq!(node.call("REJOIN"), "OK\n");
    assert_eq!(node.call("PING"), "OK\n");
    let after = fs::read_to_string(folder.file("learned")).unwrap();
    assert_ne!(before, after);
    assert_eq!(fields_of(&after), fields_of(&stored("handover.json")));
    assert_stored_text("platform.info.txt", &without_numbers(&node.call("INFO")));
    assert_stored_text("platform.metrics.txt", &without_numbers(&node.call("METRICS")));
}

#[test]
fn files_of_a_node_keep_their_names() {
    let backend = Backend::start(|_| ok("done"));
    let folder = Folder::new();
    let node = handed_over(&folder, &backend);
    assert_eq!(node.call("DETACH s-0"), "OK\n");
    assert_eq!(node.call("LAMEDUCK"), "OK\n");
    node.signal("-USR1");
    let recording = format!("pumicehead-{}-{}-1.rec", stored("hash_of_n0.txt").trim(), node.pid());
    wait_for("a recording", || folder.0.join(&recording).exists());
    let names = || {
        let names = fs::read_dir(&folder.0).unwrap().map(|entry| entry.unwrap().file_name());
        let names = names.map(|name| name.into_string().unwrap().replace(&node.pid().to_string(), "PID"));
        let mut names: Vec<_> = names.collect();
        names.sort();
        names.join("\n") + "\n"
    };
    // A file has another name for as long as it is being written.
    wait_for("the names of all files", || names() == stored("files.txt"));
}

fn call(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

fn said_address(node: &Standalone, words: &str) -> SocketAddr {
    let find = || {
        let log = node.log.lock().unwrap();
        log.iter().find_map(|line| line.split_once(words)?.1.trim().parse().ok())
    };
    wait_for(words, || find().is_some());
    find().unwrap()
}

#[test]
fn a_fleets_node_answers_staff_with_the_same_fields() {
    let server = Backend::start(|_| ok("x"));
    let node =
        Standalone::start(&stored("fleet_node.conf").replace("SERVER", &server.address.to_string()), 1);
    let calls = said_address(&node, " takes admin commands on ");
    let mut client = Client::connect(node.address());
    client.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(client.read().unwrap().status(), 200);
    wait_for("its number", || call(calls, "FLEET members").contains("\"number\":1"));
    assert_stored_text("fleet.members.fields.txt", &fields_of(&call(calls, "FLEET members")));
    assert_stored_text("fleet.why.fields.txt", &fields_of(&call(calls, "FLEET why n1")));
    assert_stored_text("fleet.metrics.txt", &without_numbers(&call(calls, "METRICS")));
    let answers = ["PING", "LAMEDUCK", "PING", "REJOIN", "RECORD full", "RECORD on", "FILTER warn", "INFO"];
    let mut text: String = answers.iter().map(|line| format!("{line}\n{}", call(calls, line))).collect();
    let mistakes = ["", "NOTHING", "PING x", "DETACH", "FLEET x", "FLEET why n9", "RECORD x", "FILTER x=y"];
    text.extend(mistakes.iter().map(|line| format!("{line}\n{}", call(calls, line))));
    assert_stored_text("calls.txt", &text);
    let config = call(calls, "CONFIG");
    assert!(config.starts_with("OK revision 1 digest ") && config.trim_end().len() == 53, "{config}");
}

/// Answers one call with a stored text, as a node of the older version did, and says where.
fn answering_once(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut caller, _) = listener.accept().unwrap();
        let mut line = String::new();
        BufReader::new(caller.try_clone().unwrap()).read_line(&mut line).unwrap();
        assert!(line.starts_with("FLEET "), "{line}");
        caller.write_all(answer.as_bytes()).unwrap();
    });
    address
}

#[test]
fn an_older_nodes_view_of_its_fleet_is_shown_as_before() {
    let (members, why) = (stored("fleet.members.json"), stored("fleet.why.json"));
    let shown = run(&["fleet", "members", &answering_once(members.clone())]);
    assert_stored_text("fleet.members.txt", &shown);
    assert_eq!(run(&["fleet", "members", &answering_once(members.clone()), "--json"]), members);
    assert_stored_text("fleet.why.txt", &run(&["fleet", "why", "n2", &answering_once(why.clone())]));
    assert_eq!(run(&["fleet", "why", "n2", &answering_once(why.clone()), "--json"]), why);
}
