//! Parsers of values: bounds, addresses, names of headers, whole numbers.

use std::net::SocketAddr;

use crate::model::Address;
use crate::units::{ValueError, parse_integer};

/// Longest path of a Unix domain socket, in bytes: the limit of Linux without the terminating zero.
const MAX_SOCKET_PATH_BYTES: usize = 107;

/// A parser that also checks bounds. `least` and `most` are written as values are, and messages show them so.
pub(super) fn within<T: PartialOrd>(
    parse: impl Fn(&str) -> Result<T, ValueError>,
    least: &str,
    most: &str,
) -> impl Fn(&str) -> Result<T, ValueError> {
    let bounds = (parse(least), parse(most));
    let (least, most) = (least.to_owned(), most.to_owned());
    move |text| {
        let value = parse(text)?;
        let below = bounds.0.as_ref().is_ok_and(|least| value < *least);
        let above = bounds.1.as_ref().is_ok_and(|most| value > *most);
        let message = match (below, above) {
            (true, _) => format!("`{text}` is less than the least, `{least}`"),
            (_, true) => format!("`{text}` is more than the most, `{most}`"),
            _ => return Ok(value),
        };
        Err(ValueError { code: "out-of-range", message, help: None })
    }
}

/// A TCP address such as `127.0.0.1:8080`.
pub(super) fn socket_address(text: &str) -> Result<SocketAddr, ValueError> {
    let error =
        |message: String, help: &str| ValueError { code: "bad-address", message, help: Some(help.into()) };
    let address: SocketAddr = text.parse().map_err(|_| {
        let help = "write an IP address and a port, such as `127.0.0.1:8080` or `[::1]:8080`; names are not looked up";
        error(format!("`{text}` is no address"), help)
    })?;
    if address.port() == 0 {
        return Err(error(format!("`{text}` has no port"), "ports are 1 to 65535"));
    }
    Ok(address)
}

/// The address of an endpoint: a TCP address, or a Unix domain socket such as `unix:/run/board.sock`.
pub(super) fn endpoint_address(text: &str) -> Result<Address, ValueError> {
    let Some(path) = text.strip_prefix("unix:") else { return socket_address(text).map(Address::Tcp) };
    let message = match path {
        path if !path.starts_with('/') => format!("the path in `{text}` does not begin with `/`"),
        path if path.len() > MAX_SOCKET_PATH_BYTES => {
            format!("`{text}` is too long: a socket's path has at most {MAX_SOCKET_PATH_BYTES} bytes")
        }
        path => return Ok(Address::Unix(path.into())),
    };
    Err(ValueError { code: "bad-address", message, help: None })
}

/// The name of a header, in lower case.
pub(super) fn header_name(text: &str) -> Result<String, ValueError> {
    let name = http::HeaderName::from_bytes(text.as_bytes()).map_err(|_| ValueError {
        code: "bad-header",
        message: format!("`{text}` is no name of a header field"),
        help: None,
    })?;
    Ok(name.as_str().to_owned())
}

/// A whole number that fits its type.
pub(super) fn integer<T: TryFrom<u64>>(text: &str) -> Result<T, ValueError> {
    let value = parse_integer(text)?;
    let message = format!("`{text}` is too large");
    T::try_from(value).map_err(|_| ValueError { code: "too-large", message, help: None })
}
