//! What watching costs a node, and whether its recording names a fault that was put in.

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_flight_recorder::findings::{Finding, Subject, Symptom, find};
use pumicehead_flight_recorder::recording::Recording;
use pumicehead_load_generator::engine::{Progress, Protocol, Setup, run};
use pumicehead_load_generator::mix::{Mix, Plan as Drawn};
use pumicehead_load_generator::schedule::{Arrivals, Schedule};
use pumicehead_load_generator::shape::Shape;
use pumicehead_load_generator::{Nanos, SECOND};

use super::Plan;
use crate::program::{Standalone, build_node, memory, wait_for};
use crate::report::Report;
use crate::scripted::{Act, Backend, Client, ok};
use crate::standin::{StandIn, Work};

/// Load under which costs are compared, a second.
const RATE: f64 = 4_000.0;
/// How long each level is asked at a time.
const SPAN: Nanos = SECOND / 4;
/// Rounds in which the levels take turns; the median of the rounds' ratios counts.
const ROUNDS: usize = 30;
/// The recorder may cost this share more of the processor time of a request.
const MOST_COST: f64 = 1.03;
/// Servers of a fault's fleet; the last is the odd one.
const SERVERS: usize = 4;
/// What a sound server takes.
const TAKES: Duration = Duration::from_millis(20);
/// Clients that ask one after another, and for how long.
const CLIENTS: usize = 12;
const ASKED_FOR: Duration = Duration::from_millis(2_500);
/// A recording comes within this.
const PATIENCE: Duration = Duration::from_secs(10);

/// Runs it.
///
/// # Errors
/// A node that does not build, or answers that do not come.
pub fn measure(plan: Plan) -> io::Result<Report> {
    build_node()?;
    let mut report =
        Report::new("eyes", &["what", "us cpu a request", "ratio", "first cause named", "s to it"]);
    cost(plan, &mut report)?;
    faults(&mut report)?;
    Ok(report)
}

// ---- Cost -----------------------------------------------------------------------------------------

fn configuration(servers: &[SocketAddr], classes: &str, limits: &str) -> String {
    let servers =
        servers.iter().enumerate().map(|(n, address)| format!("server s{n} {{ address {address} }}\n"));
    format!(
        "listener public {{ address 127.0.0.1:0 }}\npool boards {{\n{}}}\n{classes}\n\
         route submit {{ path /runs/**; method POST; class submit; pool boards }}\n\
         route read {{ path /boards/**; class read; pool boards }}\n\
         limits {{ {limits} }}\nobserve {{ calls 127.0.0.1:0; recorder 1MiB }}\n",
        servers.collect::<String>()
    )
}

fn calls(node: &Standalone) -> SocketAddr {
    wait_for("calls", || node.said("takes admin commands on") == 1);
    let log = node.log.lock().map(|log| log.clone()).unwrap_or_default();
    let found = log.iter().find_map(|line| line.split_once("takes admin commands on ")?.1.parse().ok());
    found.unwrap_or_else(|| node.address())
}

fn call(address: SocketAddr, line: &str) -> io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    Ok(BufReader::new(stream))
}

