//! Lease by a quorum of the voters of a data centre, for sends to cold targets.
