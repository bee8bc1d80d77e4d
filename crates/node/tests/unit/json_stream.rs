use super::*;

const STREAM: &str = "\n{\"seq\":1}\n\n  {\n  \"seq\": 2,\n\n  \"hosts\": [\n    {\"host\": \"a}\\\"]{\"}\n  ]\n}{\"seq\":3}\r\n\t{}";

fn all(pieces: &[&[u8]]) -> Vec<Vec<u8>> {
    let mut stream = JsonStream::default();
    let objects = pieces.iter().flat_map(|piece| stream.push(piece));
    let objects = objects.map(|object| object.unwrap().to_vec()).collect();
    assert!(!stream.is_inside_object());
    objects
}

/// Objects may be indented, with empty lines inside, several in one piece, and cut at every byte.
#[test]
fn objects_are_found_however_the_stream_is_cut() {
    let stream = STREAM.as_bytes();
    let whole = all(&[stream]);
    assert_eq!(whole.len(), 4);
    assert!(whole[1].starts_with(b"{\n") && whole[1].ends_with(b"\n}"));
    for at in 0..=stream.len() {
        assert_eq!(all(&[&stream[..at], &stream[at..]]), whole, "cut at {at}");
    }
    assert_eq!(all(&stream.chunks(1).collect::<Vec<_>>()), whole);
}

/// A list without an end must not exhaust memory.
#[test]
fn text_outside_objects_and_endless_objects_are_errors() {
    let mut stream = JsonStream::default();
    let taken = stream.push(b"{} nonsense {}");
    assert_eq!(taken.len(), 2);
    assert_eq!(taken[1], Err(JsonStreamError::NotAnObject));
    let mut stream = JsonStream::default();
    assert!(stream.push(b"{\"hosts\":[").is_empty() && stream.is_inside_object());
    let piece = vec![b' '; 1 << 20];
    let fault = (0..5).find_map(|_| stream.push(&piece).pop());
    assert_eq!(fault, Some(Err(JsonStreamError::TooLong)));
}
