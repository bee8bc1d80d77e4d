//! A listener whose connections are not established until the test allows it.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use socket2::{Domain, Socket, Type};

use crate::scripted::{Message, answer};

/// More connections than the accept queue of a listener with backlog 0 holds.
const FILLER_CONNECTIONS: usize = 4;

/// A listener with a full accept queue: the kernel drops the SYN of each further connection until
/// [`Self::accept_connections`].
pub struct SlowConnectListener {
    /// The listening socket.
    pub listener: TcpListener,
    fillers: Vec<Socket>,
}

impl SlowConnectListener {
    /// Starts a listener on a free port of loopback and fills its accept queue.
    ///
    /// # Panics
    /// Where the system has no socket.
    #[must_use]
    pub fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap().into();
        let filler = |_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address);
            socket
        };
        Self { listener, fillers: (0..FILLER_CONNECTIONS).map(filler).collect() }
    }

    /// Starts to accept connections and to answer their requests with 200. Returns the list of requests, which grows as they
    /// are received.
    ///
    /// # Panics
    /// Where the listener can't be set up.
    #[must_use]
    pub fn accept_connections(self) -> Arc<Mutex<Vec<Message>>> {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let received = seen.clone();
        drop(self.fillers);
        let listener = self.listener;
        listener.set_nonblocking(false).unwrap();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, received) = (stream.unwrap(), received.clone());
                thread::spawn(move || serve_connection(stream, &received));
            }
        });
        seen
    }
}

fn serve_connection(mut stream: TcpStream, received: &Mutex<Vec<Message>>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = Message::read(&mut input) {
        received.lock().unwrap().push(message);
        if stream.write_all(answer("200 OK", "", "done").as_bytes()).is_err() {
            return;
        }
    }
}
