//! Command line of the load generator. Exit codes: 0 if the run is valid, 1 if it is invalid, 2 if the command fails.

use std::error::Error;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use std::{fs, thread};

use clap::{Args, Parser, Subcommand, ValueEnum};
use pumicehead_load_generator::compare::{compare, table};
use pumicehead_load_generator::engine::{Progress, Protocol, Setup, run};
use pumicehead_load_generator::mix::{Mix, Plan};
use pumicehead_load_generator::model::{Model, Service, Stalls};
use pumicehead_load_generator::report::Summary;
use pumicehead_load_generator::schedule::{Arrivals, Schedule};
use pumicehead_load_generator::shape::{Shape, parse_span};
use pumicehead_load_generator::trace::{Replay, parse, write_csv};
use pumicehead_load_generator::{Nanos, SECOND, html, relay, standin};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// An open-loop load generator: arrivals never wait for responses, and latencies count from the intended time.
#[derive(Parser)]
#[command(
    name = "pumicehead-load",
    version,
    after_help = "Exit codes: 0 if the run is valid, 1 if it is invalid, 2 if the command fails."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Generates requests from a shape and a mix, and sends them.
    Run {
        /// The rate over time: `constant:500/s`, `ramp:100,2000,30s`, `step:100,500,10s`, `burst:200,3000,5s,2s,4s`
        /// (base, peak, start, duration of rise and fall, duration of the peak), `onoff:500,2s,3s`,
        /// `diurnal:500,50%,60s`; sums with `+`.
        #[arg(long, default_value = "constant:100/s")]
        shape: String,
        /// Duration of the run.
        #[arg(long, default_value = "10s")]
        span: String,
        /// Sends requests at even intervals instead of a Poisson process.
        #[arg(long)]
        even: bool,
        /// JSON file that describes the requests; see `pumicehead-load mix`.
        #[arg(long)]
        mix: Option<PathBuf>,
        #[command(flatten)]
        how: How,
    },
    /// Replays recorded traffic: an access log, or a file in the load generator's own format.
    Replay {
        /// File of the trace.
        trace: PathBuf,
        /// Factor by which time passes faster than in the trace.
        #[arg(long, default_value_t = 1.0)]
        speed: f64,
        /// Number of times that each request is sent.
        #[arg(long, default_value_t = 1)]
        copies: u32,
        /// Gaps of more than six hours are meant.
        #[arg(long)]
        gaps: bool,
        /// JSON file with the classes of the requests.
        #[arg(long)]
        mix: Option<PathBuf>,
        #[command(flatten)]
        how: How,
    },
    /// Converts an access log to a trace in the load generator's own format.
    Import {
        /// File of the access log.
        log: PathBuf,
        /// Gaps of more than six hours are meant.
        #[arg(long)]
        gaps: bool,
    },
    /// Prints the default mix.
    Mix,
    /// Compares results that were written with `--json`.
    Compare {
        /// Result files of side A.
        #[arg(long, required = true, num_args = 1..)]
        a: Vec<PathBuf>,
        /// Result files of side B.
        #[arg(long, required = true, num_args = 1..)]
        b: Vec<PathBuf>,
    },
    /// Runs stand-in servers with a known service time until terminated.
    StandIn {
        /// Loopback addresses to listen on; each is an independent server.
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
        /// Service time: `5ms`, `exp:5ms` (exponential with this mean), or `1ms,50ms,2%` (short, long, share of long
        /// ones).
        #[arg(long, default_value = "5ms")]
        service: String,
        /// Network delay in both directions together.
        #[arg(long, default_value = "0ms")]
        delay: String,
        /// Stall: start, counted from the start of the server, and duration, as in `5s+2s`. May be given more than
        /// once.
        #[arg(long)]
        stall: Vec<String>,
        /// Maximum number of requests in service.
        #[arg(long, default_value_t = usize::MAX)]
        limit: usize,
        /// Length of a response body, in bytes.
        #[arg(long, default_value_t = 200)]
        answer: usize,
    },
    /// Forwards bytes to the targets until terminated, as a baseline for the minimal cost of a proxy.
    Relay {
        /// Loopback address to listen on.
        address: SocketAddr,
        /// Loopback addresses to forward to, in turn.
        #[arg(required = true)]
        targets: Vec<SocketAddr>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Spoken {
    /// HTTP/1.1 with the platform's headers.
    Platform,
    /// HTTP/1.1.
    Http,
    /// FastCGI.
    Fastcgi,
}

#[derive(Args)]
struct How {
    /// Address to send requests to; may be given more than once.
    #[arg(long, required = true)]
    target: Vec<SocketAddr>,
    /// Protocol of the requests.
    #[arg(long, value_enum, default_value_t = Spoken::Http)]
    protocol: Spoken,
    /// Number of threads.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Maximum number of concurrent connections.
    #[arg(long, default_value_t = 1_000)]
    connections: usize,
    /// Number of closed-loop clients that wait for each response instead of following the schedule. Only used to
    /// demonstrate the latency that this hides.
    #[arg(long)]
    closed: Option<usize>,
    /// Waits with timers only: requests are up to 2 ms late, but the processor is left to other processes.
    #[arg(long)]
    relaxed: bool,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Writes the results to a JSON file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes the results to an HTML file.
    #[arg(long)]
    html: Option<PathBuf>,
}

fn main() -> ExitCode {
    carry_out(Arguments::parse().command).unwrap_or_else(|error| {
        eprintln!("pumicehead-load: {error}");
        ExitCode::from(2)
    })
}

fn carry_out(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Run { shape, span, even, mix, how } => {
            let arrivals = if even { Arrivals::Even } else { Arrivals::Poisson };
            let (form, span): (Shape, Nanos) = (shape.parse()?, parse_span(&span)?);
            let plan = Plan::drawn(Schedule::new(form, arrivals, span, how.seed), mix_of(mix)?, how.seed);
            go(&format!("{shape} for {} s", span as f64 / SECOND as f64), span, &plan, &how)
        }
        Command::Replay { trace, speed, copies, gaps, mix, how } => {
            let entries = parse(&read(&trace)?, Replay { speed, copies, gaps })?;
            let span = entries.last().map_or(0, |entry| entry.at);
            let title = format!("{} at {speed}x, {copies} copies", trace.display());
            go(&title, span, &Plan::recorded(entries, mix_of(mix)?), &how)
        }
        Command::Import { log, gaps } => {
            let entries = parse(&read(&log)?, Replay { speed: 1.0, copies: 1, gaps })?;
            let _ = std::io::stdout().write_all(write_csv(&entries).as_bytes());
            Ok(ExitCode::SUCCESS)
        }
        Command::Mix => {
            println!("{}", serde_json::to_string_pretty(&Mix::default())?);
            Ok(ExitCode::SUCCESS)
        }
        Command::Compare { a, b } => {
            let load = |files: &[PathBuf]| -> Result<Vec<Summary>, Box<dyn Error>> {
                files.iter().map(|file| Ok(serde_json::from_str(&read(file)?)?)).collect()
            };
            let (a, b) = (load(&a)?, load(&b)?);
            print!("{}", table(&compare(&a, &b)?, (a.len(), b.len())));
            Ok(ExitCode::SUCCESS)
        }
        Command::StandIn { addresses, service, delay, stall, limit, answer } => {
            let stalls = stall.iter().map(|text| stall_of(text)).collect::<Result<_, _>>()?;
            let service = service_of(&service)?;
            let model = Model {
                service,
                delay: parse_span(&delay)?,
                stalls: Stalls(stalls),
                limit: limit.max(1),
                seed: 1,
            };
            on_loopback(&addresses)?;
            forever(standin::serve_all(&addresses, &model, answer, |bound| println!("a stand-in on {bound}")))
        }
        Command::Relay { address, targets } => {
            on_loopback(&[&[address], &targets[..]].concat())?;
            forever(relay::serve(address, targets, |bound| println!("a relay on {bound}")))
        }
    }
}

