//! Clients on loopback that read slowly what the system has taken of their answers.

use tokio::task::JoinHandle;

use super::*;

const VALUE_BYTES: usize = 1 << 20;
const READ: &str = "mg k v O1 Pc=read,d=480\r\n";
/// Enough for the system to take a whole value from a connection that the client does not read.
const WRITE_TIME: Duration = Duration::from_millis(500);

struct Case {
    recorder: Rc<RecordingTransport>,
    downstream: Rc<Downstream>,
    client: TcpStream,
    task: JoinHandle<io::Result<()>>,
}

impl Case {
    /// A connection whose client has sent these requests, the first of which is a read that has been answered with a long
    /// value. The client has read nothing.
    async fn start(requests: &str) -> Case {
        let (mut client, stream) = loopback().await;
        // Room for the whole value, whatever the system's limits for buffers that grow.
        socket2::SockRef::from(&stream.0).set_send_buffer_size(2 * VALUE_BYTES).unwrap();
        socket2::SockRef::from(&client).set_recv_buffer_size(1 << 14).unwrap();
        let recorder = Rc::new(RecordingTransport::default());
        let downstream = downstream(&recorder);
        let task = spawn_local(serve(Rc::clone(&downstream), stream));
        client.write_all(requests.as_bytes()).await.unwrap();
        let case = Case { recorder, downstream, client, task };
        case.answer(Answer::Value(vec![b'v'; VALUE_BYTES].into())).await;
        sleep(WRITE_TIME).await;
        case
    }

    /// Answers the next attempt.
    async fn answer(&self, answer: Answer) {
        while self.recorder.started_attempts.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        let attempt = self.recorder.started_attempts.borrow_mut().remove(0);
        self.downstream.dispatcher.on_attempt_ended(attempt.id, AttemptEnd::Reply(Reply::Served(answer)));
    }
}

fn answers(second: &str) -> Vec<u8> {
    let head = format!("VA {VALUE_BYTES} O1\r\n");
    [head.as_bytes(), &[b'v'; VALUE_BYTES], b"\r\n", second.as_bytes()].concat()
}

/// Guards against a value that is cut off by the close of its connection: the client has received only a part of what the
/// system has taken, and its next request would reset a closed connection.
#[test]
fn a_connection_is_not_idle_while_its_client_receives_an_answer() {
    testing::run_on_sockets(async {
        let mut case = Case::start(READ).await;
        case.downstream.shutdown.begin_closing();
        sleep(WRITE_TIME).await;
        assert!(!case.task.is_finished(), "closed with a value in transit");
        case.client.write_all(b"mg k v O2 Pc=read,d=480\r\n").await.unwrap();
        case.answer(Answer::Value("s".into())).await;
        let mut received = Vec::new();
        case.client.read_to_end(&mut received).await.unwrap();
        assert!(received == answers("VA 1 O2\r\ns\r\n"), "{} bytes", received.len());
    });
}

/// As above, where the connection ends because its client sends no more requests.
#[test]
fn a_connection_that_takes_no_more_requests_delivers_its_answers() {
    testing::run_on_sockets(async {
        let mut case = Case::start(&format!("{READ}quit\r\n")).await;
        sleep(LINGER_TIMEOUT + WRITE_TIME).await;
        assert!(!case.task.is_finished(), "closed with a value in transit");
        case.client.write_all(b"mg k v O2 Pc=read,d=480\r\n").await.unwrap();
        let mut received = Vec::new();
        case.client.read_to_end(&mut received).await.unwrap();
        assert!(received == answers(""), "{} bytes", received.len());
        case.task.await.unwrap().unwrap();
    });
}
