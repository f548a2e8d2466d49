//! Guards against requests that are lost around a planned stop of a VM's process, and against stops whose log does not tell what
//! became of them.

use std::{fs, path::PathBuf, time::Duration};

use lw_standin::hosted::{
    caller::{Caller, CallerRequest, request},
    upstream::{Behaviour, Upstream},
};
use tokio::time::{sleep, timeout};

mod platform;

use platform::{Deployment, SERVICE, start};

/// `GraceS` of the settings: time from SIGTERM to the kill.
const GRACE: Duration = Duration::from_secs(8);

/// A VM whose plain service is a stand-in.
struct Simulation {
    deployment: Deployment,
    service: Upstream,
    dir: PathBuf,
}

impl Simulation {
    async fn start(name: &str, number: usize) -> Self {
        let dir = std::env::temp_dir().join(format!("lw-stops-{name}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("directory is created");
        let service = Upstream::start(SERVICE).await.expect("service starts");
        let deployment = start(&dir, number, service.addr()).await;
        Self { deployment, service, dir }
    }

    /// Sends SIGTERM and waits until the process has ended, or kills it at the end of its grace. Returns whether it ended by
    /// itself.
    async fn stop(&self) -> bool {
        self.deployment.vm.drain(GRACE).await.expect("process is stopped")
    }

    fn log(&self) -> String {
        fs::read_to_string(&self.deployment.vm.log).expect("log is read")
    }

    /// Returns the log lines that name a request.
    fn lines_of(&self, id: &str) -> String {
        let id = format!("request={id} ");
        self.log().lines().filter(|line| line.contains(&id)).collect::<Vec<_>>().join("\n")
    }

    async fn connect(&self) -> Caller {
        Caller::connect(self.deployment.vm.place.callers).await.expect("connection")
    }

    fn is_received(&self, id: &str) -> bool {
        let received = self.service.received();
        received.iter().any(|got| got.request.header("x-attempt-id") == Some(id))
    }
}

impl Drop for Simulation {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            fs::remove_dir_all(&self.dir).expect("logs are removed");
        }
    }
}

/// Returns a request whose body takes until after the end of a process that stops.
fn long_request(id: &str) -> CallerRequest {
    CallerRequest { deadline_ms: 12_000, body: vec![b'x'; 100], ..request(id, "/book/x") }
}

/// Sends a request whose body arrives one byte after the other, until the connection has ended for a while.
async fn send_slowly(mut caller: Caller, req: &CallerRequest) {
    let bytes = req.bytes();
    let (head, body) = bytes.split_at(bytes.len() - req.body.len());
    caller.send_bytes(head).await;
    for byte in body {
        caller.send_bytes(&[*byte]).await;
        sleep(Duration::from_millis(300)).await;
    }
}

/// Guards against requests that the end of the process cuts and that the log attributes to callers who left.
#[tokio::test]
async fn requests_cut_by_the_end_of_the_process_are_not_logged_as_left_by_their_callers() {
    let simulation = Simulation::start("cut", 1).await;
    simulation.service.set_behaviour(Behaviour::NoAnswer);
    let mut left = simulation.connect().await;
    left.send(&long_request("left")).await;
    let cut = tokio::spawn({
        let caller = simulation.connect().await;
        async move { send_slowly(caller, &long_request("cut")).await }
    });
    sleep(Duration::from_millis(100)).await;
    let leave = async {
        sleep(Duration::from_millis(300)).await;
        drop(left);
    };
    let (has_ended, ()) = tokio::join!(simulation.stop(), leave);
    cut.abort();
    assert!(has_ended);
    let lines = simulation.lines_of("cut");
    assert!(!lines.contains("caller left"), "{lines}");
    assert!(lines.contains("WARN"), "{}", simulation.log());
    let lines = simulation.lines_of("left");
    assert!(lines.contains("WARN") && lines.contains("caller left"), "{}", simulation.log());
}

/// Guards against a stop whose log does not tell how the requests of that time ended.
#[tokio::test]
async fn a_stop_is_logged_with_the_ends_of_its_requests() {
    let simulation = Simulation::start("account", 2).await;
    simulation.service.set_behaviour(Behaviour::Slow(Duration::from_millis(400)));
    let mut caller = simulation.connect().await;
    caller.send(&request("answered", "/look/x")).await;
    sleep(Duration::from_millis(100)).await;
    let (has_ended, answer) = tokio::join!(simulation.stop(), caller.read_answer());
    assert!(has_ended && answer.is_some_and(|answer| answer.is_complete));
    let log = simulation.log();
    let line = log.lines().find(|line| line.contains("run: ended")).expect("the end is logged");
    assert!(line.contains("taken=0 ends=\"ok 1\""), "{line}");
}

/// Guards against requests that are closed without an answer since their bodies were still arriving when the process ended.
#[tokio::test]
async fn a_request_whose_body_outlasts_its_vm_is_refused_and_not_cut() {
    let simulation = Simulation::start("body", 3).await;
    let mut caller = simulation.connect().await;
    let req = long_request("arriving");
    let bytes = req.bytes();
    let exchange = async {
        let (head, body) = bytes.split_at(bytes.len() - req.body.len());
        caller.send_bytes(head).await;
        for byte in body {
            caller.send_bytes(&[*byte]).await;
            let answer = timeout(Duration::from_millis(300), caller.read_answer()).await;
            if let Ok(answer) = answer {
                return answer;
            }
        }
        None
    };
    let stop = async {
        sleep(Duration::from_millis(100)).await;
        simulation.stop().await
    };
    let (answer, has_ended) = tokio::join!(exchange, stop);
    assert!(has_ended);
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (503, true), "{}", answer.head);
    assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    assert!(!simulation.is_received("arriving"));
}

/// Guards against a VM that stood still when the signal to terminate came, counts the time since it noticed it, and takes
/// requests that the kill cuts although their callers sent them more than 3 s after the signal.
#[tokio::test]
async fn a_vm_that_stood_still_at_the_signal_takes_no_requests_that_the_kill_cuts() {
    let simulation = Simulation::start("late", 4).await;
    simulation.service.set_behaviour(Behaviour::Slow(Duration::from_millis(5_500)));
    // The process does not end before this one is answered.
    let mut early = simulation.connect().await;
    early.send(&CallerRequest { deadline_ms: 6_000, ..request("early", "/look/x") }).await;
    sleep(Duration::from_millis(200)).await;
    let vm = &simulation.deployment.vm;
    let pid = vm.suspend().await.expect("process is stopped");
    let callers = async {
        sleep(Duration::from_millis(1_200)).await;
        vm.resume(pid).await.expect("process goes on");
        // Later than the time from the signal for which a request may be cut, and sooner than that from when it was noticed.
        sleep(Duration::from_secs(2)).await;
        let mut caller = simulation.connect().await;
        let req = CallerRequest { deadline_ms: 6_000, ..request("late", "/look/x") };
        caller.send(&req).await;
        caller.read_answer().await
    };
    let (_, answer) = tokio::join!(simulation.stop(), callers);
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (503, true), "{}", answer.head);
    assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    assert!(!simulation.is_received("late"));
}
