//! Conversions between wire messages and the types for leases and tables.

use pumicehead_policy::EndpointId;

use super::{Grant, Plan, Report, TableChanges, TableEntry};
use crate::lease_holder::{LeasePlan, LoanReport};
use crate::rate_promise::Rate;
use crate::table_sync::TableDelta;
use crate::{PlanNumber, PlannerId, ReportNumber};

impl From<&(EndpointId, Rate)> for Grant {
    fn from(&(endpoint, rate): &(EndpointId, Rate)) -> Self {
        Self { endpoint: endpoint.0, micro_requests_per_s: rate.micro_requests() }
    }
}

impl From<&Grant> for (EndpointId, Rate) {
    fn from(grant: &Grant) -> Self {
        (EndpointId(grant.endpoint), Rate::from_micro_requests(grant.micro_requests_per_s))
    }
}

impl From<&LoanReport> for Report {
    fn from(report: &LoanReport) -> Self {
        let (planner, last_plan) = report.last_plan.unwrap_or((PlannerId(0), PlanNumber(0)));
        Self {
            number: report.number.0,
            planner: planner.0,
            last_plan: last_plan.0,
            lent: report.lent.iter().map(Into::into).collect(),
            ..Self::default()
        }
    }
}

impl From<&Report> for LoanReport {
    fn from(report: &Report) -> Self {
        let last_plan = (PlannerId(report.planner), PlanNumber(report.last_plan));
        Self {
            number: ReportNumber(report.number),
            last_plan: (report.planner != 0).then_some(last_plan),
            lent: report.lent.iter().map(Into::into).collect(),
        }
    }
}

impl From<&LeasePlan> for Plan {
    fn from(plan: &LeasePlan) -> Self {
        Self {
            number: plan.number.0,
            answered_report: plan.answered_report.0,
            planner: plan.planner.0,
            grants: plan.grants.iter().map(Into::into).collect(),
            ..Self::default()
        }
    }
}

impl From<&Plan> for LeasePlan {
    fn from(plan: &Plan) -> Self {
        Self {
            planner: PlannerId(plan.planner),
            number: PlanNumber(plan.number),
            answered_report: ReportNumber(plan.answered_report),
            grants: plan.grants.iter().map(Into::into).collect(),
        }
    }
}

impl From<TableDelta> for TableChanges {
    fn from(delta: TableDelta) -> Self {
        let TableDelta { replaces_all, set, removed, digest } = delta;
        let set = set.into_iter().map(|(key, value)| TableEntry { key, value }).collect();
        Self { replaces_all, set, removed, digest }
    }
}

impl From<TableChanges> for TableDelta {
    fn from(changes: TableChanges) -> Self {
        let TableChanges { replaces_all, set, removed, digest } = changes;
        let set = set.into_iter().map(|entry| (entry.key, entry.value)).collect();
        Self { replaces_all, set, removed, digest }
    }
}
