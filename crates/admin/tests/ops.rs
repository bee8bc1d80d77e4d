//! Calls, figures and the book, without a socket or a clock.

use proptest::prelude::*;
use pumicehead_admin::book::{Book, BookError, Listed, MOST_LISTED, MOST_OUT, REMEMBERED_MS, Stand};
use pumicehead_admin::call::{Call, CallError, LONGEST_LINE, LONGEST_NAME};
use pumicehead_admin::figures::{Figures, Now, Outcome, count};

#[test]
fn calls_are_read_with_any_line_end() {
    for end in ["", "\n", "\r\n", "  \r\n"] {
        let read = |line: &str| Call::parse(format!("{line}{end}").as_bytes());
        assert_eq!(read("PING"), Ok(Call::Ping));
        assert_eq!(read("INFO"), Ok(Call::Info));
        assert_eq!(read("LAMEDUCK"), Ok(Call::LameDuck));
        assert_eq!(read("REJOIN"), Ok(Call::Rejoin));
        assert_eq!(read("DETACH s-1"), Ok(Call::Detach("s-1".into())));
        assert_eq!(read("ATTACH  s-1"), Ok(Call::Attach("s-1".into())));
    }
}

#[test]
fn what_is_no_call_has_one_clear_reason() {
    let read = |line: &str| Call::parse(line.as_bytes()).unwrap_err();
    assert_eq!(read("\r\n"), CallError::Empty);
    assert_eq!(read("DETACH"), CallError::NeedsServer("DETACH"));
    assert_eq!(read("ATTACH a b"), CallError::NeedsServer("ATTACH"));
    assert_eq!(read("PING me"), CallError::TakesNothing("PING"));
    assert_eq!(read("ping"), CallError::Unknown("ping".into()));
    assert_eq!(read("\u{1b}[2Jx"), CallError::Unknown("[2Jx".into()), "nothing that steers a terminal");
    assert_eq!(read(&format!("DETACH {}", "s".repeat(LONGEST_NAME + 1))), CallError::BadName);
    assert_eq!(read(&"x".repeat(LONGEST_LINE + 1)), CallError::TooLong);
    assert_eq!(Call::parse(b"DETACH \xff"), Err(CallError::NotText));
}

#[test]
fn figures_read_as_statsd_writes_them() {
    let figures = Figures::new(["board-read".to_owned(), "run-submit".to_owned()]);
    figures.ended(0, Outcome::Completed);
    figures.ended(0, Outcome::Completed);
    figures.ended(1, Outcome::Failed);
    figures.ended(1, Outcome::Rejected);
    figures.ended(2, Outcome::Completed);
    count(&figures.upstream_requests);
    let text = figures.text(Now { pending: 3, members: 8, members_unavailable: 1 });
    assert_eq!(
        text.lines().collect::<Vec<_>>(),
        [
            "node.downstream_requests.board-read.completed:2|c",
            "node.downstream_requests.board-read.rejected:0|c",
            "node.downstream_requests.board-read.failed:0|c",
            "node.downstream_requests.run-submit.completed:0|c",
            "node.downstream_requests.run-submit.rejected:1|c",
            "node.downstream_requests.run-submit.failed:1|c",
            "node.upstream_requests:1|c",
            "node.pending:3|g",
            "node.members:8|g",
            "node.members_unavailable:1|g",
            "node.config_reloads:0|c",
            "node.config_reload_errors:0|c",
        ]
    );
}

const NEVER_OUT: Stand = Stand::In { born_ms: 5 };

