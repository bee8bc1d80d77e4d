//! A server whose connections come up late.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use socket2::{Domain, Socket, Type};

use crate::scripted::{Message, answer};

/// A listener whose connections don't come up until it is let go: its queue is full.
pub struct Late {
    /// Where it is.
    pub listener: TcpListener,
    fillers: Vec<Socket>,
}

impl Late {
    /// One whose queue is full.
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
        Self { listener, fillers: (0..4).map(filler).collect() }
    }

    /// Lets connections come up: what each one brings, by its request, as it comes.
    ///
    /// # Panics
    /// Where the system takes the listener away.
    #[must_use]
    pub fn let_go(self) -> Arc<Mutex<Vec<Message>>> {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let to = seen.clone();
        drop(self.fillers);
        let listener = self.listener;
        listener.set_nonblocking(false).unwrap();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, to) = (stream.unwrap(), to.clone());
                thread::spawn(move || {
                    let mut input = BufReader::new(stream.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut input) {
                        to.lock().unwrap().push(message);
                        if stream.write_all(answer("200 OK", "", "done").as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        seen
    }
}
