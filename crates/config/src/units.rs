//! Times, sizes, shares and numbers as they are written. Times and sizes always carry a unit.

use pumicehead_policy::Nanos;

use crate::diag::nearest;

/// Units of time with their nanoseconds.
pub const TIMES: [(&str, u128); 6] = [
    ("us", 1_000),
    ("ms", 1_000_000),
    ("s", 1_000_000_000),
    ("min", 60_000_000_000),
    ("h", 3_600_000_000_000),
    ("d", 86_400_000_000_000),
];
/// Units of size with their bytes.
pub const SIZES: [(&str, u128); 7] = [
    ("B", 1),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];
/// Most digits behind a point.
const MOST_DECIMALS: usize = 9;

/// Why a value is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What kind of mistake.
    pub code: &'static str,
    /// What is wrong.
    pub message: String,
    /// How to mend it.
    pub help: Option<String>,
}

fn fault(code: &'static str, message: String, help: Option<String>) -> Fault {
    Fault { code, message, help }
}

/// A decimal number, exactly: digits and how many of them stand behind the point.
struct Decimal {
    digits: u128,
    decimals: u32,
}

/// Divides a value into its number and what follows.
fn split<'a>(text: &'a str, what: &str) -> Result<(Decimal, &'a str, &'a str), Fault> {
    if text.starts_with('-') {
        return Err(fault("below-zero", format!("`{text}` is below 0"), None));
    }
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let (whole, part) = number.split_once('.').unwrap_or((number, ""));
    if whole.is_empty() || part.contains('.') || number.ends_with('.') {
        return Err(fault("not-a-number", format!("`{text}` is not {what}"), None));
    }
    if part.len() > MOST_DECIMALS {
        let message = format!("`{text}` has more than {MOST_DECIMALS} digits behind the point");
        return Err(fault("not-a-number", message, None));
    }
    let digits = format!("{whole}{part}").parse();
    let digits = digits.map_err(|_| fault("too-large", format!("`{text}` is too large a number"), None))?;
    Ok((Decimal { digits, decimals: part.len() as u32 }, number, unit))
}

fn scaled(text: &str, number: &Decimal, unit: u128) -> Result<u64, Fault> {
    let too_large = || fault("too-large", format!("`{text}` is too large"), None);
    let scaled = number.digits.checked_mul(unit).ok_or_else(too_large)?;
    let whole = 10u128.pow(number.decimals);
    if scaled % whole != 0 {
        return Err(fault("too-fine", format!("`{text}` is finer than the smallest unit"), None));
    }
    u64::try_from(scaled / whole).map_err(|_| too_large())
}

fn find(units: &[(&str, u128)], unit: &str) -> Option<u128> {
    units.iter().find(|(name, _)| *name == unit).map(|(_, size)| *size)
}

