//! Metrics of rollouts at control instances.

use hawthornkeel_core::rollout::record::RolloutPhase;
use hawthornkeel_core::rollout::record::RolloutRecord;

use crate::telemetry;

/// Phases with their labels.
const PHASES: [(RolloutPhase, &str); 4] = [
    (RolloutPhase::Trial, "trial"),
    (RolloutPhase::Switching, "switching"),
    (RolloutPhase::Completed, "completed"),
    (RolloutPhase::RolledBack, "rolled-back"),
];

/// Records the phase of a pool's rollout, which replaces the one before.
pub fn record_phase(before: Option<&RolloutRecord>, record: &RolloutRecord) {
    if let Some(before) = before
        && before.order.version != record.order.version
    {
        set_phase(before, None);
    }
    set_phase(record, Some(record.phase));
}

fn set_phase(record: &RolloutRecord, current: Option<RolloutPhase>) {
    let (pool, version) = (record.order.pool.to_string(), record.order.version.to_string());
    for (phase, label) in PHASES {
        let labels =
            [("pool", pool.clone()), ("version", version.clone()), ("phase", label.to_owned())];
        let value = if current == Some(phase) { 1.0 } else { 0.0 };
        metrics::gauge!(telemetry::ROLLOUT_PHASE, &labels).set(value);
    }
}
