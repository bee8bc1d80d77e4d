//! Stand-ins as processes of their own: a server with places that it has to warm up, and discovery as the platform has it.
//! Both write what they saw to standard output, one event a line.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::faults::Manner;
use crate::history::{Event, EventKind, ListedHealth};
use crate::scenario::Lie;
use crate::{Nanos, clock};

/// The field that names a request.
pub const ID: &str = "x-storm";
/// Requests that wait at a server for a place, for each place that it has: the rest is turned away.
const WAITING: usize = 4;
/// Between two empty lines of a watch.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// What a server is.
#[derive(Clone, Debug, clap::Args)]
pub struct Server {
    /// Its number.
    #[arg(long)]
    pub number: usize,
    /// How often it was started before.
    #[arg(long)]
    pub epoch: u32,
    /// What it does at once.
    #[arg(long)]
    pub places: usize,
    /// Milliseconds that a request takes on the mean.
    #[arg(long)]
    pub takes_ms: f64,
    /// Seconds until it is warm; 0: it is.
    #[arg(long)]
    pub cold_s: f64,
    /// Share of its places while it is quite cold.
    #[arg(long)]
    pub cold_from: f64,
}

fn tell(what: EventKind) {
    let line = serde_json::to_string(&Event { at: clock::now(), kind: what }).unwrap_or_default();
    // Nobody reads any more: the storm is over, and this process soon is.
    let _ = writeln!(io::stdout().lock(), "{line}");
}

/// What a stand-in says first: where it listens.
#[derive(Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The addresses, in order.
    pub listens: Vec<SocketAddr>,
}

fn hello(listens: Vec<SocketAddr>) {
    println!("{}", serde_json::to_string(&Hello { listens }).unwrap_or_default());
}

struct Works {
    server: Server,
    start: Nanos,
    out: Cell<usize>,
    waiting: Cell<usize>,
    free: Notify,
    rng: RefCell<StdRng>,
    manner: RefCell<Manner>,
}

/// What a server has for a request.
enum Reply {
    /// An answer.
    Answer(Response<Full<Bytes>>),
    /// The connection ends in place of one: what comes on the next is no answer either.
    Nothing,
}

impl Works {
    /// Places by now.
    fn places(&self) -> usize {
        let Server { places, cold_s, cold_from, .. } = self.server;
        let age = (clock::now() - self.start) as f64 / 1e9;
        let share = if age >= cold_s { 1.0 } else { cold_from + (1.0 - cold_from) * age / cold_s };
        ((places as f64 * share).round() as usize).max(1)
    }

    async fn work(self: Rc<Self>, id: u64, via: String) -> Reply {
        let of = self.server.number;
        if self.out.get() >= self.places() && self.waiting.get() >= WAITING * self.places() {
            tell(EventKind::RequestRejected { server: of });
            return Reply::Answer(unprocessed());
        }
        // It has been taken: whatever becomes of the connection, this may take effect.
        tell(EventKind::RequestExecuted { id, server: of, epoch: self.server.epoch, via });
        self.waiting.set(self.waiting.get() + 1);
        while self.out.get() >= self.places() {
            // Places come with age as well as with ends.
            let _ = timeout(Duration::from_millis(100), self.free.notified()).await;
        }
        self.waiting.set(self.waiting.get() - 1);
        self.out.set(self.out.get() + 1);
        let mean = self.server.takes_ms / 2.0;
        let more = -mean * (1.0 - self.rng.borrow_mut().random::<f64>()).ln();
        let slow = self.manner.borrow().slow;
        sleep(Duration::from_secs_f64((mean + more) * slow / 1e3)).await;
        self.out.set(self.out.get() - 1);
        self.free.notify_one();
        let lie = self.manner.borrow().lie;
        match lie {
            None => Reply::Answer(answer(id)),
            Some(Lie::Swaps) => Reply::Answer(answer(id ^ 1)),
            Some(Lie::Denies) => Reply::Answer(unprocessed()),
            Some(Lie::Garbles) => Reply::Nothing,
        }
    }
}

fn answer(id: u64) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(format!("{id:x}\n"))))
}

/// Nothing was done of it, it says.
fn unprocessed() -> Response<Full<Bytes>> {
    let mut away = Response::new(Full::default());
    *away.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    away.headers_mut().insert("x-unprocessed", hyper::header::HeaderValue::from_static("1"));
    away
}

/// Longest head of a request that is read by hand.
const LONGEST_HEAD: usize = 16 << 10;

/// Bytes up to the end of a head; `None` where none comes.
async fn head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut bytes = [0; 1024];
        let count =
            stream.read(&mut bytes).await.ok().filter(|count| *count > 0 && head.len() < LONGEST_HEAD)?;
        head.extend_from_slice(&bytes[..count]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// A connection of a server that garbles: the request takes effect, and what comes back is no answer, or half of one.
async fn garble(mut stream: TcpStream, works: Rc<Works>) -> Option<()> {
    let head = head(&mut stream).await?;
    let field = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(':'));
        lines
            .filter(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim().to_owned())
            .next()
    };
    let id = u64::from_str_radix(&field(ID)?, 16).ok()?;
    let (server, epoch) = (works.server.number, works.server.epoch);
    tell(EventKind::RequestExecuted { id, server, epoch, via: field("via").unwrap_or_default() });
    let said: &[u8] = match id % 3 {
        0 => b"\x16\x03\x01 what is this\r\n\r\n",
        1 => b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf",
        _ => b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nabcdefg",
    };
    stream.write_all(said).await.ok()
}