#[test]
fn a_server_is_out_until_the_call_back_and_returns_cold() {
    let mut book = Book::default();
    assert_eq!(book.stand("a", 5), NEVER_OUT);
    book.detach("a", 100).unwrap();
    book.detach("a", 200).unwrap();
    assert_eq!((book.stand("a", 5), book.stand("b", 5)), (Stand::Out, NEVER_OUT));
    // Whatever discovery says, also that it has started again.
    assert_eq!(book.stand("a", 150), Stand::Out);
    book.attach("a", 300);
    // Dated before it was taken out: nothing says when it was restarted, the call back is the latest.
    assert_eq!(book.stand("a", 5), Stand::In { born_ms: 300 });
    // Dated after that: the list knows of the restart.
    assert_eq!(book.stand("a", 150), Stand::In { born_ms: 150 });
    assert_eq!(book.stand("a", 400), Stand::In { born_ms: 400 });
    // One call back was enough, and another changes nothing.
    book.attach("a", 900);
    assert_eq!(book.stand("a", 5), Stand::In { born_ms: 300 });
    // Never out: a call back is no news of a restart.
    book.attach("b", 900);
    assert_eq!(book.stand("b", 5), NEVER_OUT);
    book.detach("a", 1_000).unwrap();
    assert_eq!(book.stand("a", 400), Stand::Out);
}

#[test]
fn the_book_is_bounded_and_forgets_returns_but_no_server_that_is_out() {
    let mut book = Book::default();
    for n in 0..MOST_OUT {
        book.detach(&format!("s{n}"), 1).unwrap();
    }
    assert_eq!(book.detach("more", 2), Err(BookError::Full));
    assert_eq!(book.detach("s7", 2), Ok(()), "it is out already");
    book.attach("s7", 10);
    assert_eq!(book.detach("more", 9 + REMEMBERED_MS), Err(BookError::Full));
    assert_eq!(book.detach("more", 10 + REMEMBERED_MS), Ok(()));
    assert_eq!(book.stand("s8", 0), Stand::Out);
}

#[test]
fn only_what_was_ever_listed_is_known() {
    let mut listed = Listed::default();
    assert_eq!(listed.check("a"), Err(BookError::NeverListed("a".into())));
    listed.add("a");
    assert_eq!(listed.check("a"), Ok(()));
    (0..MOST_LISTED).for_each(|n| listed.add(&format!("b{n}")));
    assert_eq!(listed.check("b7"), Ok(()));
    assert!(listed.check("a").is_err(), "bounded");
}

#[test]
fn damaged_texts_are_told_apart_and_taken_for_nothing() {
    for text in
        ["", "{", "[]", "{\"v\":2,\"servers\":{}}", "{\"v\":1}", "{\"v\":1,\"servers\":{\"a\":{\"out\":-1}}}"]
    {
        assert!(matches!(Book::parse(text.as_bytes()), Err(BookError::Text(_))), "{text}");
    }
    assert!(
        Book::parse(b"{\"v\":1,\"servers\":{},\"later\":1}").is_ok(),
        "fields of later versions are skipped"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is called in whatever order: the last call on a server decides, a text brings the same book back, and the
    /// birth of a server that came back is never before that of the list.
    #[test]
    fn the_last_call_decides(calls in prop::collection::vec((0..4u8, any::<bool>(), 1..1_000u64), 0..40), born in 0..2_000u64) {
        let mut book = Book::default();
        let (mut now, mut last) = (1_000, [None; 4]);
        for (server, out, later) in calls {
            now += later;
            let name = format!("s{server}");
            if out { book.detach(&name, now).unwrap() } else { book.attach(&name, now) }
            last[usize::from(server)] = Some(out);
        }
        for (server, last) in last.iter().enumerate() {
            match (book.stand(&format!("s{server}"), born), last) {
                (Stand::Out, out) => prop_assert_eq!(*out, Some(true)),
                (Stand::In { born_ms }, out) => {
                    prop_assert_ne!(*out, Some(true));
                    prop_assert!(born_ms >= born && born_ms <= now.max(born));
                }
            }
        }
        let again = Book::parse(book.text().as_bytes()).unwrap();
        prop_assert!(book.changed(&again).is_empty());
        prop_assert_eq!(again, book);
    }

    /// No bytes make the readers fail in another way than they say.
    #[test]
    fn any_bytes_can_be_read(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = Call::parse(&bytes);
        let _ = Book::parse(&bytes);
    }
}
