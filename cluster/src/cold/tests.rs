//! What positions own of a server that warms up, how long it is kept, and what a new process may use.

use super::*;
use crate::virtual_network::times;

fn terms() -> Terms {
    let rate_limit = rate_limit::RateLimitTerms {
        requests_per_s: 50,
        arrival_spread: Micros::ZERO,
        owners: 7,
        lease: Micros::from_secs(2),
        clock_drift: 0.001,
    };
    Terms { rate_limit, share: 0.1, warm_up: Micros::from_secs(10) }
}

#[test]
fn what_positions_own_only_grows_and_sums_up_to_the_whole_of_the_warmth() {
    let terms = terms();
    for server in 0..50 {
        let start = Start { server, started: Micros::from_secs(100) };
        let mut before = [0; 9];
        for now in times(Micros::from_secs(100), Micros::from_secs(112), Micros::from_millis(100)) {
            let own: Vec<u32> = (0..9).map(|position| terms.own(start, position, now)).collect();
            assert_eq!(own.iter().sum::<u32>(), terms.whole(start.started, now));
            assert!(own[7..] == [0, 0] && own.iter().zip(before).all(|(own, before)| *own >= before));
            before = own.try_into().unwrap();
        }
        assert_eq!(before.iter().sum::<u32>(), 50);
    }
    assert_eq!(
        (terms.whole(Micros::ZERO, Micros(5)), terms.whole(Micros::from_secs(100), Micros::from_secs(100))),
        (50, 5)
    );
}

#[test]
fn servers_are_forgotten_once_warm_and_their_number_is_bounded() {
    let mut cold = Cold::new(terms(), 3, 1, Micros::ZERO);
    let now = Micros::from_secs(100);
    for server in 0..MAX_SERVERS as u64 + 5 {
        assert_eq!(cold.part(Start { server, started: now }, now).is_some(), server < MAX_SERVERS as u64);
    }
    assert_eq!(cold.full, 5);
    assert!(
        cold.part(Start { server: 1, started: now + Micros::from_secs(60) }, now).is_none(),
        "no such start"
    );
    cold.tick(now + Micros::from_secs(12), || || None);
    assert_eq!(cold.parts().count(), MAX_SERVERS, "what was lent is locked still");
    assert!(
        cold.part(Start { server: 1, started: now }, now + Micros::from_secs(10)).is_none(),
        "it is warm"
    );
    cold.tick(now + Micros::from_secs(14), || || None);
    assert_eq!(cold.parts().count(), 0);
}

#[test]
fn an_incarnation_that_began_after_the_server_waits_and_one_from_before_does_not() {
    let start = Start { server: 9, started: Micros::from_secs(100) };
    let own = |born: Micros, at: Micros| {
        let mut cold = Cold::new(terms(), 3, 1, born);
        cold.part(start, at).unwrap().usable_tokens(at)
    };
    let at = Micros::from_secs(109);
    assert!(own(Micros::from_secs(50), at) > 0);
    assert_eq!(own(Micros::from_secs(108), at), 0);
}
