//! Tests of reserved addresses.

use super::*;

#[tokio::test]
async fn reserved_address_refuses_connections_without_a_listener_and_reopens_at_its_port() {
    let reserved = ReservedAddress::new().unwrap();
    assert!(TcpStream::connect(reserved.address()).await.is_err());
    let listener = reserved.listen().unwrap();
    assert!(TcpStream::connect(reserved.address()).await.is_ok());
    drop(listener);
    // A child process that another test forks at this moment inherits the listener and keeps it open until its exec.
    let mut refused = false;
    for _ in 0..100 {
        refused = refused || TcpStream::connect(reserved.address()).await.is_err();
        if refused {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert!(refused);
    let _again = reserved.listen().unwrap();
    assert!(TcpStream::connect(reserved.address()).await.is_ok());
}
