//! Cost of one node of a size: of its start, at rest, of a request, of a configuration change.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::thread;
use std::time::Duration;

use super::file::{Change, TENANT_HEADER, Variant, text};
use super::fit::median;
use super::probe::{LoopTimes, LoopWatch, ProbeClient};
use super::process::NodeProcess;
use super::procfs::{self, CpuTimes};
use super::size::Size;

/// Time over which the processor time at rest is measured.
const REST: Duration = Duration::from_secs(1);
/// Time over which the event loop is watched without a change.
const QUIET: Duration = Duration::from_millis(300);
/// Pause after each change for the work that follows it: the old state is freed.
const SETTLE: Duration = Duration::from_millis(50);
/// Warm-up requests, which are not measured.
const WARM_REQUESTS: usize = 10;
/// Number of requests over which processor time is averaged.
const REQUESTS: usize = 120;
/// Number of changes over which processor time is averaged; no requests are sent meanwhile.
const CHANGES: usize = 2;
/// Number of changes during which the event loop is watched.
const WATCHED_CHANGES: usize = 2;

/// Measurements of one node.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Size of its configuration file, in bytes.
    pub file_bytes: usize,
    /// From the start of the process until its first answer.
    pub ready_after: Duration,
    /// Processor time of all threads until then.
    pub start_cpu: Duration,
    /// Memory at rest after the start, in bytes.
    pub resident: u64,
    /// Peak memory over changes of one value, in bytes.
    pub change_peak: u64,
    /// From SIGHUP until a change of one value is in force.
    pub in_force_after: Duration,
    /// Processor time of a change of one value: all threads.
    pub change_cpu: Duration,
    /// The part of [`Self::change_cpu`] on the event loop's thread.
    pub change_loop_cpu: Duration,
    /// Processor time per second at rest.
    pub rest_cpu: Duration,
    /// Processor time of a request.
    pub request_cpu: Duration,
    /// The event loop while nothing changes.
    pub quiet: LoopTimes,
    /// The event loop while one value changes.
    pub changing: LoopTimes,
}

/// Processor time and memory of consecutive changes.
#[derive(Clone, Copy, Debug)]
pub struct ChangeCost {
    /// Number of changes.
    pub changes: usize,
    /// Processor time of all threads.
    pub cpu: Duration,
    /// The part of [`Self::cpu`] on the event loop's thread.
    pub loop_cpu: Duration,
    /// Median of the times from a signal until its change was in force.
    pub in_force_after: Duration,
    /// Peak memory over all changes, in bytes.
    pub peak: u64,
}

/// Measures a node of each size. All run at once, so that their time at rest is measured in parallel; everything else is
/// measured one node after another.
///
/// # Errors
/// A node that can't be started, or does not answer.
pub fn sample_all(program: &Path, sizes: &[Size], backends: &[SocketAddr]) -> io::Result<Vec<Sample>> {
    let start = |size: &Size| NodeProcess::start(program, &text(*size, backends, Variant::default()));
    let mut nodes = sizes.iter().map(start).collect::<io::Result<Vec<_>>>()?;
    let before = nodes.iter().map(|node| CpuTimes::read(node.id())).collect::<io::Result<Vec<_>>>()?;
    thread::sleep(REST);
    let mut rests = Vec::new();
    for (node, before) in nodes.iter().zip(&before) {
        rests.push(CpuTimes::read(node.id())?.all_since(before).div_f64(REST.as_secs_f64()));
    }
    let measured = nodes.iter_mut().zip(sizes).zip(rests);
    measured.map(|((node, size), rest_cpu)| sample(node, *size, backends, rest_cpu)).collect()
}

fn sample(
    node: &mut NodeProcess,
    size: Size,
    backends: &[SocketAddr],
    rest_cpu: Duration,
) -> io::Result<Sample> {
    let resident = procfs::resident(node.id())?;
    let quiet = watch_quiet(node)?;
    let request_cpu = cost_of_a_request(node, size)?;
    let cost = cost_of_changes(node, size, backends, 0..CHANGES)?;
    let changing = watch_changes(node, size, backends, CHANGES..CHANGES + WATCHED_CHANGES)?;
    Ok(Sample {
        file_bytes: text(size, backends, Variant::default()).len(),
        ready_after: node.ready_after,
        start_cpu: node.start_cpu,
        resident,
        change_peak: cost.peak,
        in_force_after: cost.in_force_after,
        change_cpu: cost.cpu / CHANGES as u32,
        change_loop_cpu: cost.loop_cpu / CHANGES as u32,
        rest_cpu,
        request_cpu,
        quiet,
        changing,
    })
}

fn watch_quiet(node: &NodeProcess) -> io::Result<LoopTimes> {
    let watch = LoopWatch::start(node.id(), node.address)?;
    thread::sleep(QUIET);
    watch.stop()
}

fn watch_changes(
    node: &mut NodeProcess,
    size: Size,
    backends: &[SocketAddr],
    numbers: Range<usize>,
) -> io::Result<LoopTimes> {
    let watch = LoopWatch::start(node.id(), node.address)?;
    for number in numbers {
        node.change_to(&text(size, backends, Change::Value.variant(number)))?;
        thread::sleep(SETTLE);
    }
    watch.stop()
}

/// Processor time of all threads over requests of one client, one after another.
fn cost_of_a_request(node: &NodeProcess, size: Size) -> io::Result<Duration> {
    let mut client = ProbeClient::connect(node.address)?;
    request_routes(&mut client, size, WARM_REQUESTS)?;
    let before = CpuTimes::read(node.id())?;
    request_routes(&mut client, size, REQUESTS)?;
    Ok(CpuTimes::read(node.id())?.all_since(&before) / REQUESTS as u32)
}

/// Sends requests for evenly spaced routes and tenants.
fn request_routes(client: &mut ProbeClient, size: Size, count: usize) -> io::Result<()> {
    for number in 0..count {
        // Spread over the whole configuration file.
        let route = number * size.routes / count;
        let tenant = (number * size.tenants).checked_div(count).filter(|_| size.tenants > 0);
        let field = tenant.map_or(String::new(), |tenant| format!("{TENANT_HEADER}: tenant-{tenant}\r\n"));
        let status = client.ask(&format!("/k{route}/board"), &field)?;
        if status != 200 {
            return Err(io::Error::other(format!("route r{route} was answered with {status}")));
        }
    }
    Ok(())
}

/// Measures consecutive changes of one value, without requests meanwhile. `numbers` continue those of earlier changes, so
/// that each change differs from what is in force.
///
/// # Errors
/// A node that rejects a change.
pub fn cost_of_changes(
    node: &mut NodeProcess,
    size: Size,
    backends: &[SocketAddr],
    numbers: Range<usize>,
) -> io::Result<ChangeCost> {
    procfs::reset_peak(node.id())?;
    let before = CpuTimes::read(node.id())?;
    let (changes, mut spans) = (numbers.len(), Vec::new());
    for number in numbers {
        spans.push(node.change_to(&text(size, backends, Change::Value.variant(number)))?.as_secs_f64());
        thread::sleep(SETTLE);
    }
    let after = CpuTimes::read(node.id())?;
    Ok(ChangeCost {
        changes,
        cpu: after.all_since(&before),
        loop_cpu: after.loop_since(&before),
        in_force_after: Duration::from_secs_f64(median(spans)),
        peak: procfs::peak(node.id())?,
    })
}
