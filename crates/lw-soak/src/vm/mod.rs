//! One VM as a process.

use std::{
    fs, io,
    os::unix::process::ExitStatusExt as _,
    path::{Path, PathBuf},
    process::Stdio,
    sync::PoisonError,
    time::Duration,
};

use lw_standin::hosted::operator::{VmOptions, settings_file};
use tokio::{
    process::{Child, Command},
    sync::Mutex,
    time::{Instant, timeout},
};

/// Name of the variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "LAVENDERWOOD_NODE_FILE";

/// Time after its start in which a process may be ended by the signal itself, before it serves anybody.
const YOUNG: Duration = Duration::from_millis(300);

/// Number of the signal to end.
const SIGTERM: i32 = 15;

/// A VM.
#[derive(Debug)]
pub struct Vm {
    /// Its addresses.
    pub place: VmOptions,
    daemon: PathBuf,
    settings: PathBuf,
    /// Its output.
    pub log: PathBuf,
    process: Mutex<Option<(Child, Instant)>>,
    /// Id of the process until it has ended.
    pid: std::sync::Mutex<Option<u32>>,
}

impl Vm {
    /// Writes the settings of a VM below `dir`.
    ///
    /// # Errors
    ///
    /// When they cannot be written.
    pub fn new(daemon: &Path, dir: &Path, place: VmOptions) -> io::Result<Self> {
        let settings = dir.join(format!("{}.toml", place.vm));
        fs::write(&settings, settings_file(&place))?;
        let log = dir.join(format!("{}.log", place.vm));
        Ok(Self {
            place,
            daemon: daemon.into(),
            settings,
            log,
            process: Mutex::new(None),
            pid: std::sync::Mutex::new(None),
        })
    }

    /// Starts its process.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub async fn start(&self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.daemon)
            .arg("--platform")
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.set_pid(child.id());
        *self.process.lock().await = Some((child, Instant::now()));
        Ok(())
    }

    fn set_pid(&self, pid: Option<u32>) {
        *self.pid.lock().unwrap_or_else(PoisonError::into_inner) = pid;
    }

    fn pid(&self) -> Option<u32> {
        *self.pid.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a signal, for instance `-HUP`. A process that has ended gets none.
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub async fn signal(&self, name: &str) -> io::Result<()> {
        let Some(pid) = self.pid() else { return Ok(()) };
        Command::new("kill").args([name, &pid.to_string()]).status().await.map(drop)
    }

    /// Stops the process for a time; it may be told to end or be killed meanwhile.
    ///
    /// # Errors
    ///
    /// When a signal cannot be sent.
    pub async fn pause(&self, time: Duration) -> io::Result<()> {
        let stopped = self.pid();
        self.signal("-STOP").await?;
        tokio::time::sleep(time).await;
        if stopped == self.pid() { self.signal("-CONT").await } else { Ok(()) }
    }

    /// Kills the process.
    ///
    /// # Errors
    ///
    /// When it cannot be killed.
    pub async fn kill(&self) -> io::Result<()> {
        match self.process.lock().await.take() {
            Some((mut child, _)) => child.kill().await?,
            None => return Ok(()),
        }
        self.set_pid(None);
        Ok(())
    }

    /// Tells the process to end and waits for it; returns whether it ended in `patience` and without a failure.
    ///
    /// # Errors
    ///
    /// When the process cannot be told or watched.
    pub async fn drain(&self, patience: Duration) -> io::Result<bool> {
        let started = Instant::now();
        self.signal("-TERM").await?;
        let Some((mut child, born)) = self.process.lock().await.take() else { return Ok(false) };
        if let Ok(status) = timeout(patience, child.wait()).await {
            let status = status?;
            self.set_pid(None);
            let was_young = status.signal() == Some(SIGTERM) && started < born + YOUNG;
            return Ok(status.success() || was_young);
        }
        child.kill().await?;
        self.set_pid(None);
        Ok(false)
    }

    /// Whether the process has ended by itself.
    ///
    /// # Errors
    ///
    /// When it cannot be watched.
    pub async fn has_ended(&self) -> io::Result<bool> {
        match self.process.lock().await.as_mut() {
            Some((child, _)) => Ok(child.try_wait()?.is_some()),
            None => Ok(false),
        }
    }
}
