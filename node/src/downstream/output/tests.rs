use super::*;

/// Appends lines and values of these lengths in turn; returns the queue and the bytes that it has to write.
fn filled(lengths: &[usize]) -> (OutputQueue, Vec<u8>) {
    let (mut queue, mut expected) = (OutputQueue::default(), Vec::new());
    for (position, length) in lengths.iter().enumerate() {
        let bytes = vec![position as u8; *length];
        if position % 2 == 0 {
            queue.lines().extend_from_slice(&bytes);
        } else {
            queue.push(Bytes::from(bytes.clone()));
        }
        expected.extend(bytes);
    }
    (queue, expected)
}

/// Guards against bytes that are lost, repeated or written in another order, wherever a write ends.
#[test]
fn bytes_are_written_once_and_in_order() {
    let long = MAX_COPIED_VALUE_BYTES + 1;
    for lengths in [vec![], vec![5], vec![5, long, 2, 7, 3, long, 0, long], vec![0, long], vec![4, 0, 4]] {
        for piece in [1, 7, long, 4 * long] {
            let (mut queue, expected) = filled(&lengths);
            let mut written = Vec::new();
            while !queue.is_empty() {
                let mut slices = [IoSlice::new(&[]); 4];
                let count = queue.chunks_vectored(&mut slices);
                assert_eq!(&slices[0][..], queue.chunk());
                let available: Vec<u8> = slices[..count].iter().flat_map(|slice| slice.to_vec()).collect();
                assert!(expected[written.len()..].starts_with(&available));
                let length = piece.min(available.len());
                written.extend_from_slice(&available[..length]);
                queue.advance(length);
                assert_eq!(queue.len(), expected.len() - written.len());
            }
            assert_eq!(written, expected, "{lengths:?} in pieces of {piece}");
        }
    }
}

/// Guards against a connection that keeps the memory of answers that its client has read.
#[test]
fn nothing_is_kept_once_all_is_written() {
    let (mut queue, expected) = filled(&[100, MAX_COPIED_VALUE_BYTES + 1, 100, 100]);
    queue.advance(expected.len());
    queue.release_if_empty();
    assert_eq!((queue.lines.capacity(), queue.parts.capacity()), (0, 0));
}
