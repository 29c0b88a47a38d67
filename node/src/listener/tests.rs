use super::*;

#[tokio::test]
async fn a_second_listener_on_the_address_receives_clients_once_the_first_is_closed() {
    let first = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = first.local_addr().unwrap();
    let second = listen(address).expect("a second process must be able to listen at the same address");
    drop(first);
    // With the first listener closed, new connections reach the second.
    let client = tokio::net::TcpStream::connect(address).await.unwrap();
    let (_, client_address) = second.accept().await.unwrap();
    assert_eq!(client_address, client.local_addr().unwrap());
}
