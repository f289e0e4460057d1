//! The daemon as a process: signals and exit codes.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use cactusdoor_operator::OperatorClient;
use cactusdoor_peer::wire::connect_entry;
use support::agent::{Behaviour, FakeAgent};
use support::entry::{plan_items, update};
use support::log::FakeLog;
use support::{EVENT_TIMEOUT, eventually};

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A child process that does not outlive its test.
struct TestProcess(Child);

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl TestProcess {
    fn start(settings: &str, name: &str) -> Self {
        // Concurrent test runs may share the directory.
        let name = format!("{}-{name}", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_cactusdoor-entry"));
        let command = command.arg("--settings").arg(path).stderr(Stdio::null());
        Self(command.spawn().unwrap())
    }

    fn terminate(&self) {
        let id = self.0.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    }

    async fn ended(&mut self) -> ExitStatus {
        let child = std::cell::RefCell::new(&mut self.0);
        eventually("end of process", async || child.borrow_mut().try_wait().unwrap()).await
    }
}

/// Guards against a SIGTERM that interrupts a request in progress or leaves the
/// process running.
#[actix::test]
async fn sigterm_finishes_the_request_in_progress() {
    let log = FakeLog::open();
    let agent = FakeAgent::open("vm1").await;
    let [peer, operator, callers] = [(); 3].map(|()| free_address());
    let settings = format!(
        "[process]\nname=entry1\nvm=vm0\ndata_centre=dc1\nrack=r1\npeer_address={peer}\n\
         operator_address={operator}\n[log]\naddress={}\n[shards]\ndata_centres=dc1\n\
         [callers]\naddress={callers}\n[logging]\nlevel=error\n",
        log.address
    );
    let mut process = TestProcess::start(&settings, "sigterm.ini");
    let operators = OperatorClient::open(operator);
    let items = || plan_items("koperasi", 100);
    eventually("first change", async || operators.change(items()).await.ok()).await;
    let (client, dispatch) = connect_entry(peer).await.unwrap();
    actix_rt::spawn(dispatch);
    let members = vec![agent.member("dc1")];
    let reply = client.roster(tarpc::context::current(), update(1, 1, true, members)).await;
    assert_eq!(reply.unwrap().entries, [peer]);

    agent.set_behaviour(Behaviour::Slow(300));
    let url = format!("http://{callers}/v1/services/minutes/requests");
    let http = awc::Client::builder().timeout(EVENT_TIMEOUT).finish();
    let request = http.post(url).insert_header(("X-Plan", "koperasi")).send_body("x");
    let stop = async {
        eventually("request in progress", async || (agent.calls() > 0).then_some(())).await;
        process.terminate();
    };
    let (reply, ()) = futures::join!(request, stop);
    assert_eq!(reply.unwrap().body().await.unwrap(), "echo:x");
    assert!(process.ended().await.success());
}

/// Guards against a daemon that starts with invalid settings.
#[actix::test]
async fn invalid_settings_end_the_process() {
    let mut process = TestProcess::start("[process]\nname=a b\n", "faulty.ini");
    assert_eq!(process.ended().await.code(), Some(1));
}
