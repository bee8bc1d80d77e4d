//! Parsers and formatters of durations, sizes, shares, rates and numbers. Durations and sizes always need a
//! unit.

use pumicehead_policy::Nanos;
use thiserror::Error;

use crate::diagnostic::nearest;

/// Units of duration, in nanoseconds.
pub const DURATION_UNITS: [(&str, u128); 6] = [
    ("us", 1_000),
    ("ms", 1_000_000),
    ("s", 1_000_000_000),
    ("min", 60_000_000_000),
    ("h", 3_600_000_000_000),
    ("d", 86_400_000_000_000),
];
/// Units of size, in bytes.
pub const SIZE_UNITS: [(&str, u128); 7] = [
    ("B", 1),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];
/// Maximum number of digits after a decimal point.
const MAX_DECIMALS: usize = 9;

/// Why a value can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct ValueError {
    /// Identifies the kind of mistake; stable between versions.
    pub code: &'static str,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub help: Option<String>,
}

fn value_error(code: &'static str, message: String, help: Option<String>) -> ValueError {
    ValueError { code, message, help }
}

/// An exact decimal number: `digits` / 10^`decimals`.
struct Decimal {
    digits: u128,
    decimals: u32,
}

/// Splits a value into its number, the text of the number, and the unit. `what` describes the expected value.
fn split_number<'a>(text: &'a str, what: &str) -> Result<(Decimal, &'a str, &'a str), ValueError> {
    if text.starts_with('-') {
        return Err(value_error("below-zero", format!("`{text}` is below 0"), None));
    }
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let (whole, part) = number.split_once('.').unwrap_or((number, ""));
    if whole.is_empty() || part.contains('.') || number.ends_with('.') {
        return Err(value_error("not-a-number", format!("`{text}` is not {what}"), None));
    }
    if part.len() > MAX_DECIMALS {
        let message = format!("`{text}` has more than {MAX_DECIMALS} digits after the decimal point");
        return Err(value_error("not-a-number", message, None));
    }
    let digits = format!("{whole}{part}").parse();
    let digits = digits.map_err(|_| value_error("too-large", format!("`{text}` is too large"), None))?;
    Ok((Decimal { digits, decimals: part.len() as u32 }, number, unit))
}

/// Multiplies a number by its unit, without rounding.
fn scale(text: &str, number: &Decimal, unit: u128) -> Result<u64, ValueError> {
    let too_large = || value_error("too-large", format!("`{text}` is too large"), None);
    let scaled = number.digits.checked_mul(unit).ok_or_else(too_large)?;
    let whole = 10u128.pow(number.decimals);
    if scaled % whole != 0 {
        return Err(value_error(
            "too-fine",
            format!("`{text}` is more precise than the smallest unit"),
            None,
        ));
    }
    u64::try_from(scaled / whole).map_err(|_| too_large())
}

/// The size of a unit; `None` if it is unknown.
fn unit_size(units: &[(&str, u128)], unit: &str) -> Option<u128> {
    units.iter().find(|(name, _)| *name == unit).map(|(_, size)| *size)
}

