//! Simulated fleet: data centres, entries, pools and workspaces.

use std::time::Duration;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::document::Pipeline;
use hawthornkeel_core::document::Pool;
use hawthornkeel_core::document::Stage;
use hawthornkeel_core::document::Workspace;
use hawthornkeel_core::names::CentreName;

pub const CENTRES: usize = 4;
/// Entries, distributed evenly over the data centres.
pub const ENTRIES: usize = 8;
/// Time from arrival to the full answer.
pub const DEADLINE: Duration = Duration::from_secs(8);
/// Weights of the workspaces; the first sends half of all requests.
pub const WORKSPACE_WEIGHTS: [u32; 5] = [4, 2, 1, 1, 1];

/// Pool of simulated targets.
#[derive(Clone, Copy, Debug)]
pub struct PoolSpec {
    pub name: &'static str,
    pub count: usize,
    /// Call time of a warm target without load.
    pub time: Duration,
    /// Concurrent calls that a warm target accepts.
    pub warm_limit: u32,
    /// Concurrent calls that a cold target tolerates.
    pub cold_limit: u32,
    /// Answered calls after which a target is warm.
    pub warm_after: u32,
}

/// Pools in the order of the pipeline's stages.
pub const POOLS: [PoolSpec; 4] = [
    spec("read", 5, 80, 8, 2, 16),
    spec("retrieve", 4, 30, 8, 2, 16),
    spec("rerank", 4, 100, 8, 2, 16),
    spec("draft", 10, 800, 16, 2, 16),
];

const fn spec(
    name: &'static str,
    count: usize,
    millis: u64,
    warm_limit: u32,
    cold_limit: u32,
    warm_after: u32,
) -> PoolSpec {
    let time = Duration::from_millis(millis);
    PoolSpec { name, count, time, warm_limit, cold_limit, warm_after }
}

/// Returns the name of a data centre.
pub fn centre(index: usize) -> CentreName {
    CentreName::new(&format!("dc{}", index % CENTRES))
}

/// Returns the name of a workspace.
pub fn workspace(index: usize) -> String {
    format!("ws{index}")
}

/// Returns the environment document.
pub fn document() -> Document {
    let pool = |p: &PoolSpec| Pool {
        name: p.name.into(),
        warm_limit: p.warm_limit,
        cold_limit: p.cold_limit,
        warm_after: p.warm_after,
        ..Pool::default()
    };
    let stage = |p: &PoolSpec| Stage {
        name: p.name.into(),
        pool: p.name.into(),
        floor_ms: p.time.as_millis() as u64 / 2,
        ..Stage::default()
    };
    let workspace_spec = |(i, weight): (usize, &u32)| Workspace {
        name: workspace(i).as_str().into(),
        weight: *weight,
        ..Workspace::default()
    };
    Document {
        workspaces: WORKSPACE_WEIGHTS.iter().enumerate().map(workspace_spec).collect(),
        pools: POOLS.iter().map(pool).collect(),
        pipelines: vec![Pipeline {
            name: "main".into(),
            stages: POOLS.iter().map(stage).collect(),
            ..Pipeline::default()
        }],
        ..Document::default()
    }
}
