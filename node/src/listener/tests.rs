use super::*;

#[tokio::test]
async fn a_second_balancer_listens_beside_the_first_and_takes_over_its_clients() {
    let first = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = first.local_addr().unwrap();
    let second = listen(address).expect("a second process must be able to listen at the same address");
    drop(first);
    // With the first listener closed, new connections reach the second.
    let client = tokio::net::TcpStream::connect(address).await.unwrap();
    let (_, from) = second.accept().await.unwrap();
    assert_eq!(from, client.local_addr().unwrap());
}
