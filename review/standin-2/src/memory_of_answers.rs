//! Case 7: long answers that come in pieces take more memory than the node has.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::{
    Backend, Case, Client, Message, Verdict, answer_200, ms, new_id, request, settings, signal, single_node,
    status_kib,
};

const BACKENDS: usize = 40;
const MEMORY_MB: u64 = 32;
/// Under a third of 1,024 descriptors.
const CLIENTS: u64 = 300;
/// Each client sends a request in this time: 600 a second in all, under four times 320.
const PERIOD_MS: u64 = 500;
const ANSWER_BYTES: usize = 64 << 10;
const WORK_MS: u64 = 60;
const PIECES: usize = 16;
const PAUSE_MS: u64 = 25;
const LENGTH: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    other: AtomicU64,
    ended: AtomicU64,
}

fn client(address: SocketAddr, number: u64, stop: &AtomicBool, counts: &Counts) {
    let mut connection: Option<Client> = None;
    let mut due = Instant::now() + ms(PERIOD_MS * number / CLIENTS);
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        // A client whose answer came late does not catch up.
        due = (due + ms(PERIOD_MS)).max(Instant::now());
        if connection.is_none() {
            connection = Client::connect(address).ok();
        }
        let Some(open) = connection.as_mut() else { continue };
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let answer = open.exchange(&request("GET", "board-read", &new_id(), None, 6000, b""), ms(7000));
        let counter = match &answer {
            Ok(answer) if answer.status == 200 => &counts.served,
            Ok(_) => &counts.other,
            Err(_) => &counts.ended,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if !answer.is_ok_and(|answer| answer.field("connection") != "close") {
            connection = None;
        }
    }
}

fn backend(number: usize, trouble: bool) -> Backend {
    let answer = answer_200(&vec![b'x'; ANSWER_BYTES]);
    let handler = move |_: &Message, stream: &mut TcpStream| {
        thread::sleep(ms(WORK_MS));
        let pieces = if trouble { PIECES } else { 1 };
        for (index, piece) in answer.chunks(answer.len().div_ceil(pieces)).enumerate() {
            if index > 0 {
                thread::sleep(ms(PAUSE_MS));
            }
            stream.write_all(piece)?;
        }
        Ok(true)
    };
    Backend::start(&format!("s-{number:08x}"), Arc::new(handler))
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let backends: Vec<_> = (0..BACKENDS).map(|number| backend(number, case.trouble)).collect();
    let (_discovery, mut node) = match single_node(case, &backends, MEMORY_MB, settings(600, 1200)) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let (address, pid) = (node.address, node.pid());
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, counts) = (stop.clone(), counts.clone());
            thread::spawn(move || client(address, number, &stop, &counts))
        })
        .collect();
    // The platform: over memory_mb the node is killed. Only its own anonymous pages are counted; program text, files and
    // the kernel's buffers, which may count too, are left out.
    let (begun, mut peak_kib, mut killed, mut next_line) = (Instant::now(), 0, false, Instant::now());
    while begun.elapsed() < LENGTH {
        let Some(kib) = status_kib(pid, "RssAnon") else { break };
        peak_kib = peak_kib.max(kib);
        if Instant::now() >= next_line {
            next_line += ms(500);
            record.line(format!(
                "memory {kib} KiB of {}; sent {} served {} other answers {} connections ended {}",
                MEMORY_MB << 10,
                counts.sent.load(Ordering::Relaxed),
                counts.served.load(Ordering::Relaxed),
                counts.other.load(Ordering::Relaxed),
                counts.ended.load(Ordering::Relaxed)
            ));
        }
        if kib > MEMORY_MB << 10 {
            record.line(format!("the platform kills the node: {kib} KiB, over {MEMORY_MB} MiB"));
            killed = true;
            signal(pid, "KILL");
            break;
        }
        thread::sleep(ms(5));
    }
    let ended = if killed { None } else { node.ended() };
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    record.say(format!(
        "after {:.1} s: peak {peak_kib} KiB of {} KiB; sent {} served {} other answers {} ended without an answer {}",
        begun.elapsed().as_secs_f64(),
        MEMORY_MB << 10,
        counts.sent.load(Ordering::Relaxed),
        counts.served.load(Ordering::Relaxed),
        counts.other.load(Ordering::Relaxed),
        counts.ended.load(Ordering::Relaxed)
    ));
    match ended {
        Some(status) => {
            record.say(format!("the node has ended by itself: {status}"));
            Verdict::Broken
        }
        None if killed => Verdict::Broken,
        None if counts.served.load(Ordering::Relaxed) < 1000 => {
            Verdict::CouldNotRun("too few requests".into())
        }
        None => Verdict::Held,
    }
}
