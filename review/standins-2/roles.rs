//! The stand-ins that run as processes of their own.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::thread;
use std::time::Duration;

use super::origin::read_head;

/// Plays the role with this name; does not return.
pub fn play(role: &str, arguments: &[String]) -> ! {
    thread::spawn(|| {
        let mut input = [0];
        while matches!(std::io::stdin().read(&mut input), Ok(1..)) {}
        std::process::exit(0);
    });
    match role {
        "cache" => super::memcache_server::serve(arguments),
        "origin" => super::origin::serve(arguments),
        "discovery" => {
            let list = arguments.join(",");
            serve(move |stream| discovery(stream, &list))
        }
        _ => {
            eprintln!("no role {role}");
            std::process::exit(2);
        }
    }
}

/// Prints a line for the record.
pub fn tell(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{text}");
    let _ = output.flush();
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets how many bytes the system takes for a connection of this listener before it is read.
fn set_receive_buffer(listener: &TcpListener, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the descriptor is open, and the value is an integer of the stated size.
    unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// Accepts connections, each served by a thread of its own.
pub fn serve(handle: impl Fn(TcpStream) -> std::io::Result<()> + Send + Sync + 'static) -> ! {
    serve_with(None, handle)
}

pub fn serve_with(
    receive_buffer: Option<i32>,
    handle: impl Fn(TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) -> ! {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    if let Some(bytes) = receive_buffer {
        set_receive_buffer(&listener, bytes);
    }
    println!("{}", listener.local_addr().expect("an address"));
    let handle = std::sync::Arc::new(handle);
    loop {
        let Ok((stream, _)) = listener.accept() else { continue };
        let _ = stream.set_nodelay(true);
        let handle = std::sync::Arc::clone(&handle);
        thread::spawn(move || {
            let _ = handle(stream);
        });
    }
}

/// Discovery, whose list never changes.
fn discovery(stream: TcpStream, list: &str) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(head) = read_head(&mut reader)? {
        let object = format!("{{\"generation\":1,\"reset\":true,\"instances\":[{list}]}}\n");
        if !head.first_line.contains("follow=1") {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{object}", object.len());
            writer.write_all(answer.as_bytes())?;
            continue;
        }
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        write_chunk(&mut writer, &object)?;
        loop {
            thread::sleep(Duration::from_secs(2));
            write_chunk(&mut writer, "\n")?;
        }
    }
    Ok(())
}

fn write_chunk(writer: &mut TcpStream, text: &str) -> std::io::Result<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
