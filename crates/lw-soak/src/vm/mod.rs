//! A VM as a daemon process.

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

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "LAVENDERWOOD_NODE_FILE";

/// Longest time after its start in which a process may end by SIGTERM's default action, as it has not installed its
/// handler yet and serves no requests.
const HANDLER_SETUP_MAX: Duration = Duration::from_millis(300);

const SIGTERM: i32 = 15;

/// A VM: its settings, its log and its process.
#[derive(Debug)]
pub struct Vm {
    /// Its name and addresses.
    pub place: VmOptions,
    daemon: PathBuf,
    settings: PathBuf,
    /// File with its output.
    pub log: PathBuf,
    /// The process and when it was started; none before its start and after a kill or drain.
    process: Mutex<Option<(Child, Instant)>>,
    /// Id of the process until it has ended; apart from `process`, so that signals can be sent while `drain` waits.
    pid: std::sync::Mutex<Option<u32>>,
}

impl Vm {
    /// Writes the settings of a VM into `dir`.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
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

    /// Returns the id of the process until it has ended.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        *self.pid.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a signal, for instance `-HUP`; does nothing when the process has ended.
    ///
    /// # Errors
    ///
    /// When the command `kill` cannot be run.
    pub async fn signal(&self, name: &str) -> io::Result<()> {
        let Some(pid) = self.pid() else { return Ok(()) };
        Command::new("kill").args([name, &pid.to_string()]).status().await.map(drop)
    }

    /// Stops the process for a time; it may be drained or killed meanwhile.
    ///
    /// # Errors
    ///
    /// When the command `kill` cannot be run.
    pub async fn pause(&self, time: Duration) -> io::Result<()> {
        let pid = self.suspend().await?;
        tokio::time::sleep(time).await;
        self.resume(pid).await
    }

    /// Stops the process until it is resumed, and returns its id.
    ///
    /// # Errors
    ///
    /// When the command `kill` cannot be run.
    pub async fn suspend(&self) -> io::Result<Option<u32>> {
        let pid = self.pid();
        self.signal("-STOP").await?;
        Ok(pid)
    }

    /// Resumes the process, unless it is no longer the one with this id.
    ///
    /// # Errors
    ///
    /// When the command `kill` cannot be run.
    pub async fn resume(&self, pid: Option<u32>) -> io::Result<()> {
        if pid == self.pid() { self.signal("-CONT").await } else { Ok(()) }
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

    /// Sends SIGTERM and waits for the process to end, or kills it after `max_wait`. Returns whether it ended in time
    /// and with success.
    ///
    /// # Errors
    ///
    /// When the process cannot be signalled or waited for.
    pub async fn drain(&self, max_wait: Duration) -> io::Result<bool> {
        let signalled_at = Instant::now();
        self.signal("-TERM").await?;
        let Some((mut child, started)) = self.process.lock().await.take() else { return Ok(false) };
        if let Ok(status) = timeout(max_wait, child.wait()).await {
            let status = status?;
            self.set_pid(None);
            let had_no_handler =
                status.signal() == Some(SIGTERM) && signalled_at < started + HANDLER_SETUP_MAX;
            return Ok(status.success() || had_no_handler);
        }
        child.kill().await?;
        self.set_pid(None);
        Ok(false)
    }

    /// Whether the process has ended by itself.
    ///
    /// # Errors
    ///
    /// When its status cannot be read.
    pub async fn has_ended(&self) -> io::Result<bool> {
        match self.process.lock().await.as_mut() {
            Some((child, _)) => Ok(child.try_wait()?.is_some()),
            None => Ok(false),
        }
    }
}
