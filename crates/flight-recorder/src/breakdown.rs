//! Losses of a time range by cause, endpoint, class and time. All views have exactly the same sum.

use std::collections::BTreeMap;
use std::fmt;

use pumicehead_policy::Nanos;

use crate::loss_cause::{LossCause, MicroWeight};
use crate::loss_ledger::{LossKey, LossLedger, LossTotals, NO_ENDPOINT, Row, TrafficTotals};
use crate::recording::{Recording, RecordingHeader};
use crate::timestamp;

/// Number of rows of a view that are displayed.
const MAX_ROWS_SHOWN: usize = 8;

/// A row of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BreakdownRow {
    /// The cause, endpoint, class or time that the row is about.
    pub label: String,
    /// Lost weight.
    pub lost: MicroWeight,
    /// Number of requests.
    pub requests: u64,
}

/// Losses of a time range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breakdown {
    /// Start of the range, aligned to the ledger's slots.
    pub from: Nanos,
    /// End of the range.
    pub to: Nanos,
    /// Start of the node's process.
    pub start: Nanos,
    /// Number of requests that ended in the range.
    pub requests: u64,
    /// Weight that they offered.
    pub offered: MicroWeight,
    /// Weight that was earned.
    pub earned: MicroWeight,
    /// Views with their names.
    pub views: Vec<(&'static str, Vec<BreakdownRow>)>,
}

/// Sums up losses by a key; the largest loss comes first.
fn group_losses<K: Ord>(
    rows: &[(Nanos, LossKey, LossTotals)],
    group_key: impl Fn(Nanos, &LossKey) -> K,
    label: impl Fn(&K) -> String,
) -> Vec<BreakdownRow> {
    let mut sums: BTreeMap<K, LossTotals> = BTreeMap::new();
    for (at, key, loss) in rows {
        let sum = sums.entry(group_key(*at, key)).or_default();
        sum.lost = sum.lost.saturating_add(loss.lost);
        sum.requests = sum.requests.saturating_add(loss.requests);
    }
    let mut rows: Vec<_> = sums
        .iter()
        .map(|(key, sum)| BreakdownRow { label: label(key), lost: sum.lost, requests: sum.requests })
        .collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.lost));
    rows
}

impl Breakdown {
    /// Sums up a recording; the range is widened to the ledger's slots. `None` without a ledger.
    #[must_use]
    pub fn of_recording(recording: &Recording, from: Nanos, to: Nanos) -> Option<Self> {
        recording.ledger.as_ref().map(|ledger| Self::of_ledger(&recording.header, ledger, from, to))
    }

    /// Sums up a ledger.
    #[must_use]
    pub fn of_ledger(header: &RecordingHeader, ledger: &LossLedger, from: Nanos, to: Nanos) -> Self {
        let (from, to) = ledger.align_to_slots(from, to);
        let rows: Vec<_> =
            ledger.losses.rows_between(from, to).map(|(at, key, loss)| (at, key, *loss)).collect();
        let mut total = TrafficTotals::default();
        for (_, _, traffic) in ledger.traffic.rows_between(from, to) {
            total.add(traffic);
        }
        let endpoint_name = |key: &(crate::event::PoolId, u32)| match key.1 {
            NO_ENDPOINT => "no server".to_owned(),
            endpoint => header.endpoint_name(key.0, endpoint),
        };
        let views = vec![
            ("cause", group_losses(&rows, |_, key| LossCause::from_code(key.cause), LossCause::to_string)),
            ("server", group_losses(&rows, |_, key| (key.pool, key.endpoint), endpoint_name)),
            (
                "class",
                group_losses(
                    &rows,
                    |_, key| (key.pool, key.class),
                    |&(pool, class)| {
                        format!("{} in {}", header.class_name(pool, class), header.pool_name(pool))
                    },
                ),
            ),
            ("moment", group_losses(&rows, |at, _| at, |at| timestamp::format_timestamp(*at, header.start))),
        ];
        Self {
            from,
            to,
            start: header.start,
            requests: total.requests,
            offered: total.offered,
            earned: total.earned,
            views,
        }
    }

    /// Returns the lost weight.
    #[must_use]
    pub fn lost(&self) -> MicroWeight {
        self.offered.saturating_sub(self.earned)
    }

    /// Renders two breakdowns side by side, as shares of the weight offered in each. The view by time is left out.
    #[must_use]
    pub fn compare(&self, other: &Self) -> String {
        let share = |lost: MicroWeight, of: &Self| 100.0 * lost as f64 / (of.offered as f64).max(1.0);
        let mut out = format!(
            "lost of the worth asked: {:.2}% against {:.2}%\n",
            share(self.lost(), self),
            share(other.lost(), other)
        );
        for ((name, one), (_, two)) in
            self.views.iter().zip(&other.views).filter(|((name, _), _)| *name != "moment")
        {
            let mut all: BTreeMap<&str, (MicroWeight, MicroWeight)> = BTreeMap::new();
            one.iter().for_each(|row| all.entry(&row.label).or_default().0 = row.lost);
            two.iter().for_each(|row| all.entry(&row.label).or_default().1 = row.lost);
            let mut rows: Vec<_> = all
                .into_iter()
                .map(|(what, (one, two))| (what, share(one, self), share(two, other)))
                .collect();
            rows.sort_by(|a, b| (b.1 - b.2).abs().total_cmp(&(a.1 - a.2).abs()));
            out += &format!("by {name}:\n");
            for (what, one, two) in rows.iter().take(MAX_ROWS_SHOWN) {
                out += &format!("  {one:7.2}%  {two:7.2}%  {:+7.2}  {what}\n", two - one);
            }
        }
        out
    }
}

impl fmt::Display for Breakdown {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let weight = |micro: MicroWeight| micro as f64 / 1e6;
        let share = |lost: MicroWeight| 100.0 * lost as f64 / (self.offered as f64).max(1.0);
        let until = if self.to == Nanos::MAX {
            "its end".into()
        } else {
            timestamp::format_timestamp(self.to, self.start)
        };
        writeln!(out, "from {} to {until}:", timestamp::format_timestamp(self.from, self.start))?;
        writeln!(
            out,
            "{} requests worth {:.1}; earned {:.1}, lost {:.1} ({:.2}%)",
            self.requests,
            weight(self.offered),
            weight(self.earned),
            weight(self.lost()),
            share(self.lost())
        )?;
        for (name, rows) in &self.views {
            if rows.is_empty() {
                continue;
            }
            writeln!(out, "by {name}:")?;
            for row in rows.iter().take(MAX_ROWS_SHOWN) {
                let BreakdownRow { label, lost, requests } = row;
                writeln!(
                    out,
                    "  {:10.1} {:6.2}%  {requests:7} requests  {label}",
                    weight(*lost),
                    share(*lost)
                )?;
            }
            let rest = rows.iter().skip(MAX_ROWS_SHOWN);
            let (lost, count) = rest.fold((0, 0), |(lost, n), row| (lost + row.lost, n + 1));
            if count > 0 {
                writeln!(out, "  {:10.1} {:6.2}%  in {count} more", weight(lost), share(lost))?;
            }
        }
        Ok(())
    }
}
