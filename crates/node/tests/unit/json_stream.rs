use super::*;

const STREAM: &str = "\n{\"seq\":1}\n\n  {\n  \"seq\": 2,\n\n  \"hosts\": [\n    {\"host\": \"a}\\\"]{\"}\n  ]\n}{\"seq\":3}\r\n\t{}";

fn all(pieces: &[&[u8]]) -> Vec<Vec<u8>> {
    let mut documents = JsonStream::default();
    let whole = pieces.iter().flat_map(|piece| documents.push(piece));
    let whole = whole.map(|document| document.unwrap().to_vec()).collect();
    assert!(!documents.is_inside_object());
    whole
}

/// Guards lists that come indented, with empty lines inside, several in one piece, and cut at every byte.
#[test]
fn documents_are_found_however_they_are_cut() {
    let stream = STREAM.as_bytes();
    let whole = all(&[stream]);
    assert_eq!(whole.len(), 4);
    assert!(whole[1].starts_with(b"{\n") && whole[1].ends_with(b"\n}"));
    for at in 0..=stream.len() {
        assert_eq!(all(&[&stream[..at], &stream[at..]]), whole, "cut at {at}");
    }
    assert_eq!(all(&stream.chunks(1).collect::<Vec<_>>()), whole);
}

/// Guards the memory of a node from a list without an end, and its list from what is none.
#[test]
fn what_is_no_document_is_a_fault() {
    let mut documents = JsonStream::default();
    let taken = documents.push(b"{} nonsense {}");
    assert_eq!(taken.len(), 2);
    assert_eq!(taken[1], Err(JsonStreamError::NotAnObject));
    let mut documents = JsonStream::default();
    assert!(documents.push(b"{\"hosts\":[").is_empty() && documents.is_inside_object());
    let piece = vec![b' '; 1 << 20];
    let fault = (0..5).find_map(|_| documents.push(&piece).pop());
    assert_eq!(fault, Some(Err(JsonStreamError::TooLong)));
}
