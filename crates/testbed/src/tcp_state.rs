//! States of TCP connections as the kernel has them.
//!
//! They are looked up over `sock_diag`, one connection at a time. `/proc/net/tcp` lists all sockets of the machine: with
//! tens of thousands of them, reading it for each of some hundred clients takes longer than their requests may.

use std::io::{ErrorKind, Read};
use std::net::SocketAddrV4;

use socket2::{Domain, Protocol, Socket, Type};

/// `AF_NETLINK` and `NETLINK_SOCK_DIAG`.
const NETLINK: (i32, i32) = (16, 4);
/// Message type of a request and its answer, `SOCK_DIAG_BY_FAMILY`.
const BY_FAMILY: u16 = 20;
/// Message type of an error, `NLMSG_ERROR`.
const ERROR: u16 = 2;
/// Message flag `NLM_F_REQUEST`.
const REQUEST: u16 = 1;
/// Bytes of a message header, `nlmsghdr`.
const HEADER: usize = 16;
/// Bytes of a request with its header, `inet_diag_req_v2`.
const REQUEST_LENGTH: u32 = 72;
/// `ESTABLISHED`, and the two states of an end that the last packet of the handshake has not reached, `SYN_RECV` and
/// `NEW_SYN_RECV`.
const OPEN: [u8; 3] = [1, 3, 12];

/// Returns whether the end of a connection that has these addresses, its own first, knows of no FIN or RST, sent or
/// received.
///
/// # Panics
/// Where the kernel can't be asked.
pub(crate) fn is_open(local: SocketAddrV4, remote: SocketAddrV4) -> bool {
    state_of(local, remote).is_some_and(|state| OPEN.contains(&state))
}

/// Returns the state of an end, that of the listener at its address where only that is left, or `None` where neither is.
fn state_of(local: SocketAddrV4, remote: SocketAddrV4) -> Option<u8> {
    let (domain, protocol) = (Domain::from(NETLINK.0), Protocol::from(NETLINK.1));
    let mut socket =
        Socket::new(domain, Type::DGRAM, Some(protocol)).expect("the kernel has netlink sockets");
    socket.send(&lookup_request(local, remote)).expect("the kernel takes the request");
    let mut answer = [0; 4096];
    let length = socket.read(&mut answer).expect("the kernel answers");
    let answer = &answer[..length];
    match u16::from_ne_bytes([answer[4], answer[5]]) {
        BY_FAMILY => Some(answer[HEADER + 1]),
        ERROR => {
            let code = i32::from_ne_bytes(answer[HEADER..HEADER + 4].try_into().expect("four bytes"));
            let error = std::io::Error::from_raw_os_error(-code);
            assert_eq!(
                error.kind(),
                ErrorKind::NotFound,
                "state of the connection {local} to {remote}: {error}"
            );
            None
        }
        other => panic!("state of the connection {local} to {remote}: unknown message type {other}"),
    }
}

/// A request for the state of one end.
fn lookup_request(local: SocketAddrV4, remote: SocketAddrV4) -> Vec<u8> {
    let mut request = Vec::with_capacity(REQUEST_LENGTH as usize);
    request.extend(REQUEST_LENGTH.to_ne_bytes());
    request.extend(BY_FAMILY.to_ne_bytes());
    request.extend(REQUEST.to_ne_bytes());
    // Sequence number and sender: not used.
    request.extend([0; 8]);
    // `AF_INET`, `IPPROTO_TCP`, no extensions, padding.
    request.extend([2, 6, 0, 0]);
    // All states.
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(local.port().to_be_bytes());
    request.extend(remote.port().to_be_bytes());
    for end in [local, remote] {
        request.extend(end.ip().octets());
        // The rest of an IPv6 address.
        request.extend([0; 12]);
    }
    // Any interface and any cookie.
    request.extend(0_u32.to_ne_bytes());
    request.extend([u8::MAX; 8]);
    request
}