fn median(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn cost(plan: Plan, report: &mut Report) -> io::Result<()> {
    let work = Work { takes: Duration::ZERO, answer: 200 };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let servers = (0..SERVERS).map(|_| StandIn::start(any, work)).collect::<io::Result<Vec<_>>>()?;
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let classes = "class read { aim 1200ms; deadline 6s; repeats safe }\n\
                   class submit { aim 600ms; deadline 1200ms; worth 10; repeats unsafe }";
    let text = configuration(&addresses, classes, "descriptors 4000; held 20000");
    let file = crate::program::temporary(".conf");
    fs::write(&file, text)?;
    let node = Standalone::start_on(&file, 1, Some(0));
    let calls = calls(&node);
    let before = memory(node.pid());
    let levels = ["off", "on", "full"];
    let mut costs: [Vec<f64>; 3] = Default::default();
    ask(plan, &node)?;
    for round in 0..if plan.long { 4 * ROUNDS } else { ROUNDS } {
        // Each is first as often as any other: what comes first in a round finds another machine.
        for turn in 0..levels.len() {
            let place = (round + turn) % levels.len();
            io::read_to_string(call(calls, &format!("RECORD {}", levels[place]))?)?;
            costs[place].push(ask(plan, &node)?);
        }
    }
    for (level, own) in levels.iter().zip(&costs) {
        let ratios: Vec<_> = own.iter().zip(&costs[0]).map(|(own, off)| own / off.max(1e-9)).collect();
        let ratio = median(&ratios);
        report.row(&[format!("recorder {level}"), format!("{:.2}", median(own)), format!("{ratio:.3}")]);
        match *level {
            "on" => {
                report.figure("on_ratio", format!("{ratio:.3}"));
                report.claim(ratio <= MOST_COST, format!("the recorder costs at most {MOST_COST} times"));
            }
            "full" => report.figure("full_ratio", format!("{ratio:.3}")),
            _ => report.figure("off_us", format!("{:.1}", median(own))),
        }
    }
    report.figure("grown_bytes", memory(node.pid()).saturating_sub(before));
    let text = io::read_to_string(call(calls, "METRICS")?)?;
    let gauge = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|value| value.parse::<f64>().ok()).unwrap_or(f64::NAN)
    };
    let (taken, most) = (gauge("pumicehead_recorder_bytes"), gauge("pumicehead_recorder_most_bytes"));
    report.figure("recorder_bytes", taken);
    report.claim(taken <= most, "the recorder stays in its memory");
    fs::remove_file(file)
}

/// Asks the node for a span; its processor time a request in microseconds.
fn ask(plan: Plan, node: &Standalone) -> io::Result<f64> {
    let schedule = Schedule::new(Shape::Constant(RATE), Arrivals::Poisson, SPAN, plan.seed);
    let drawn = Drawn::drawn(schedule, Mix::default(), plan.seed);
    let setup = Setup {
        targets: vec![node.address()],
        protocol: Protocol::Http,
        threads: 2,
        connections: 500,
        closed: None,
        relaxed: false,
        seed: plan.seed,
    };
    let before = node.cpu_seconds();
    let tally = run(&drawn, &setup, &Arc::new(Progress::default()))?;
    Ok((node.cpu_seconds() - before) * 1e6 / tally.requests().max(1) as f64)
}

// ---- Faults ---------------------------------------------------------------------------------------

/// What is put in, and what must be named.
struct Fault {
    name: &'static str,
    /// What the others do.
    sound: fn() -> Act,
    /// What the odd server does.
    odd: fn() -> Act,
    classes: &'static str,
    limits: &'static str,
    /// Connections that ask nothing more and stay.
    idle: usize,
    named: fn(&Recording, &Finding) -> bool,
}

const CLASSES: &str = "class read { aim 200ms; deadline 400ms; repeats safe }\n\
                       class submit { aim 200ms; deadline 400ms; worth 10; repeats unsafe }";

fn sound() -> Act {
    thread::sleep(TAKES);
    ok("done")
}

/// Takes 30 to 70 ms, in no order that matters.
fn varied() -> Duration {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    Duration::from_millis(30 + CALLS.fetch_add(1, Ordering::Relaxed) * 17 % 41)
}

fn odd_server(dump: &Recording, finding: &Finding, matter: Symptom) -> bool {
    let last = format!("s{}", SERVERS - 1);
    finding.symptom == matter
        && matches!(finding.subject, Subject::Endpoint(pool, id) if dump.header.endpoint_name(pool, id) == last)
}

