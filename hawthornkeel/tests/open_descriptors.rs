//! Open file descriptors and child processes of an instance.

mod fleet;

use std::fs;

use fleet::Fleet;

#[test]
fn process_uses_epoll_without_children() {
    let fleet = Fleet::start(4, 2);
    for at in [0, 3] {
        let pid = fleet.pid(at).as_raw_nonzero();
        let links: Vec<_> = fs::read_dir(format!("/proc/{pid}/fd"))
            .unwrap()
            .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
            .map(|path| path.display().to_string())
            .collect();
        assert!(links.iter().any(|l| l.contains("eventpoll")), "{links:?}");
        assert!(!links.iter().any(|l| l.contains("io_uring")), "{links:?}");
        assert!(!links.iter().any(|l| l.contains("/dev/shm")), "{links:?}");
        let children: String = fs::read_dir(format!("/proc/{pid}/task"))
            .unwrap()
            .filter_map(|task| fs::read_to_string(task.ok()?.path().join("children")).ok())
            .collect();
        assert_eq!(children.trim(), "");
    }
}
