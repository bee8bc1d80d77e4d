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
use pumicehead_load_generator::model::{ServerModel, Service, Stalls};
use pumicehead_load_generator::report::Summary;
use pumicehead_load_generator::schedule::{Arrivals, Schedule};
use pumicehead_load_generator::shape::{Shape, parse_duration};
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
        options: RunOptions,
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
        options: RunOptions,
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
enum ProtocolArg {
    /// HTTP/1.1 with the platform's headers.
    Platform,
    /// HTTP/1.1.
    Http,
    /// FastCGI.
    Fastcgi,
}

#[derive(Args)]
struct RunOptions {
    /// Address to send requests to; may be given more than once.
    #[arg(long, required = true)]
    target: Vec<SocketAddr>,
    /// Protocol of the requests.
    #[arg(long, value_enum, default_value_t = ProtocolArg::Http)]
    protocol: ProtocolArg,
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
    run_command(Arguments::parse().command).unwrap_or_else(|error| {
        eprintln!("pumicehead-load: {error}");
        ExitCode::from(2)
    })
}

fn run_command(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Run { shape, span, even, mix, options } => {
            let arrivals = if even { Arrivals::Even } else { Arrivals::Poisson };
            let (parsed_shape, span): (Shape, Nanos) = (shape.parse()?, parse_duration(&span)?);
            let plan = Plan::generated(
                Schedule::new(parsed_shape, arrivals, span, options.seed),
                load_mix(mix)?,
                options.seed,
            );
            run_plan(&format!("{shape} for {} s", span as f64 / SECOND as f64), span, &plan, &options)
        }
        Command::Replay { trace, speed, copies, gaps, mix, options } => {
            let entries = parse(&read_file(&trace)?, Replay { speed, copies, allow_gaps: gaps })?;
            let span = entries.last().map_or(0, |entry| entry.at);
            let title = format!("{} at {speed}x, {copies} copies", trace.display());
            run_plan(&title, span, &Plan::recorded(entries, load_mix(mix)?), &options)
        }
        Command::Import { log, gaps } => {
            let entries = parse(&read_file(&log)?, Replay { speed: 1.0, copies: 1, allow_gaps: gaps })?;
            let _ = std::io::stdout().write_all(write_csv(&entries).as_bytes());
            Ok(ExitCode::SUCCESS)
        }
        Command::Mix => {
            println!("{}", serde_json::to_string_pretty(&Mix::default())?);
            Ok(ExitCode::SUCCESS)
        }
        Command::Compare { a, b } => {
            let load = |files: &[PathBuf]| -> Result<Vec<Summary>, Box<dyn Error>> {
                files.iter().map(|file| Ok(serde_json::from_str(&read_file(file)?)?)).collect()
            };
            let (a, b) = (load(&a)?, load(&b)?);
            print!("{}", table(&compare(&a, &b)?, (a.len(), b.len())));
            Ok(ExitCode::SUCCESS)
        }
        Command::StandIn { addresses, service, delay, stall, limit, answer } => {
            let stalls = stall.iter().map(|text| parse_stall(text)).collect::<Result<_, _>>()?;
            let service = parse_service(&service)?;
            let model = ServerModel {
                service,
                delay: parse_duration(&delay)?,
                stalls: Stalls(stalls),
                max_in_service: limit.max(1),
                seed: 1,
            };
            check_loopback(&addresses)?;
            block_on_server(standin::serve_all(&addresses, &model, answer, |bound| {
                println!("a stand-in on {bound}")
            }))
        }
        Command::Relay { address, targets } => {
            check_loopback(&[&[address], &targets[..]].concat())?;
            block_on_server(relay::serve(address, targets, |bound| println!("a relay on {bound}")))
        }
    }
}

fn block_on_server(serve: impl Future<Output = std::io::Result<()>>) -> Result<ExitCode, Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve)?;
    Ok(ExitCode::SUCCESS)
}

fn read_file(path: &PathBuf) -> Result<String, Box<dyn Error>> {
    fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()).into())
}

fn load_mix(file: Option<PathBuf>) -> Result<Mix, Box<dyn Error>> {
    let Some(file) = file else { return Ok(Mix::default()) };
    let mix: Mix =
        serde_json::from_str(&read_file(&file)?).map_err(|error| format!("{}: {error}", file.display()))?;
    mix.check()?;
    Ok(mix)
}

fn parse_stall(text: &str) -> Result<(Nanos, Nanos), Box<dyn Error>> {
    let (at, span) = text.split_once('+').ok_or("a stall has the form `5s+2s`")?;
    let at = parse_duration(at)?;
    Ok((at, at + parse_duration(span)?))
}

fn parse_service(text: &str) -> Result<Service, Box<dyn Error>> {
    if let Some(mean) = text.strip_prefix("exp:") {
        return Ok(Service::Exponential(parse_duration(mean)?));
    }
    let parts: Vec<_> = text.split(',').collect();
    let [short, long, share] = parts[..] else { return Ok(Service::Fixed(parse_duration(text)?)) };
    let share: f64 =
        share.strip_suffix('%').ok_or("the share of long service times has the form `2%`")?.parse()?;
    Ok(Service::Bimodal { short: parse_duration(short)?, long: parse_duration(long)?, share: share / 100.0 })
}

/// Returns an error unless all addresses are loopback addresses: stand-ins and relays are only for use on this machine.
fn check_loopback(addresses: &[SocketAddr]) -> Result<(), Box<dyn Error>> {
    match addresses.iter().find(|address| !address.ip().is_loopback()) {
        Some(address) => Err(format!("{address} is not a loopback address").into()),
        None => Ok(()),
    }
}

fn run_plan(title: &str, span: Nanos, plan: &Plan, options: &RunOptions) -> Result<ExitCode, Box<dyn Error>> {
    let setup = Setup {
        targets: options.target.clone(),
        protocol: match options.protocol {
            ProtocolArg::Platform => Protocol::Platform,
            ProtocolArg::Http => Protocol::Http,
            ProtocolArg::Fastcgi => Protocol::FastCgi,
        },
        threads: options.threads.clamp(1, 64),
        connections: options.connections.max(1),
        closed: options.closed,
        relaxed: options.relaxed,
        seed: options.seed,
    };
    let progress = Arc::new(Progress::default());
    let finished = Arc::new(AtomicBool::new(false));
    let progress_printer = std::io::stderr().is_terminal().then(|| {
        let (progress, finished) = (progress.clone(), finished.clone());
        thread::spawn(move || {
            while !finished.load(Ordering::Relaxed) {
                let get = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
                let (due, ended, served) = (get(&progress.due), get(&progress.ended), get(&progress.served));
                eprint!("\r{due} due, {ended} ended, {served} served, {} open   ", due.saturating_sub(ended));
                thread::sleep(Duration::from_millis(250));
            }
            eprintln!();
        })
    });
    let tally = run(plan, &setup, &progress)?;
    finished.store(true, Ordering::Relaxed);
    if let Some(printer) = progress_printer {
        let _ = printer.join();
    }
    let title = match options.closed {
        Some(clients) => format!("{title}, by {clients} clients that wait (closed loop)"),
        None => title.to_owned(),
    };
    let summary = Summary::of(&title, span, &tally);
    let _ = std::io::stdout().write_all(summary.table().as_bytes());
    if let Some(file) = &options.json {
        fs::write(file, serde_json::to_string_pretty(&summary)?)?;
    }
    if let Some(file) = &options.html {
        fs::write(file, html::page(&summary))?;
    }
    Ok(if summary.valid { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
