//! Unit tests of `timestamp`.

use super::*;

#[test]
fn both_forms_of_timestamps_are_parsed_and_formatted() {
    let start = (20_000 * DAY + 13 * 3_600 + 5 * 60 + 10) * SECOND + 400_000_000;
    assert_eq!(parse("12.5", start), Ok(start + 12_500_000_000));
    assert_eq!(parse("3s", start), Ok(start + 3 * SECOND));
    assert_eq!(parse("13:05:20", start), Ok(start - 400_000_000 + 10 * SECOND));
    assert_eq!(parse("13:05:10", start), Ok(start - 400_000_000));
    assert_eq!(
        parse("01:00:00", start),
        Ok((20_001 * DAY + 3_600) * SECOND),
        "a time of day before the start is on the next day"
    );
    for bad in ["", "x", "-1", "1e9", "1:2", "24:00:00", "1:60:00", "1:00:99", "nan", "\u{1b}[2J", "1:2:3:4"]
    {
        assert!(parse(bad, start).is_err(), "{bad}");
    }
    assert_eq!(format_timestamp(start + 2 * SECOND, start), "2.000 s (13:05:12)");
    assert_eq!(
        [format_duration(900), format_duration(1_500_000), format_duration(2 * SECOND)],
        ["0 us", "1.5 ms", "2.00 s"]
    );
}
