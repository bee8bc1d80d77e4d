//! Processor time and memory of a process, from `/proc`.

use std::fs;

/// Unit of the times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the processor time that a process has used, in seconds; 0 where `/proc` does not have it. `schedstat`, which is
/// preferred, counts the main thread alone.
#[must_use]
pub fn cpu_seconds(pid: u32) -> f64 {
    // The first field is in nanoseconds.
    let schedule = fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    if let Some(ran) = schedule.split(' ').next().and_then(|ran| ran.parse::<f64>().ok()) {
        return ran / 1e9;
    }
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The process name, in parentheses, may contain spaces; fields 14 and 15 are user and system time in ticks.
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = fields.split(' ').skip(11).take(2).filter_map(|field| field.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_PER_SECOND
}

/// Returns the resident memory of a process, in bytes; 0 where `/proc` does not have it.
#[must_use]
pub fn memory(pid: u32) -> u64 {
    status_size(pid, "VmRSS:")
}

/// Returns the peak resident memory of a process, in bytes; 0 where `/proc` does not have it.
pub(super) fn peak_memory(pid: u32) -> u64 {
    status_size(pid, "VmHWM:")
}

/// Returns a size from `/proc/PID/status`, in bytes.
fn status_size(pid: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let found = status.lines().find_map(|line| line.strip_prefix(name));
    found.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or_default() * 1024
}
