//! Memory of a process and processor time of its threads, from `/proc`.

use std::collections::HashMap;
use std::time::Duration;
use std::{fs, io};

/// Written to `clear_refs`, resets the peak memory of a process to its current memory.
const RESET_PEAK: &str = "5";

/// Processor time of the threads of a process, by thread.
#[derive(Clone, Debug, Default)]
pub struct CpuTimes {
    process: u32,
    threads: HashMap<u32, Duration>,
}

impl CpuTimes {
    /// Reads the processor time of all current threads of a process.
    ///
    /// # Errors
    /// A process that has exited, or a system without `schedstat`.
    pub fn read(process: u32) -> io::Result<Self> {
        let mut threads = HashMap::new();
        for entry in fs::read_dir(format!("/proc/{process}/task"))? {
            let name = entry?.file_name();
            let Some(thread) = name.to_str().and_then(|name| name.parse().ok()) else { continue };
            // A thread may end between the two reads.
            if let Ok(used) = thread_time(process, thread) {
                threads.insert(thread, used);
            }
        }
        if !threads.contains_key(&process) {
            return Err(io::Error::other(format!("no processor time of process {process}")));
        }
        Ok(Self { process, threads })
    }

    /// Processor time of all threads.
    #[must_use]
    pub fn all(&self) -> Duration {
        self.threads.values().sum()
    }

    /// Processor time of the threads of this reading since an earlier one.
    #[must_use]
    pub fn all_since(&self, before: &Self) -> Duration {
        self.threads.iter().map(|(thread, used)| used.saturating_sub(before.thread(*thread))).sum()
    }

    /// Processor time of the first thread, which runs the event loop.
    #[must_use]
    pub fn loop_since(&self, before: &Self) -> Duration {
        self.thread(self.process).saturating_sub(before.thread(self.process))
    }

    fn thread(&self, thread: u32) -> Duration {
        self.threads.get(&thread).copied().unwrap_or_default()
    }
}

/// Processor time of one thread. Exact while it sleeps; lags by up to a scheduler tick while it runs.
///
/// # Errors
/// A thread that is gone, or a system that does not tell.
pub fn thread_time(process: u32, thread: u32) -> io::Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{process}/task/{thread}/schedstat"))?;
    let nanoseconds = text.split(' ').next().and_then(|first| first.parse().ok());
    nanoseconds.map(Duration::from_nanos).ok_or_else(|| io::Error::other("schedstat is malformed"))
}

/// Number of voluntary context switches of a thread: the times that it went to sleep by itself.
///
/// # Errors
/// A thread that is gone, or a system that does not tell.
pub fn sleeps(process: u32, thread: u32) -> io::Result<u64> {
    status(&format!("/proc/{process}/task/{thread}/status"), "voluntary_ctxt_switches:")
}

/// Resident memory of a process, in bytes.
///
/// # Errors
/// A process that is gone, or a system that does not tell.
pub fn resident(process: u32) -> io::Result<u64> {
    Ok(status(&format!("/proc/{process}/status"), "VmRSS:")? * 1_024)
}

/// Peak resident memory of a process, in bytes, since its start or since [`reset_peak`].
///
/// # Errors
/// A process that is gone, or a system that does not tell.
pub fn peak(process: u32) -> io::Result<u64> {
    Ok(status(&format!("/proc/{process}/status"), "VmHWM:")? * 1_024)
}

/// Resets the peak that [`peak`] returns.
///
/// # Errors
/// A process that has exited, or belongs to another user.
pub fn reset_peak(process: u32) -> io::Result<()> {
    fs::write(format!("/proc/{process}/clear_refs"), RESET_PEAK)
}

/// Reads a number from a file of lines with a name and a value.
fn status(file: &str, name: &str) -> io::Result<u64> {
    let text = fs::read_to_string(file)?;
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    let number = value.and_then(|value| value.trim().trim_end_matches(" kB").parse().ok());
    number.ok_or_else(|| io::Error::other(format!("{file} has no {name}")))
}
