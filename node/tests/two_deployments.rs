//! Two deployments in one process, each with its own classes, tenants, deadlines and attempts.

use std::rc::Rc;

use juniperladder::Micros;
use juniperladder_dispatch::dispatcher::{Attempt, AttemptEnd, Dispatcher};
use juniperladder_dispatch::testing::{self, RecordingTransport};
use juniperladder_node::buffer_pool::BufferPool;
use juniperladder_node::config::Config;
use juniperladder_node::downstream::Downstream;
use juniperladder_node::resource_limits::ResourceLimits;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const FIRST_SETTINGS: &str = r#"
    "categories":[{"name":"read","aim":500000,"effect":"pure","give-up":900000,"worth":1},
      {"name":"put","aim":900000,"effect":"token","give-up":3000000,"window":6000000,"worth":1}],
    "orgs":[{"name":"acme","allowance-per-s":5}],
    "limits":{"conn-idle":5000000,"connect-timeout":250000,"max-attempts":3,"may-duplicate":true}"#;
const SECOND_SETTINGS: &str = r#"
    "categories":[{"name":"put","aim":200000,"effect":"side_effect","give-up":400000,"worth":1},
      {"name":"list","aim":500000,"effect":"pure","give-up":700000,"worth":1}],
    "orgs":[{"name":"beta","allowance-per-s":5},{"name":"acme","allowance-per-s":5}],
    "limits":{"conn-idle":3000000,"connect-timeout":150000,"max-attempts":1,"may-duplicate":false}"#;

/// A deployment and a client of it.
struct Deployment {
    dispatcher: Rc<Dispatcher>,
    recorder: Rc<RecordingTransport>,
    client: BufStream<TcpStream>,
}

impl Deployment {
    async fn new(settings: &str) -> Deployment {
        let text = format!(
            r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{{{settings},
            "kinds":["a"],"zones":["x"],"tick":5000,"rules":{{"ask-within":10000000,"warm-up":9000000}}}}}}"#
        );
        let config = Config::parse(text.into()).unwrap();
        let recorder = Rc::new(RecordingTransport::default());
        let dispatcher = testing::dispatcher(config.settings, recorder.clone(), 3);
        let timer_dispatcher = Rc::clone(&dispatcher);
        spawn_local(async move { timer_dispatcher.run_timers().await });
        let resource_limits = ResourceLimits::from_configured(config.resource_limits, 1);
        let downstream = Downstream::new(
            Rc::clone(&dispatcher),
            config.labels,
            Rc::default(),
            resource_limits,
            BufferPool::new(resource_limits.pool_bytes),
            testing::log(),
        );
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        spawn_local(downstream.accept(listener));
        Deployment { dispatcher, recorder, client: BufStream::new(client) }
    }

    async fn send(&mut self, line: &str) {
        self.client.write_all(line.as_bytes()).await.unwrap();
        self.client.flush().await.unwrap();
    }

    async fn read_answer(&mut self) -> String {
        let mut line = String::new();
        self.client.read_line(&mut line).await.unwrap();
        line
    }

    async fn next_attempt(&self) -> Attempt {
        loop {
            if let Some(attempt) = self.recorder.started_attempts.borrow_mut().pop() {
                return attempt;
            }
            tokio::task::yield_now().await;
        }
    }
}

#[test]
fn each_deployment_has_its_own_classes_tenants_and_attempts() {
    testing::run_on_sockets(async {
        let (mut first, mut second) =
            (Deployment::new(FIRST_SETTINGS).await, Deployment::new(SECOND_SETTINGS).await);
        // The same request has a different class, tenant and deadline in each deployment.
        let line = "ms 7f3a9c21e0b4d655 1 O1 Pc=put,t=acme,d=60000,k=5c0f6e1a2b3d4c59\r\nv\r\n";
        first.send(line).await;
        second.send(line).await;
        let (attempt_of_first, attempt_of_second) = (first.next_attempt().await, second.next_attempt().await);
        assert_eq!((attempt_of_first.request.class, attempt_of_first.request.tenant), (1, 0));
        assert_eq!((attempt_of_second.request.class, attempt_of_second.request.tenant), (0, 1));
        let time_left = |deployment: &Deployment, attempt: &Attempt| {
            attempt.deadline.saturating_sub(deployment.dispatcher.clock().now())
        };
        let (time_left_of_first, time_left_of_second) =
            (time_left(&first, &attempt_of_first), time_left(&second, &attempt_of_second));
        assert!(
            time_left_of_first > Micros(400_000) && time_left_of_first < Micros(3_000_000),
            "{time_left_of_first:?}"
        );
        assert!(time_left_of_second < Micros(400_000), "{time_left_of_second:?}");
        // After a broken attempt, the first deployment retries a write with an idempotency key; the second has no retries.
        first.dispatcher.on_attempt_ended(attempt_of_first.id, AttemptEnd::Broken);
        second.dispatcher.on_attempt_ended(attempt_of_second.id, AttemptEnd::Broken);
        assert_eq!(first.next_attempt().await.request.id, "1");
        assert_eq!(second.read_answer().await, "SERVER_ERROR failed\r\n");
        assert!(second.recorder.started_attempts.borrow().is_empty());
        // Neither knows the other's classes or tenants. A request without a known tenant is served, and counts for no tenant.
        first.send("mg k v O2 Pc=list,t=acme,d=500\r\n").await;
        second.send("mg k v O2 Pc=read,t=acme,d=500\r\n").await;
        assert_eq!(second.read_answer().await, "CLIENT_ERROR unknown class\r\n");
        first.send("mg k v O3 Pc=read,t=beta,d=500\r\n").await;
        second.send("mg k v O3 Pc=list,d=500\r\n").await;
        assert_eq!(
            first.next_attempt().await.request.tenant,
            1,
            "a request of an unknown tenant has another index than the one after the only tenant"
        );
        assert_eq!(
            second.next_attempt().await.request.tenant,
            2,
            "a request without a tenant has another index than the one after both tenants"
        );
    });
}