fn forever(serve: impl Future<Output = std::io::Result<()>>) -> Result<ExitCode, Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve)?;
    Ok(ExitCode::SUCCESS)
}

fn read(path: &PathBuf) -> Result<String, Box<dyn Error>> {
    fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()).into())
}

fn mix_of(file: Option<PathBuf>) -> Result<Mix, Box<dyn Error>> {
    let Some(file) = file else { return Ok(Mix::default()) };
    let mix: Mix =
        serde_json::from_str(&read(&file)?).map_err(|error| format!("{}: {error}", file.display()))?;
    mix.check()?;
    Ok(mix)
}

fn stall_of(text: &str) -> Result<(Nanos, Nanos), Box<dyn Error>> {
    let (at, span) = text.split_once('+').ok_or("a stall has the form `5s+2s`")?;
    let at = parse_span(at)?;
    Ok((at, at + parse_span(span)?))
}

fn service_of(text: &str) -> Result<Service, Box<dyn Error>> {
    if let Some(mean) = text.strip_prefix("exp:") {
        return Ok(Service::Exponential(parse_span(mean)?));
    }
    let parts: Vec<_> = text.split(',').collect();
    let [short, long, share] = parts[..] else { return Ok(Service::Fixed(parse_span(text)?)) };
    let share: f64 =
        share.strip_suffix('%').ok_or("the share of long service times has the form `2%`")?.parse()?;
    Ok(Service::Bimodal { short: parse_span(short)?, long: parse_span(long)?, share: share / 100.0 })
}

