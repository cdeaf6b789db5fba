//! Slots of brittle targets, shared out among the entries.

use std::net::SocketAddr;

use hawthornkeel_core::fleet::ProcessId;
use hawthornkeel_core::fleet::TargetRun;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::limit::EntryView;
use rstest::rstest;

fn process(index: u16) -> ProcessId {
    let address = SocketAddr::from(([10, 0, 0, 1], 1_000 + index));
    let name = TargetName::from(format!("i-{index}").as_str());
    ProcessId::from(&TargetRun { name, address, born: None })
}

fn entries(count: usize) -> Vec<InstanceName> {
    (0..count).map(|n| InstanceName::from(format!("e-{n}").as_str())).collect()
}

fn view(own: &InstanceName, entries: &[InstanceName], peak: usize) -> EntryView {
    EntryView { own: own.clone(), entries: entries.to_vec(), peak }
}

#[rstest]
#[case(8, 6)]
#[case(8, 64)]
#[case(40, 6)]
#[case(420, 64)]
fn slots_hold_for_all_entries(#[case] count: usize, #[case] slots: u32) {
    let entries = entries(count);
    for target in 0..20 {
        for peak in [count, count + 3] {
            let share = |e| view(e, &entries, peak).slot_share(process(target), slots);
            let sum: u32 = entries.iter().map(share).sum();
            assert!(sum <= slots, "{sum} of {slots} slots");
            assert!(peak > count || sum >= slots / 2, "{sum} of {slots} slots");
        }
    }
}

#[test]
fn each_entry_has_a_slot_somewhere() {
    let entries = entries(8);
    for entry in &entries {
        let share = |target| view(entry, &entries, 8).slot_share(process(target), 6);
        assert!((0..9).map(share).any(|s| s > 0), "{entry} has none");
    }
}
