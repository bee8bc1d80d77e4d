//! The table of endpoints.

use super::*;

fn table(ids: &[u32]) -> EndpointTable {
    let mut table = EndpointTable::default();
    for &id in ids {
        table.insert(Endpoint::new(EndpointId(id), 0));
    }
    table
}

#[test]
fn endpoints_are_found_by_id_after_others_are_removed() {
    let mut table = table(&[5, 6, 7]);
    table[EndpointIndex(0)].ready = false;
    table.remove_departed();
    assert_eq!(table.find(EndpointId(5)), None);
    for id in [6, 7].map(EndpointId) {
        let index = table.find(id).expect("it is in the table");
        assert_eq!(table[index].id, id);
    }
    assert_eq!(table.indices().count(), 2);
}

#[test]
fn a_draining_endpoint_stays_until_its_last_attempt_has_ended() {
    let mut table = table(&[5]);
    let endpoint = &mut table[EndpointIndex(0)];
    endpoint.ready = false;
    endpoint.in_flight.push_back(InFlightAttempt {
        request: RequestId(1),
        attempt: 0,
        sent_at: 0,
        expected_latency: 0.1,
    });
    table.remove_departed();
    assert!(table.find(EndpointId(5)).is_some());
    table[EndpointIndex(0)].in_flight.clear();
    table.remove_departed();
    assert_eq!(table.iter().count(), 0);
}
