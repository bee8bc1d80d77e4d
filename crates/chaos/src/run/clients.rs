//! Clients: each node's come as of many that know nothing of each other, wait for their time and note what they saw.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::{Notes, rng};
use crate::faults::factor;
use crate::history::{ClientOutcome, EventKind, RequestClass};
use crate::scenario::Scenario;
use crate::stand::ID;

/// Clients wait this much longer than they say, so that a late answer is told from none.
const MARGIN: Duration = Duration::from_secs(2);
/// Kept connections that have been idle for longer are closed by the client: well under what nodes allow.
const IDLE: Duration = Duration::from_secs(5);

/// A request that is due.
struct Due {
    at: Duration,
    id: u64,
    class: RequestClass,
}

/// The requests of a node's clients, drawn ahead: the same for a seed whatever the nodes do.
fn draw(scenario: &Scenario, node: usize) -> Vec<Due> {
    let mut rng = rng(scenario, node as u64);
    let (mut at, mut all) = (0.0, Vec::new());
    loop {
        // A burst of nothing is a pause; it is stepped through.
        let rate = scenario.load.rate * factor(scenario, at);
        let gap = if rate > 0.0 { -(1.0 - rng.random::<f64>()).ln() / rate } else { 0.1 };
        at += gap;
        if at >= scenario.span_s() {
            return all;
        }
        if rate > 0.0 {
            let class = if rng.random::<f64>() < scenario.load.submits {
                RequestClass::Submit
            } else {
                RequestClass::Read
            };
            let id = ((node as u64) << 32) | all.len() as u64;
            all.push(Due { at: Duration::from_secs_f64(at), id, class });
        }
    }
}

type Idle = Rc<RefCell<Vec<(Instant, SendRequest<Full<Bytes>>)>>>;

/// Starts the clients of all nodes.
pub(crate) fn start(scenario: &Scenario, doors: &[SocketAddr], start: Instant, notes: &Notes) -> JoinSet<()> {
    let mut all = JoinSet::new();
    let patience = Duration::from_millis(scenario.load.patience_ms);
    for (node, &door) in doors.iter().enumerate() {
        let (todo, notes) = (draw(scenario, node), notes.clone());
        all.spawn_local(async move {
            let idle = Idle::default();
            let mut open = JoinSet::new();
            for due in todo {
                sleep_until(start + due.at).await;
                let (idle, notes) = (idle.clone(), notes.clone());
                open.spawn_local(async move {
                    let patience_ms = patience.as_millis() as u64;
                    notes.note(EventKind::RequestStarted { id: due.id, class: due.class, node, patience_ms });
                    let gives_up = Instant::now() + patience + MARGIN;
                    let end =
                        timeout_at(gives_up, ask(&idle, door, &due)).await.unwrap_or(ClientOutcome::TimedOut);
                    notes.note(EventKind::RequestEnded { id: due.id, end });
                });
                while open.try_join_next().is_some() {}
            }
            while open.join_next().await.is_some() {}
        });
    }
    all
}

async fn ask(idle: &Idle, door: SocketAddr, due: &Due) -> ClientOutcome {
    // A kept connection may be closed as a request is written to it; the node has not read it then, and it is sent once more.
    loop {
        let kept = idle.borrow_mut().pop();
        let reused = kept.is_some();
        let mut sender = match kept {
            Some((since, _)) if since.elapsed() > IDLE => continue,
            Some((_, sender)) => sender,
            None => match connect(door).await {
                Some(sender) => sender,
                None => return ClientOutcome::ConnectFailed,
            },
        };
        if sender.ready().await.is_err() {
            if reused {
                continue;
            }
            return ClientOutcome::ConnectFailed;
        }
        let answer = match sender.send_request(request(due)).await {
            Ok(answer) => answer,
            Err(error) if reused && error.is_canceled() => continue,
            Err(_) => return ClientOutcome::ConnectionBroken,
        };
        let status = answer.status().as_u16();
        let keep = answer.headers().get("connection").is_none_or(|value| value != "close");
        let Ok(body) = answer.into_body().collect().await else { return ClientOutcome::ConnectionBroken };
        if keep {
            idle.borrow_mut().push((Instant::now(), sender));
        }
        let own = body.to_bytes().as_ref() == format!("{:x}\n", due.id).as_bytes();
        return ClientOutcome::Answered { status, matches_request: own || status != 200 };
    }
}

async fn connect(door: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(door).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        let _ = connection.await;
    });
    Some(sender)
}

fn request(due: &Due) -> Request<Full<Bytes>> {
    let (method, path, body) = match due.class {
        RequestClass::Read => ("GET", "boards", Bytes::new()),
        RequestClass::Submit => ("POST", "runs", Bytes::from_static(b"0:01:02.345")),
    };
    Request::builder()
        .method(method)
        .uri(format!("/{path}/{:x}", due.id))
        .header("host", "storm.test")
        .header(ID, format!("{:x}", due.id))
        .body(Full::new(body))
        .unwrap_or_default()
}
