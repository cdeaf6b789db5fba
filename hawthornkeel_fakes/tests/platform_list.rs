//! Test of the fake platform: a new list is served after the configured delay.

use std::time::Duration;
use std::time::Instant;

use hawthornkeel_fakes::http1;
use hawthornkeel_fakes::platform::Instance;
use hawthornkeel_fakes::platform::InstanceList;
use hawthornkeel_fakes::platform::InstanceState;
use hawthornkeel_fakes::thread;
use hawthornkeel_fakes::thread::PlatformThread;

const DELAY: Duration = Duration::from_millis(200);

fn list(state: InstanceState, lag_ms: Option<u64>) -> InstanceList {
    let instance = Instance {
        name: "reader-1".to_owned(),
        address: "127.0.0.1:9000".to_owned(),
        pool: "readers".to_owned(),
        data_centre: "kumamoto".to_owned(),
        state,
    };
    InstanceList { instances: vec![instance], lag_ms }
}

#[test]
fn list_changes_after_delay() {
    let platform = PlatformThread::start(list(InstanceState::Live, None)).unwrap();
    let served_state = || {
        let body = http1::control_request(platform.address, "GET", "/instances", "").unwrap();
        serde_json::from_str::<InstanceList>(&body).unwrap().instances[0].state
    };
    assert_eq!(served_state(), InstanceState::Live);
    let begin = Instant::now();
    platform.set(&list(InstanceState::Draining, Some(DELAY.as_millis() as u64))).unwrap();
    let changed =
        thread::eventually(Duration::from_secs(5), || served_state() == InstanceState::Draining);
    assert!(changed);
    assert!(begin.elapsed() >= DELAY);
}
