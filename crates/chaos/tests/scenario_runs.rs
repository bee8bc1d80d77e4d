//! Runs of scenarios with processes of the proxy. The tests check rules, recovery and that no process is left, but no times.

use std::fs;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use pumicehead_testbed::program::{temporary, wait_for};

/// Largest number of void runs of a scenario: a run is void if the machine is too busy for the run itself.
const MAX_VOID_RUNS: usize = 5;

fn chaos() -> Command {
    Command::new(env!("CARGO_BIN_EXE_pumicehead-chaos"))
}

fn is_void(violations: &[serde_json::Value]) -> bool {
    violations.iter().any(|violation| violation["checker"] == "lag")
}

/// Runs a built-in scenario until a run is not void, and asserts that it violates no rule and that service recovers. Returns
/// the result.
fn assert_rules_are_kept(name: &str) -> serde_json::Value {
    for _ in 0..MAX_VOID_RUNS {
        let done = chaos().args(["run", name, "--json"]).output().unwrap();
        let text = String::from_utf8(done.stdout).unwrap();
        assert!(!text.is_empty(), "{name}: {}", String::from_utf8_lossy(&done.stderr));
        let result: serde_json::Value = serde_json::from_str(&text).unwrap();
        let violations = result["finds"].as_array().unwrap();
        if is_void(violations) {
            continue;
        }
        assert!(violations.is_empty() && done.status.success(), "{name}: {violations:#?}");
        assert!(result["asked"].as_u64().unwrap() > 500, "{name}: {result}");
        assert!(!result["recovered_s"].is_null(), "{name} does not recover: {result}");
        return result;
    }
    panic!("{name}: this machine is too busy for the run");
}

/// A node that is resumed after a pause must not take the time for a failure of endpoints, and reject requests for which
/// endpoints have capacity.
#[test]
fn rules_are_kept_while_a_node_is_paused() {
    let result = assert_rules_are_kept("stall-one");
    // On a busy machine a few may be rejected; a node that takes its own pause for endpoint failures rejects over a hundred.
    assert!(result["refused"].as_u64().unwrap() <= 10, "{result}");
}

#[test]
fn rules_are_kept_when_a_node_crashes_under_load() {
    assert_rules_are_kept("crash-under-load");
}

#[test]
fn rules_are_kept_when_all_nodes_restart_at_once() {
    assert_rules_are_kept("restart-all");
}

#[test]
fn rules_are_kept_when_links_are_partitioned_in_one_direction() {
    assert_rules_are_kept("asymmetric-cut");
}

#[test]
fn rules_are_kept_when_links_stall_and_reset_their_connections() {
    assert_rules_are_kept("stalled-link");
}

#[test]
fn rules_are_kept_when_endpoints_respond_wrongly() {
    assert_rules_are_kept("lying-servers");
}

#[test]
fn rules_are_kept_when_a_disk_is_full() {
    assert_rules_are_kept("full-disk");
}

#[test]
fn rules_are_kept_when_nodes_restart_with_damaged_files() {
    assert_rules_are_kept("spoilt-files");
}

#[test]
fn members_detect_killed_nodes() {
    let result = assert_rules_are_kept("members-crash");
    assert!(result["views"]["found_s"].is_array(), "{}", result["views"]);
}

#[test]
fn paused_members_are_alive_again_after_the_pause() {
    assert_rules_are_kept("members-stall");
}

#[test]
fn members_join_although_a_seed_node_dies() {
    assert_rules_are_kept("members-join");
}

#[test]
fn members_converge_after_a_partition_into_three_groups() {
    assert_rules_are_kept("members-partition");
}

#[test]
fn members_that_only_some_others_reach_stay_alive() {
    assert_rules_are_kept("members-asymmetric");
}

/// Starts a run in a directory and waits until its nodes are running.
fn start_run(work_dir: &Path) -> Child {
    let child = chaos()
        .args(["run", "crash-under-load", "--json", "--keep"])
        .arg(work_dir)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    wait_for("nodes", || processes_of(work_dir) >= 3);
    child
}

fn send_signal(child: &Child, signal: &str) {
    let command = format!("kill -{signal} {}", child.id());
    assert!(Command::new("sh").args(["-c", &command]).status().unwrap().success());
}

/// Counts processes whose command line names a file in a directory: the nodes of a run, but not the run itself.
fn processes_of(work_dir: &Path) -> usize {
    let prefix = format!("{}/", work_dir.display());
    let command_lines =
        fs::read_dir("/proc").unwrap().filter_map(|entry| fs::read(entry.ok()?.path().join("cmdline")).ok());
    command_lines.filter(|line| String::from_utf8_lossy(line).contains(&prefix)).count()
}

