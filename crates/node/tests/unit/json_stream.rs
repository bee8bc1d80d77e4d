use super::*;

const STREAM: &str = "\n{\"seq\":1}\n\n  {\n  \"seq\": 2,\n\n  \"hosts\": [\n    {\"host\": \"a}\\\"]{\"}\n  ]\n}{\"seq\":3}\r\n\t{}";

fn split_all(chunks: &[&[u8]]) -> Vec<Vec<u8>> {
    let mut stream = JsonStream::default();
    let objects = chunks.iter().flat_map(|chunk| stream.push(chunk));
    let objects = objects.map(|object| object.unwrap().to_vec()).collect();
    assert!(!stream.is_inside_object());
    objects
}

/// Objects may be indented, contain empty lines, share a chunk, and be split between chunks at any byte.
#[test]
fn objects_are_found_for_all_chunk_boundaries() {
    let stream = STREAM.as_bytes();
    let whole = split_all(&[stream]);
    assert_eq!(whole.len(), 4);
    assert!(whole[1].starts_with(b"{\n") && whole[1].ends_with(b"\n}"));
    for at in 0..=stream.len() {
        assert_eq!(split_all(&[&stream[..at], &stream[at..]]), whole, "split at {at}");
    }
    assert_eq!(split_all(&stream.chunks(1).collect::<Vec<_>>()), whole);
}

/// A list that never ends must not exhaust memory.
#[test]
fn text_outside_objects_and_endless_objects_are_errors() {
    let mut stream = JsonStream::default();
    let results = stream.push(b"{} nonsense {}");
    assert_eq!(results.len(), 2);
    assert_eq!(results[1], Err(JsonStreamError::NotAnObject));
    let mut stream = JsonStream::default();
    assert!(stream.push(b"{\"hosts\":[").is_empty() && stream.is_inside_object());
    let chunk = vec![b' '; 1 << 20];
    let error = (0..5).find_map(|_| stream.push(&chunk).pop());
    assert_eq!(error, Some(Err(JsonStreamError::TooLong)));
}