/// Returns an error unless all addresses are loopback addresses: stand-ins and relays are only for use on this machine.
fn on_loopback(addresses: &[SocketAddr]) -> Result<(), Box<dyn Error>> {
    match addresses.iter().find(|address| !address.ip().is_loopback()) {
        Some(address) => Err(format!("{address} is not a loopback address").into()),
        None => Ok(()),
    }
}

fn go(title: &str, span: Nanos, plan: &Plan, how: &How) -> Result<ExitCode, Box<dyn Error>> {
    let setup = Setup {
        targets: how.target.clone(),
        protocol: match how.protocol {
            Spoken::Platform => Protocol::Platform,
            Spoken::Http => Protocol::Http,
            Spoken::Fastcgi => Protocol::FastCgi,
        },
        threads: how.threads.clamp(1, 64),
        connections: how.connections.max(1),
        closed: how.closed,
        relaxed: how.relaxed,
        seed: how.seed,
    };
    let progress = Arc::new(Progress::default());
    let over = Arc::new(AtomicBool::new(false));
    let shown = std::io::stderr().is_terminal().then(|| {
        let (progress, over) = (progress.clone(), over.clone());
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let get = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
                let (due, ended, served) = (get(&progress.due), get(&progress.ended), get(&progress.served));
                eprint!("\r{due} due, {ended} ended, {served} served, {} open   ", due.saturating_sub(ended));
                thread::sleep(Duration::from_millis(250));
            }
            eprintln!();
        })
    });
    let tally = run(plan, &setup, &progress)?;
    over.store(true, Ordering::Relaxed);
    if let Some(shown) = shown {
        let _ = shown.join();
    }
    let title = match how.closed {
        Some(clients) => format!("{title}, by {clients} clients that wait (closed loop)"),
        None => title.to_owned(),
    };
    let summary = Summary::of(&title, span, &tally);
    let _ = std::io::stdout().write_all(summary.table().as_bytes());
    if let Some(file) = &how.json {
        fs::write(file, serde_json::to_string_pretty(&summary)?)?;
    }
    if let Some(file) = &how.html {
        fs::write(file, html::page(&summary))?;
    }
    Ok(if summary.valid { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