/// A run on an overloaded machine says nothing about the proxy: a run that got no CPU time for a second must report itself as
/// void.
#[test]
fn a_run_that_was_paused_itself_is_void() {
    let work_dir = temporary(".chaos");
    let child = start_run(&work_dir);
    // The load begins soon after the nodes have their files.
    wait_for("load", || fs::read_dir(&work_dir).is_ok_and(|files| files.count() >= 8));
    std::thread::sleep(Duration::from_secs(2));
    send_signal(&child, "STOP");
    std::thread::sleep(Duration::from_secs(1));
    send_signal(&child, "CONT");
    let done = child.wait_with_output().unwrap();
    let result: serde_json::Value = serde_json::from_slice(&done.stdout).unwrap();
    let violations = result["finds"].as_array().unwrap();
    assert!(is_void(violations), "{violations:#?}");
    assert_eq!(done.status.code(), Some(1));
    let _ = fs::remove_dir_all(&work_dir);
}

/// After an interrupt from the terminal a run must report it, print no result and leave no process.
#[test]
fn an_interrupted_run_ends_its_processes() {
    let work_dir = temporary(".chaos");
    let child = start_run(&work_dir);
    send_signal(&child, "INT");
    let done = child.wait_with_output().unwrap();
    let errors = String::from_utf8(done.stderr).unwrap();
    assert!(
        done.status.code() == Some(2) && errors.contains("interrupted") && done.stdout.is_empty(),
        "{errors}"
    );
    wait_for("no process", || processes_of(&work_dir) == 0);
    let _ = fs::remove_dir_all(&work_dir);
}

/// Even if the run itself is killed by SIGKILL, all its processes must end.
#[test]
fn a_killed_run_leaves_no_process() {
    let work_dir = temporary(".chaos");
    let mut child = start_run(&work_dir);
    child.kill().unwrap();
    child.wait().unwrap();
    wait_for("no process", || processes_of(&work_dir) == 0);
    let _ = fs::remove_dir_all(&work_dir);
}

/// The node program of this test does not start if it finds a recording. A kill after a recording therefore fails, and
/// shrinking must keep these two faults and remove the unrelated pause.
#[test]
fn a_failing_scenario_shrinks_to_its_cause() {
    let (file, program) = (temporary(".toml"), temporary(".sh"));
    let node = pumicehead_chaos::run::built_program("pumicehead").unwrap();
    let script = format!(
        "#!/bin/sh\nfor f in \"$(dirname \"$2\")\"/n*/*.rec; do [ -e \"$f\" ] && exit 3; done\nexec {} \"$@\"\n",
        node.display()
    );
    fs::write(&program, script).unwrap();
    fs::set_permissions(&program, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    let text = "name = \"x\"\nfleet = { nodes = 2, servers = 2 }\nload = { rate = 20 }\ncalm_s = [1, 1]\n\
        [[fault]]\nat_s = 0\nfor_s = 0.5\nkind = \"stall\"\nnodes = [0]\n\
        [[fault]]\nat_s = 0\nfor_s = 0\nkind = \"record\"\nnodes = [1]\n\
        [[fault]]\nat_s = 1\nfor_s = 0.5\nkind = \"kill\"\nnodes = [0]\n";
    fs::write(&file, text).unwrap();
    let done =
        chaos().args(["shrink", "--plays", "1"]).arg(&file).arg("--node").arg(&program).output().unwrap();
    let smallest = String::from_utf8(done.stdout).unwrap();
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    assert!(
        smallest.contains("\"record\"") && smallest.contains("\"kill\"") && !smallest.contains("\"stall\""),
        "{smallest}"
    );
    let _ = (fs::remove_file(file), fs::remove_file(program));
}

/// For invalid input the program must print one line that names the problem.
#[test]
fn scenarios_that_cannot_be_run_are_rejected_in_one_line() {
    let file = temporary(".toml");
    fs::write(
        &file,
        "name = \"x\"\nfleet = { nodes = 99, servers = 1 }\nload = { rate = 1 }\ncalm_s = [1, 1]\n",
    )
    .unwrap();
    for (argument, reason) in [
        (file.to_str().unwrap(), "fleet.nodes"),
        ("no-such", "neither a built-in scenario nor a readable file"),
    ] {
        let done = chaos().args(["run", argument]).output().unwrap();
        let errors = String::from_utf8(done.stderr).unwrap();
        assert!(
            done.status.code() == Some(2) && errors.lines().count() == 1 && errors.contains(reason),
            "{errors}"
        );
    }
    let _ = fs::remove_file(file);
    assert_eq!(chaos().arg("list").output().unwrap().status.code(), Some(0));
}
