//! Clients of the platform's protocol that disconnect before they receive a response.

use std::net::{Shutdown, SocketAddr, SocketAddrV4};
use std::time::Duration;

use socket2::SockRef;

use crate::program::wait_for;
use crate::scripted::{Backend, Client, Message, Node, request};
use crate::tcp_state::is_open;

/// Bytes written of [`Disconnect::MidLongBody`]: more than a node reads before it admits the request, and less than the
/// body has.
const LONG_BODY_WRITTEN: usize = 100_000;
/// `Content-Length` of [`Disconnect::MidLongBody`], in bytes.
const LONG_BODY: usize = 200_000;
/// Requests pipelined after the first with [`Disconnect::Pipelined`].
const PIPELINED: usize = 3;
/// Requests pipelined after the first with [`Disconnect::PipelinedBurst`].
const PIPELINED_BURST: usize = 400;

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// It closes the connection.
    Fin,
    /// It resets the connection.
    Reset,
    /// It shuts down its sending side and keeps the socket open.
    HalfClose,
    /// It closes the connection with some further requests pipelined after the first.
    Pipelined,
    /// It closes the connection with more requests pipelined after the first than the read buffers of the HTTP library and of
    /// the kernel hold.
    PipelinedBurst,
    /// It closes the connection in the middle of a short body.
    MidBody,
    /// It closes the connection in the middle of a body that the node streams.
    MidLongBody,
}

impl Disconnect {
    /// All kinds of disconnect.
    pub const ALL: [Self; 7] = [
        Self::Fin,
        Self::Reset,
        Self::HalfClose,
        Self::Pipelined,
        Self::PipelinedBurst,
        Self::MidBody,
        Self::MidLongBody,
    ];

    /// The kinds whose first request is complete at the time of the disconnect.
    pub const WITH_COMPLETE_REQUEST: [Self; 5] =
        [Self::Fin, Self::Reset, Self::HalfClose, Self::Pipelined, Self::PipelinedBurst];

    /// Opens a connection and sends requests of a class on it, to be followed by [`DisconnectingClient::disconnect`].
    #[must_use]
    pub fn send_requests(self, node: SocketAddr, class: &str) -> DisconnectingClient {
        let (mut client, first) = (Client::connect(node), request(class, body_of(class)));
        let own_end = ipv4(client.stream().local_addr().expect("a connected socket has an address"));
        let mut ids = vec![id_of(&first)];
        match self {
            Self::MidBody => client.write(&first.replace("Content-Length: 1", "Content-Length: 9")),
            Self::MidLongBody => {
                let head = first.replace("Content-Length: 1", &format!("Content-Length: {LONG_BODY}"));
                client.write(&(head + &"x".repeat(LONG_BODY_WRITTEN)));
            }
            Self::Pipelined | Self::PipelinedBurst => {
                let behind = if self == Self::Pipelined { PIPELINED } else { PIPELINED_BURST };
                let more: Vec<_> = (0..behind).map(|_| request(class, body_of(class))).collect();
                ids.extend(more.iter().map(|text| id_of(text)));
                client.write(&(first + &more.concat()));
            }
            Self::Fin | Self::Reset | Self::HalfClose => client.write(&first),
        }
        DisconnectingClient { disconnect: self, client, own_end, node_end: ipv4(node), ids }
    }

    /// Whether the node may not receive the disconnect before it reads on: its receive buffer is full, and the FIN waits
    /// at the client behind input that does not fit. The node may be waiting for an earlier request meanwhile, and its end
    /// of the connection stays established until that has ended.
    fn may_wait_behind_unread_input(self) -> bool {
        self == Self::PipelinedBurst
    }
}

/// The body for a request of a class; idempotent requests have none.
#[must_use]
pub fn body_of(class: &str) -> &'static str {
    if class == "read" { "" } else { "x" }
}

/// A client that has sent its requests and has not disconnected yet.
pub struct DisconnectingClient {
    /// How it disconnects.
    pub disconnect: Disconnect,
    client: Client,
    own_end: SocketAddrV4,
    node_end: SocketAddrV4,
    /// Ids of its requests, in order.
    pub ids: Vec<String>,
}

/// A client that has disconnected.
pub struct DisconnectedClient {
    /// How it disconnected.
    pub disconnect: Disconnect,
    /// Ids of its requests, in order.
    pub ids: Vec<String>,
    /// Keeps the socket of a half-closed connection open.
    _open: Option<Client>,
}

impl DisconnectingClient {
    /// Disconnects. Returns once the node's end of the connection has received it, other than for
    /// [`Disconnect::PipelinedBurst`].
    ///
    /// Closing a socket does not suffice: while another thread of the test starts a program, the child has copies of all
    /// descriptors until it executes the program. The kernel sends FIN or RST when the last copy is closed, hundreds of
    /// milliseconds later on a busy machine. (It half-closes a connection at once, copies or not.)
    ///
    /// # Panics
    /// If the socket operation fails, or an end of the connection stays open for [`LIMIT`](crate::program::LIMIT).
    #[must_use]
    pub fn disconnect(self) -> DisconnectedClient {
        let Self { disconnect, client, own_end, node_end, ids } = self;
        let open = match disconnect {
            Disconnect::Reset => {
                SockRef::from(client.stream())
                    .set_linger(Some(Duration::ZERO))
                    .expect("SO_LINGER could not be set");
                drop(client);
                None
            }
            Disconnect::HalfClose => {
                client.stream().shutdown(Shutdown::Write).expect("sending side could not be shut down");
                Some(client)
            }
            _ => {
                drop(client);
                None
            }
        };
        wait_for(&format!("the client's end, {disconnect:?}"), || !is_open(own_end, node_end));
        if !disconnect.may_wait_behind_unread_input() {
            wait_for(&format!("the node's end, {disconnect:?}"), || !is_open(node_end, own_end));
        }
        DisconnectedClient { disconnect, ids, _open: open }
    }
}

fn ipv4(address: SocketAddr) -> SocketAddrV4 {
    let SocketAddr::V4(address) = address else { panic!("{address} is not an IPv4 address") };
    address
}

/// Returns the id in a request's text.
///
/// # Panics
/// Where it has none.
#[must_use]
pub fn id_of(text: &str) -> String {
    let line = text.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: "));
    line.expect("no X-Correlation-Id in the request").to_owned()
}

/// Returns the ids of requests as a backend received them.
#[must_use]
pub fn ids_of(seen: &[Message]) -> Vec<String> {
    seen.iter().filter_map(|message| message.header("x-correlation-id").map(str::to_owned)).collect()
}

/// Returns the ids of the requests that a backend has received.
///
/// # Panics
/// Where its script has panicked.
#[must_use]
pub fn ids_at(backend: &Backend) -> Vec<String> {
    ids_of(&backend.seen.lock().expect("the backend's script panicked"))
}

/// Returns once the node has processed what its sockets had received before this call.
///
/// A connection opened now is accepted after the events that were pending, and answered after those are processed. An attempt
/// that starts later therefore starts when the node could know of each client that disconnected before this call.
///
/// # Panics
/// Where the node does not answer.
pub fn wait_until_input_processed(node: &Node) {
    for _ in 0..2 {
        assert_eq!(node.ask("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    }
}
