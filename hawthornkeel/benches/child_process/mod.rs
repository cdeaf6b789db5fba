//! Child process of a bench, measured separately from the bench itself.

#![allow(dead_code)]

use std::env;
use std::error::Error;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

type Failure = Box<dyn Error>;

/// Child process that runs the bench's own executable; it is killed on drop.
pub struct ChildProcess {
    child: Child,
    /// Listen address, which the process prints as its first line.
    pub address: SocketAddr,
}

impl ChildProcess {
    /// Starts the current executable with `flag` and the address of the target.
    pub fn start(flag: &str, target: SocketAddr) -> Result<Self, Failure> {
        let mut command = Command::new(env::current_exe()?);
        command.args([flag, &target.to_string()]).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let output = child.stdout.take().ok_or("no standard output")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        Ok(Self { child, address: line.trim().parse()? })
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the run time of the main thread, and the time it was runnable but waited for a core.
    pub fn cpu_times(&self) -> Result<(Duration, Duration), Failure> {
        let text = fs::read_to_string(format!("/proc/{}/schedstat", self.id()))?;
        let mut nanos = text.split(' ').map(str::parse::<u64>);
        let mut next = || {
            Ok::<_, Failure>(Duration::from_nanos(nanos.next().ok_or("schedstat is incomplete")??))
        };
        Ok((next()?, next()?))
    }

    /// Returns the resident memory in bytes.
    pub fn memory(&self) -> Result<usize, Failure> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line =
            status.lines().find_map(|l| l.strip_prefix("VmRSS:")).ok_or("status has no VmRSS")?;
        Ok(line.trim().trim_end_matches(" kB").parse::<usize>()? * 1024)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
