//! Clients of the platform's that leave before they have an answer, by every way that a socket has.

use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use socket2::SockRef;

use crate::scripted::{Backend, Client, Message, Node, request};

/// Bytes of [`Departure::InALongBody`] that are written: more than a node reads before it admits the request, and less than
/// the body has.
const LONG_BODY_WRITTEN: usize = 100_000;
/// Length that the head of such a request states.
const LONG_BODY: usize = 200_000;

/// A way for a client to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It closes.
    Fin,
    /// It resets the connection.
    Reset,
    /// It says that it will send no more, and keeps the socket.
    HalfClose,
    /// It closes with further requests behind the first.
    Pipelined,
    /// It closes with more behind the first than the library or the kernel's buffer of one read takes.
    MuchAtOnce,
    /// It closes in the middle of a short body.
    InTheBody,
    /// It closes in the middle of a body that the node passes on as it comes.
    InALongBody,
}

impl Departure {
    /// Each of them.
    pub const ALL: [Self; 7] = [
        Self::Fin,
        Self::Reset,
        Self::HalfClose,
        Self::Pipelined,
        Self::MuchAtOnce,
        Self::InTheBody,
        Self::InALongBody,
    ];

    /// Those whose request is whole when they leave.
    pub const WHOLE: [Self; 5] = [Self::Fin, Self::Reset, Self::HalfClose, Self::Pipelined, Self::MuchAtOnce];

    /// Has a client ask and be ready to leave.
    #[must_use]
    pub fn ask(self, node: SocketAddr, class: &str) -> Leaver {
        let (mut client, first) = (Client::connect(node), request(class, body_of(class)));
        let mut ids = vec![id_of(&first)];
        match self {
            Self::InTheBody => client.write(&first.replace("Content-Length: 1", "Content-Length: 9")),
            Self::InALongBody => {
                let stated = first.replace("Content-Length: 1", &format!("Content-Length: {LONG_BODY}"));
                client.write(&(stated + &"x".repeat(LONG_BODY_WRITTEN)));
            }
            Self::Pipelined | Self::MuchAtOnce => {
                let behind = if self == Self::Pipelined { 3 } else { 400 };
                let more: Vec<_> = (0..behind).map(|_| request(class, body_of(class))).collect();
                ids.extend(more.iter().map(|text| id_of(text)));
                client.write(&(first + &more.concat()));
            }
            Self::Fin | Self::Reset | Self::HalfClose => client.write(&first),
        }
        Leaver { departure: self, client, ids }
    }
}

/// A body for a request of a class; safe requests have none.
#[must_use]
pub fn body_of(class: &str) -> &'static str {
    if class == "read" { "" } else { "x" }
}

/// A client that has asked and is to leave.
pub struct Leaver {
    /// How it leaves.
    pub departure: Departure,
    client: Client,
    /// What it has asked, the first one first.
    pub ids: Vec<String>,
}

/// A client that has left.
pub struct Departed {
    /// How it left.
    pub departure: Departure,
    /// What it had asked, the first one first.
    pub ids: Vec<String>,
    /// One that is half closed keeps its socket.
    _open: Option<Client>,
}

impl Leaver {
    /// Leaves.
    ///
    /// # Panics
    /// Where the socket can't be set up for it.
    #[must_use]
    pub fn leave(self) -> Departed {
        let Self { departure, client, ids } = self;
        let open = match departure {
            Departure::Reset => {
                SockRef::from(client.stream()).set_linger(Some(Duration::ZERO)).expect("a socket");
                None
            }
            Departure::HalfClose => {
                client.stream().shutdown(Shutdown::Write).expect("a socket");
                Some(client)
            }
            _ => None,
        };
        Departed { departure, ids, _open: open }
    }
}

/// The id of a request's text.
///
/// # Panics
/// Where it has none.
#[must_use]
pub fn id_of(text: &str) -> String {
    let line = text.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: "));
    line.expect("an id").to_owned()
}

/// The ids of requests as a server got them.
#[must_use]
pub fn ids_of(seen: &[Message]) -> Vec<String> {
    seen.iter().filter_map(|message| message.header("x-correlation-id").map(str::to_owned)).collect()
}

/// The ids of what has come to a backend.
///
/// # Panics
/// Where its script has panicked.
#[must_use]
pub fn ids_at(backend: &Backend) -> Vec<String> {
    ids_of(&backend.seen.lock().expect("what it has seen"))
}

/// Returns once the node has worked off what had reached its sockets before this call: a connection that is made now is
/// accepted behind it, and answered behind that. Whatever the pace of the machine, an attempt that begins after this
/// begins after the node could know of each client that had left before.
///
/// # Panics
/// Where the node does not answer.
pub fn await_turn(node: &Node) {
    for _ in 0..2 {
        assert_eq!(node.ask("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    }
}
