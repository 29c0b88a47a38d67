use super::*;

#[test]
fn objects_are_found_in_pieces_of_any_size_and_other_input_is_rejected() {
    let text = "\n{\"a\":[{\"b\":\"}\\\"]\\\\\"}]}\r\n\n  {\n  \"c\": [\n    1\n  ]\n}\n{}\n";
    for piece_bytes in 1..text.len() {
        let (mut objects, mut input, mut found) = (JsonObjectScanner::default(), BytesMut::new(), Vec::new());
        for piece in text.as_bytes().chunks(piece_bytes) {
            input.extend_from_slice(piece);
            while let Some(object) = objects.next(&mut input).unwrap() {
                found.push(String::from_utf8(object.to_vec()).unwrap());
            }
        }
        assert_eq!(found, ["{\"a\":[{\"b\":\"}\\\"]\\\\\"}]}", "{\n  \"c\": [\n    1\n  ]\n}", "{}"]);
        assert!(input.trim_ascii().is_empty());
    }
    for text in ["]", "nonsense", "\"{}\"", "{} x"] {
        let (mut objects, mut input) = (JsonObjectScanner::default(), BytesMut::from(text));
        let _ = objects.next(&mut input).and_then(|_| objects.next(&mut input)).unwrap_err();
    }
}
