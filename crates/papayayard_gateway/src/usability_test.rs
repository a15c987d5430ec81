use papayayard_routing::placement::{Availability, Excluded, Exclusion, Reason};
use papayayard_wire::id;

use super::{MAX_LEFT_OUT_BYTES, left_out};

fn availability(reasons: usize) -> Availability {
    let excluded = Excluded {
        endpoint: id::Endpoint::from("an-engine-with-a-long-name-0"),
        first_event: None,
    };
    let late = Exclusion {
        reason: Reason::Late,
        number: 100,
        endpoints: vec![excluded; 3],
    };
    Availability {
        exclusions: vec![late; reasons],
        ..Availability::default()
    }
}

/// Guards against log lines of refusals that grow with the number of reasons and names.
#[test]
fn the_list_of_endpoints_that_were_left_out_is_bounded() {
    assert_eq!(left_out(&availability(0)), "-");
    let few = left_out(&availability(2));
    assert_eq!(few.matches("late=100(").count(), 2);
    let many = left_out(&availability(50));
    assert!(many.len() <= MAX_LEFT_OUT_BYTES + 4, "{}", many.len());
    assert!(many.ends_with(" …"));
}
