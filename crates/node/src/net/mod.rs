//! Sockets in, sockets out. Decides nothing; every decision is the module's.
//!
//! Two seams let a protocol in without a change to the loop. *Where requests come from*: a front reads them, asks
//! its [`admission::Admission`] what they are, and hands an [`ask::Poll`] to a loop by its [`ask::Handle`]. *How an
//! attempt travels*: the loop sends by [`transport::Transport`], whatever servers speak.

pub mod admission;
pub mod answer;
pub mod ask;
pub mod body;
pub mod clock;
pub mod connections;
pub mod core;
pub mod discovery;
mod documents;
pub mod fastcgi;
pub mod fields;
pub mod front;
pub mod handle;
pub mod hands;
pub mod http;
pub mod link;
mod message;
mod open;
pub mod room;
pub mod roster;
pub mod tap;
pub mod transport;
pub mod upload;
pub mod verdict;
mod watch;
