//! Load reports of targets and orders with fencing numbers.

use std::time::Duration;

use hawthornkeel::target::call::Call;
use hawthornkeel::target::client::Client;
use hawthornkeel::target::client::ClientLimits;
use hawthornkeel::target::error::CallError;
use hawthornkeel::target::order::FencedOrder;
use hawthornkeel::target::order::Order;
use hawthornkeel::target::order::OrderResult;
use hawthornkeel_core::ids::FencingNumber;
use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_fakes::behaviour::Behaviour;
use hawthornkeel_fakes::thread;
use hawthornkeel_fakes::thread::TargetThread;
use rstest::rstest;

fn load_model(fencing: u64) -> FencedOrder {
    let order = Order::LoadModel { model: "dossier".into(), version: Some("3".to_owned()) };
    FencedOrder { fencing: FencingNumber(fencing), order }
}

#[rstest]
#[case::checked(true, OrderResult::RefusedOld)]
#[case::ignored(false, OrderResult::Accepted)]
fn stale_number_is_fenced(#[case] fencing: bool, #[case] expected: OrderResult) {
    let target = TargetThread::start(Behaviour { fencing, ..Behaviour::default() }).unwrap();
    thread::block_on(async {
        let client = Client::new(ClientLimits::default());
        let call = Call::default();
        for (number, expected) in [
            (7, OrderResult::Accepted),
            (7, OrderResult::Accepted),
            (6, expected),
            (8, OrderResult::Accepted),
        ] {
            let result = client.order(target.address, &call, &load_model(number)).await;
            assert_eq!(result, expected, "{number}");
        }
    })
    .unwrap();
    let orders = target.report().unwrap().orders;
    assert_eq!(orders.len(), 4);
    assert_eq!(orders[0].body["order"], "load-model");
    assert_eq!(orders[0].body["version"], "3");
}

#[test]
fn unreachable_target_fails_order() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    thread::block_on(async {
        let client = Client::new(ClientLimits::default());
        let result = client.order(closed, &Call::default(), &load_model(1)).await;
        assert!(matches!(result, OrderResult::Failed(CallError::NotSent(_))), "{result:?}");
    })
    .unwrap();
}

#[test]
fn load_report_shows_restart() {
    let cold = Behaviour { cold_capacity: Some(1), ..Behaviour::default() };
    let target = TargetThread::start(cold).unwrap();
    thread::block_on(async {
        let client = Client::new(ClientLimits::default());
        let call = Call { progress_timeout: Duration::from_secs(2), ..Call::default() };
        let before = client.load(target.address, &call).await.unwrap();
        assert_eq!((before.incarnation, before.cold), (Some(Incarnation(1)), Some(true)));
        target.restart().unwrap();
        let after = client.load(target.address, &call).await.unwrap();
        assert_eq!(after.incarnation, Some(Incarnation(2)));
    })
    .unwrap();
}
