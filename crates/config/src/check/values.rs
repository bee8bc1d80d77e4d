//! Parsers of values with bounds, addresses, header names and whole numbers.

use std::net::SocketAddr;

use crate::model::Address;
use crate::units::{ValueError, parse_integer};

/// Longest path of a Unix domain socket, in bytes: the limit of Linux without the terminating NUL.
const MAX_SOCKET_PATH_BYTES: usize = 107;

/// Returns a parser that also checks bounds. `min` and `max` are in the notation of values, as messages show
/// them.
pub(super) fn within<T: PartialOrd>(
    parse: impl Fn(&str) -> Result<T, ValueError>,
    min: &str,
    max: &str,
) -> impl Fn(&str) -> Result<T, ValueError> {
    let bounds = (parse(min), parse(max));
    let (min, max) = (min.to_owned(), max.to_owned());
    move |text| {
        let value = parse(text)?;
        let below = bounds.0.as_ref().is_ok_and(|min| value < *min);
        let above = bounds.1.as_ref().is_ok_and(|max| value > *max);
        let message = match (below, above) {
            (true, _) => format!("`{text}` is less than the minimum, `{min}`"),
            (_, true) => format!("`{text}` is more than the maximum, `{max}`"),
            _ => return Ok(value),
        };
        Err(ValueError { code: "out-of-range", message, help: None })
    }
}

/// Parses a TCP address such as `127.0.0.1:8080`.
pub(super) fn socket_address(text: &str) -> Result<SocketAddr, ValueError> {
    let error =
        |message: String, help: &str| ValueError { code: "bad-address", message, help: Some(help.into()) };
    let address: SocketAddr = text.parse().map_err(|_| {
        let help = "write an IP address and a port, such as `127.0.0.1:8080` or `[::1]:8080`; host names are not resolved";
        error(format!("`{text}` is not an address"), help)
    })?;
    if address.port() == 0 {
        return Err(error(format!("`{text}` has no port"), "ports are 1 to 65535"));
    }
    Ok(address)
}

/// Parses the address of an endpoint: a TCP address, or a Unix domain socket such as `unix:/run/board.sock`.
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

/// Parses the name of a header and converts it to lower case.
pub(super) fn header_name(text: &str) -> Result<String, ValueError> {
    let name = http::HeaderName::from_bytes(text.as_bytes()).map_err(|_| ValueError {
        code: "bad-header",
        message: format!("`{text}` is not a valid header name"),
        help: None,
    })?;
    Ok(name.as_str().to_owned())
}

/// Parses a whole number that must fit its type.
pub(super) fn integer<T: TryFrom<u64>>(text: &str) -> Result<T, ValueError> {
    let value = parse_integer(text)?;
    let message = format!("`{text}` is too large");
    T::try_from(value).map_err(|_| ValueError { code: "too-large", message, help: None })
}