/// Lines that come to this process, each of a type.
fn lines<T: serde::de::DeserializeOwned + Send + 'static>() -> tokio::sync::mpsc::UnboundedReceiver<T> {
    let (lines, came) = tokio::sync::mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(one) = serde_json::from_str(&line) else { continue };
            if lines.send(one).is_err() {
                return;
            }
        }
    });
    came
}

/// Serves until the process is ended.
///
/// # Errors
/// A listener that can't be opened.
pub async fn serve(server: Server) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    hello(vec![listener.local_addr()?]);
    let seed = (server.number as u64) << 32 | u64::from(server.epoch);
    let works = Rc::new(Works {
        server,
        start: clock::now(),
        out: Cell::new(0),
        waiting: Cell::new(0),
        free: Notify::new(),
        rng: RefCell::new(StdRng::seed_from_u64(seed)),
        manner: RefCell::default(),
    });
    let (mut told, heeds) = (lines::<Manner>(), works.clone());
    spawn_local(async move {
        while let Some(manner) = told.recv().await {
            *heeds.manner.borrow_mut() = manner;
        }
    });
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let works = works.clone();
        if works.manner.borrow().lie == Some(Lie::Garbles) {
            spawn_local(garble(stream, works));
            continue;
        }
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let works = works.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let text = |name: &str| {
                        head.headers
                            .get(name)
                            .and_then(|value| value.to_str().ok())
                            .unwrap_or_default()
                            .to_owned()
                    };
                    let id = u64::from_str_radix(&text(ID), 16).ok();
                    let (Some(id), Ok(_)) = (id, body.collect().await) else {
                        let mut none = Response::new(Full::default());
                        *none.status_mut() = StatusCode::BAD_REQUEST;
                        return Ok(none);
                    };
                    // A task of its own: a connection that breaks does not undo what has begun.
                    match spawn_local(works.work(id, text("via"))).await {
                        Ok(Reply::Answer(answer)) => Ok(answer),
                        Ok(Reply::Nothing) | Err(_) => Err(io::Error::from(io::ErrorKind::BrokenPipe)),
                    }
                }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// A change that the storm has discovery tell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// The server.
    pub server: usize,
    /// How it is listed.
    pub listed: ListedHealth,
    /// Where each node reaches it.
    pub dials: Vec<SocketAddr>,
    /// When it last started, in Unix milliseconds; 0 is long ago.
    pub born_ms: u64,
}

#[derive(Default)]
struct Book {
    version: u64,
    servers: BTreeMap<usize, (u64, Change)>,
}

impl Book {
    /// The line for a node of what changed after a version, and who is in it.
    fn line(&self, node: usize, after: u64, whole: bool) -> (String, Vec<(usize, ListedHealth)>) {
        let changed = self.servers.values().filter(|(version, _)| whole || *version > after);
        let (mut hosts, mut told) = (Vec::new(), Vec::new());
        for (_, change) in changed {
            let Some(dial) = change.dials.get(node) else { continue };
            let health = match change.listed {
                ListedHealth::Active => "active",
                ListedHealth::Draining => "leaving",
            };
            hosts.push(format!(
                r#"{{"host":"s{}","dial":"{dial}","site":"a","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":{}}}"#,
                change.server, change.born_ms
            ));
            told.push((change.server, change.listed));
        }
        (format!(r#"{{"seq":{},"whole":{whole},"hosts":[{}]}}"#, self.version, hosts.join(",")), told)
    }
}

/// Plays discovery for so many nodes, each with an address of its own, until standard input ends.
///
/// # Errors
/// A listener that can't be opened.
pub async fn discover(nodes: usize) -> io::Result<()> {
    let (changes, _) = watch::channel(0u64);
    let book = Rc::new(RefCell::new(Book::default()));
    let mut listens = Vec::new();
    for node in 0..nodes {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        listens.push(listener.local_addr()?);
        let (book, changes) = (book.clone(), changes.subscribe());
        spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    spawn_local(follow(stream, node, book.clone(), changes.clone()));
                }
            }
        });
    }
    hello(listens);
    let mut came = lines::<Change>();
    while let Some(change) = came.recv().await {
        let version = {
            let mut book = book.borrow_mut();
            book.version += 1;
            let version = book.version;
            book.servers.insert(change.server, (version, change));
            version
        };
        changes.send_replace(version);
    }
    Ok(())
}

/// One watch, or one list.
async fn follow(
    mut stream: TcpStream,
    node: usize,
    book: Rc<RefCell<Book>>,
    mut changes: watch::Receiver<u64>,
) -> Option<()> {
    let head = head(&mut stream).await?;
    let path = head.split(' ').nth(1)?;
    let after = path.split_once("after=").and_then(|(_, after)| after.parse().ok()).unwrap_or(0);
    if !path.contains("watch=1") {
        let (line, told) = book.borrow().line(node, 0, true);
        let answer =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{line}", line.len());
        stream.write_all(answer.as_bytes()).await.ok()?;
        say(node, told);
        return Some(());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.ok()?;
    let mut known = after;
    let mut first = true;
    loop {
        let version = *changes.borrow_and_update();
        if first || version > known {
            let (line, told) = book.borrow().line(node, known, first && (known == 0 || known > version));
            stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await.ok()?;
            say(node, told);
            (known, first) = (version, false);
        }
        match timeout(HEARTBEAT, changes.changed()).await {
            Ok(changed) => changed.ok()?,
            Err(_) => stream.write_all(b"1\r\n\n\r\n").await.ok()?,
        }
    }
}

fn say(node: usize, told: Vec<(usize, ListedHealth)>) {
    told.into_iter().for_each(|(server, listed)| tell(EventKind::DiscoveryUpdate { node, server, listed }));
}