fn unit_names(units: &[(&'static str, u128)]) -> String {
    let names: Vec<_> = units.iter().map(|(name, _)| format!("`{name}`")).collect();
    names.join(", ")
}

/// Parses a duration such as `600ms` to nanoseconds.
///
/// # Errors
/// No number, a missing, ambiguous or unknown unit, or more nanoseconds than 64 bits hold.
pub fn parse_duration(text: &str) -> Result<Nanos, ValueError> {
    let (decimal, number, unit) = split_number(text, "a time, such as `600ms`")?;
    if let Some(unit) = unit_size(&DURATION_UNITS, unit) {
        return scale(text, &decimal, unit);
    }
    Err(match unit {
        "" => value_error(
            "unit-missing",
            format!("the time `{text}` has no unit"),
            Some(format!("write `{number}ms` or `{number}s`")),
        ),
        "m" => value_error(
            "unit-ambiguous",
            format!("`m` in `{text}` may mean milliseconds or minutes"),
            Some(format!("write `{number}ms` or `{number}min`")),
        ),
        _ if unit_size(&SIZE_UNITS, unit).is_some() => {
            value_error("unit-of-size", format!("`{text}` is a size; expected a time, such as `600ms`"), None)
        }
        _ => unknown_unit(text, number, unit, &DURATION_UNITS, "time"),
    })
}

/// Parses a size such as `64KiB` to bytes.
///
/// # Errors
/// No number, a missing, ambiguous or unknown unit, or more bytes than 64 bits hold.
pub fn parse_size(text: &str) -> Result<u64, ValueError> {
    let (decimal, number, unit) = split_number(text, "a size, such as `64KiB`")?;
    if let Some(unit) = unit_size(&SIZE_UNITS, unit) {
        return scale(text, &decimal, unit);
    }
    Err(match unit {
        "" => value_error(
            "unit-missing",
            format!("the size `{text}` has no unit"),
            Some(format!("write `{number}B`, `{number}KiB` or `{number}MiB`")),
        ),
        "K" | "k" | "M" | "G" | "Ki" | "Mi" | "Gi" => {
            let letter = unit[..1].to_uppercase();
            value_error(
                "unit-ambiguous",
                format!("`{unit}` in `{text}` may mean multiples of 1,000 or of 1,024"),
                Some(format!("write `{number}{letter}B` for 1,000 or `{number}{letter}iB` for 1,024")),
            )
        }
        _ if unit_size(&DURATION_UNITS, unit).is_some() => {
            value_error("unit-of-time", format!("`{text}` is a time; expected a size, such as `64KiB`"), None)
        }
        _ => unknown_unit(text, number, unit, &SIZE_UNITS, "size"),
    })
}

/// The error for an unknown unit, with a suggestion.
fn unknown_unit(
    text: &str,
    number: &str,
    unit: &str,
    units: &[(&'static str, u128)],
    what: &str,
) -> ValueError {
    let known = nearest(unit, units.iter().map(|(name, _)| *name));
    let spelled_out =
        [("seconds", "s"), ("second", "s"), ("sec", "s"), ("minutes", "min"), ("minute", "min")];
    let spelled_out = spelled_out.iter().find(|(long, _)| *long == unit).map(|(_, short)| *short);
    let help = match spelled_out.or(known) {
        Some(known) => format!("write `{number}{known}`"),
        None => format!("units of {what} are {}", unit_names(units)),
    };
    value_error("unit-unknown", format!("`{unit}` in `{text}` is not a unit of {what}"), Some(help))
}

/// Parses a share such as `30%` to a fraction from 0 to 1.
///
/// # Errors
/// No number, no `%`, or more than 100%.
pub fn parse_share(text: &str) -> Result<f64, ValueError> {
    let (decimal, number, unit) = split_number(text, "a share, such as `30%`")?;
    let value = to_float(&decimal);
    match unit {
        "%" if value <= 100.0 => Ok(value / 100.0),
        "%" => Err(value_error("out-of-range", format!("`{text}` is more than `100%`"), None)),
        "" => {
            let part = if value <= 1.0 { format!(" or `{}%`", value * 100.0) } else { String::new() };
            let help = format!("write `{number}%`{part}");
            Err(value_error("unit-missing", format!("the share `{text}` has no `%`"), Some(help)))
        }
        _ => Err(value_error("not-a-number", format!("`{text}` is not a share, such as `30%`"), None)),
    }
}

/// Parses a number of 0 or more, without a unit.
///
/// # Errors
/// Anything else.
pub fn parse_number(text: &str) -> Result<f64, ValueError> {
    let (decimal, _, unit) = split_number(text, "a number")?;
    if unit.is_empty() {
        return Ok(to_float(&decimal));
    }
    Err(value_error("not-a-number", format!("`{text}` is not a plain number"), None))
}

/// Parses a whole number.
///
/// # Errors
/// Anything else, and numbers that don't fit in 64 bits.
pub fn parse_integer(text: &str) -> Result<u64, ValueError> {
    let (decimal, _, unit) = split_number(text, "a whole number")?;
    if !unit.is_empty() || decimal.decimals > 0 {
        return Err(value_error("not-a-number", format!("`{text}` is not a whole number"), None));
    }
    scale(text, &decimal, 1)
}

/// Parses a rate such as `100/s` to a number per second.
///
/// # Errors
/// No number, or another unit than `/s`, `/min` or `/h`.
pub fn parse_rate(text: &str) -> Result<f64, ValueError> {
    let (decimal, number, unit) = split_number(text, "a rate, such as `100/s`")?;
    let per = match unit {
        "/s" => 1.0,
        "/min" => 60.0,
        "/h" => 3600.0,
        "" => {
            let help = format!("write `{number}/s` or `{number}/min`");
            return Err(value_error("unit-missing", format!("the rate `{text}` has no unit"), Some(help)));
        }
        _ => {
            let help = "units of rate are `/s`, `/min`, `/h`".to_owned();
            return Err(value_error(
                "unit-unknown",
                format!("`{unit}` in `{text}` is not a unit of rate"),
                Some(help),
            ));
        }
    };
    Ok(to_float(&decimal) / per)
}

fn to_float(decimal: &Decimal) -> f64 {
    decimal.digits as f64 / 10f64.powi(decimal.decimals as i32)
}

/// Formats a duration in the largest unit that gives a whole number.
#[must_use]
pub fn format_duration(duration: Nanos) -> String {
    format_in_largest_unit(u128::from(duration), &DURATION_UNITS, "ns")
}

/// Formats a size in the largest unit that gives a whole number.
#[must_use]
pub fn format_size(bytes: u64) -> String {
    format_in_largest_unit(u128::from(bytes), &SIZE_UNITS, "B")
}

fn format_in_largest_unit(value: u128, units: &[(&str, u128)], smallest: &str) -> String {
    let whole = units.iter().filter(|(_, unit)| value >= *unit && value.is_multiple_of(*unit));
    match whole.max_by_key(|(_, unit)| *unit) {
        Some((name, unit)) => format!("{}{name}", value / unit),
        None => format!("{value}{smallest}"),
    }
}