const FAULTS: [Fault; 5] = [
    Fault {
        name: "a silent server",
        sound,
        odd: || Act::Hang,
        classes: CLASSES,
        limits: "held 2000",
        idle: 0,
        named: |dump, finding| odd_server(dump, finding, Symptom::Unresponsive),
    },
    Fault {
        name: "a server that breaks connections off",
        sound,
        odd: || {
            thread::sleep(TAKES);
            Act::WriteAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n".into())
        },
        classes: CLASSES,
        limits: "held 2000",
        idle: 0,
        named: |dump, finding| odd_server(dump, finding, Symptom::ConnectionResets),
    },
    Fault {
        name: "a server twice as slow",
        sound: || {
            thread::sleep(varied());
            ok("done")
        },
        odd: || {
            thread::sleep(2 * varied());
            ok("done")
        },
        classes: "class read { aim 110ms; deadline 400ms; repeats safe }\n\
                  class submit { aim 110ms; deadline 400ms; worth 10; repeats unsafe }",
        limits: "held 2000",
        idle: 0,
        named: |dump, finding| odd_server(dump, finding, Symptom::SlowResponses),
    },
    Fault {
        name: "a listener short of descriptors",
        sound,
        odd: sound,
        classes: CLASSES,
        limits: "held 2000; descriptors 128",
        idle: 60,
        named: |_, finding| {
            (finding.subject, finding.symptom) == (Subject::Node, Symptom::DescriptorsExhausted)
        },
    },
    Fault {
        name: "a class with a wrong deadline",
        sound,
        odd: sound,
        classes: "class read { aim 200ms; deadline 400ms; repeats safe }\n\
                  class submit { aim 5ms; deadline 10ms; worth 10; repeats unsafe }",
        limits: "held 2000",
        idle: 0,
        named: |dump, finding| {
            let class = matches!(finding.subject,
                Subject::Class(pool, class) if dump.header.class_name(pool, class) == "submit");
            class && finding.symptom == Symptom::ObjectiveTooShort
        },
    },
];

fn faults(report: &mut Report) -> io::Result<()> {
    let mut right = 0;
    for fault in &FAULTS {
        let servers: Vec<_> = (0..SERVERS)
            .map(|n| {
                let act = if n == SERVERS - 1 { fault.odd } else { fault.sound };
                Backend::start(move |_| act())
            })
            .collect();
        let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
        let node = Standalone::start(&configuration(&addresses, fault.classes, fault.limits), 1);
        let calls = calls(&node);
        load(node.address(), fault.idle);
        let begun = Instant::now();
        let dump = recording(calls)?;
        let accounts = dump.ledger.as_ref().ok_or_else(|| io::Error::other("no sums"))?;
        let found = find(&dump.header, accounts, 0, u64::MAX);
        let took = begun.elapsed().as_secs_f64();
        let named = found.first().is_some_and(|first| first.lost > 0 && (fault.named)(&dump, first));
        right += u32::from(named);
        let text = found.first().map_or("nothing", |first| &first.text);
        let shown = if named { text.to_owned() } else { format!("WRONG: {text}") };
        report.row(&[fault.name.into(), String::new(), String::new(), shown, format!("{took:.3}")]);
    }
    report.figure("named", format!("{right}/{}", FAULTS.len()));
    report.claim(right as usize == FAULTS.len(), "each fault is the cause that is named first");
    Ok(())
}

fn recording(calls: SocketAddr) -> io::Result<Recording> {
    let mut answer = call(calls, "TRACE")?;
    answer.read_line(&mut String::new())?;
    let mut file = Vec::new();
    answer.read_to_end(&mut file)?;
    Recording::read(&file).map_err(io::Error::other)
}

/// Clients that ask both classes in turn, beside so many connections that ask once and stay.
fn load(address: SocketAddr, idle: usize) {
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS + idle)
        .map(|n| {
            let over = over.clone();
            thread::spawn(move || {
                let mut client = None;
                let mut turn = n;
                while !over.load(Ordering::Relaxed) {
                    turn += 1;
                    let request = if turn.is_multiple_of(2) {
                        "GET /boards/x HTTP/1.1\r\nHost: a\r\n\r\n"
                    } else {
                        "POST /runs/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
                    };
                    let asking = client.get_or_insert_with(|| Client::connect(address));
                    asking.write(request);
                    let answer = asking.read();
                    if answer.as_ref().is_none_or(|answer| answer.header("connection") == Some("close")) {
                        client = None;
                    }
                    if answer.is_none_or(|answer| answer.status() != 200) {
                        thread::sleep(Duration::from_millis(10));
                    }
                }
            })
        })
        .collect();
    thread::sleep(ASKED_FOR);
    over.store(true, Ordering::Relaxed);
    // One that met a broken connection has ended early, and that is no fault of the measurement.
    clients.into_iter().for_each(|client| drop(client.join()));
}