fn names(units: &[(&'static str, u128)]) -> String {
    let names: Vec<_> = units.iter().map(|(name, _)| format!("`{name}`")).collect();
    names.join(", ")
}

/// A time such as `600ms`.
///
/// # Errors
/// No number, no unit or an ambiguous one, or more than 64 bits of nanoseconds.
pub fn time(text: &str) -> Result<Nanos, Fault> {
    let (decimal, number, unit) = split(text, "a time, such as `600ms`")?;
    if let Some(unit) = find(&TIMES, unit) {
        return scaled(text, &decimal, unit);
    }
    Err(match unit {
        "" => fault(
            "unit-missing",
            format!("the time `{text}` has no unit"),
            Some(format!("write `{number}ms` or `{number}s`")),
        ),
        "m" => fault(
            "unit-ambiguous",
            format!("`m` in `{text}` may mean milliseconds or minutes"),
            Some(format!("write `{number}ms` or `{number}min`")),
        ),
        _ if find(&SIZES, unit).is_some() => {
            fault("unit-of-size", format!("`{text}` is a size; a time is wanted, such as `600ms`"), None)
        }
        _ => unknown(text, number, unit, &TIMES, "time"),
    })
}

/// A size such as `64KiB`.
///
/// # Errors
/// No number, no unit or an ambiguous one, or more than 64 bits of bytes.
pub fn size(text: &str) -> Result<u64, Fault> {
    let (decimal, number, unit) = split(text, "a size, such as `64KiB`")?;
    if let Some(unit) = find(&SIZES, unit) {
        return scaled(text, &decimal, unit);
    }
    Err(match unit {
        "" => fault(
            "unit-missing",
            format!("the size `{text}` has no unit"),
            Some(format!("write `{number}B`, `{number}KiB` or `{number}MiB`")),
        ),
        "K" | "k" | "M" | "G" | "Ki" | "Mi" | "Gi" => {
            let letter = unit[..1].to_uppercase();
            fault(
                "unit-ambiguous",
                format!("`{unit}` in `{text}` may count by 1,000 or by 1,024"),
                Some(format!("write `{number}{letter}B` for 1,000 or `{number}{letter}iB` for 1,024")),
            )
        }
        _ if find(&TIMES, unit).is_some() => {
            fault("unit-of-time", format!("`{text}` is a time; a size is wanted, such as `64KiB`"), None)
        }
        _ => unknown(text, number, unit, &SIZES, "size"),
    })
}

fn unknown(text: &str, number: &str, unit: &str, units: &[(&'static str, u128)], what: &str) -> Fault {
    let known = nearest(unit, units.iter().map(|(name, _)| *name));
    let spelled = [("seconds", "s"), ("second", "s"), ("sec", "s"), ("minutes", "min"), ("minute", "min")];
    let spelled = spelled.iter().find(|(long, _)| *long == unit).map(|(_, short)| *short);
    let help = match spelled.or(known) {
        Some(known) => format!("write `{number}{known}`"),
        None => format!("units of {what} are {}", names(units)),
    };
    fault("unit-unknown", format!("`{unit}` in `{text}` is no unit of {what}"), Some(help))
}

/// A share such as `30%`, as 0 to 1.
///
/// # Errors
/// No number, no `%`, or more than 100 %.
pub fn share(text: &str) -> Result<f64, Fault> {
    let (decimal, number, unit) = split(text, "a share, such as `30%`")?;
    let value = float(&decimal);
    match unit {
        "%" if value <= 100.0 => Ok(value / 100.0),
        "%" => Err(fault("out-of-range", format!("`{text}` is more than `100%`"), None)),
        "" => {
            let part = if value <= 1.0 { format!(" or `{}%`", value * 100.0) } else { String::new() };
            let help = format!("write `{number}%`{part}");
            Err(fault("unit-missing", format!("the share `{text}` has no `%`"), Some(help)))
        }
        _ => Err(fault("not-a-number", format!("`{text}` is not a share, such as `30%`"), None)),
    }
}

/// A plain number of 0 or more.
///
/// # Errors
/// Anything else.
pub fn number(text: &str) -> Result<f64, Fault> {
    let (decimal, _, unit) = split(text, "a number")?;
    if unit.is_empty() {
        return Ok(float(&decimal));
    }
    Err(fault("not-a-number", format!("`{text}` is not a plain number"), None))
}

/// A whole number.
///
/// # Errors
/// Anything else, and what has more than 64 bits.
pub fn count(text: &str) -> Result<u64, Fault> {
    let (decimal, _, unit) = split(text, "a whole number")?;
    if !unit.is_empty() || decimal.decimals > 0 {
        return Err(fault("not-a-number", format!("`{text}` is not a whole number"), None));
    }
    scaled(text, &decimal, 1)
}

/// A rate such as `100/s`, a second.
///
/// # Errors
/// No number, or another unit than `/s`, `/min` or `/h`.
pub fn rate(text: &str) -> Result<f64, Fault> {
    let (decimal, number, unit) = split(text, "a rate, such as `100/s`")?;
    let per = match unit {
        "/s" => 1.0,
        "/min" => 60.0,
        "/h" => 3600.0,
        "" => {
            let help = format!("write `{number}/s` or `{number}/min`");
            return Err(fault("unit-missing", format!("the rate `{text}` has no unit"), Some(help)));
        }
        _ => {
            let help = "units of rate are `/s`, `/min`, `/h`".to_owned();
            return Err(fault(
                "unit-unknown",
                format!("`{unit}` in `{text}` is no unit of rate"),
                Some(help),
            ));
        }
    };
    Ok(float(&decimal) / per)
}

fn float(decimal: &Decimal) -> f64 {
    decimal.digits as f64 / 10f64.powi(decimal.decimals as i32)
}

/// A time in its largest whole unit.
#[must_use]
pub fn show_time(span: Nanos) -> String {
    show(u128::from(span), &TIMES, "ns")
}

/// A size in its largest whole unit.
#[must_use]
pub fn show_size(bytes: u64) -> String {
    show(u128::from(bytes), &SIZES, "B")
}

fn show(value: u128, units: &[(&str, u128)], least: &str) -> String {
    let whole = units.iter().filter(|(_, unit)| value >= *unit && value.is_multiple_of(*unit));
    match whole.max_by_key(|(_, unit)| *unit) {
        Some((name, unit)) => format!("{}{name}", value / unit),
        None => format!("{value}{least}"),
    }
}
