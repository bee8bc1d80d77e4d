//! What staff can ask of a running node: the calls, the figures, and the book of servers taken out by hand.
//!
//! Free of I/O and of clocks: lines and texts come in and go out, times are handed over in Unix milliseconds of one
//! machine. Sockets and the file of the book are the node's (`platform/admin`).

pub mod book;
pub mod call;
pub mod figures;
