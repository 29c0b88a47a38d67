//! Addresses that stay reserved.

use super::*;

#[tokio::test]
async fn address_refuses_while_nobody_listens_and_listens_again_at_its_port() {
    let reserved = ReservedAddress::new().unwrap();
    assert!(TcpStream::connect(reserved.address()).await.is_err());
    let listener = reserved.listen().unwrap();
    assert!(TcpStream::connect(reserved.address()).await.is_ok());
    drop(listener);
    // A process that another test starts in this moment has the listener, too, until its own program begins.
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
