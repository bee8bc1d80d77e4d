//! Unit tests of `bounded_text`.

use super::*;

#[test]
fn untrusted_names_match_and_are_escaped() {
    let long = "\u{1b}[2J\"x\n".repeat(10_000);
    let name = BoundedName::new(&long);
    assert!(name.prefix.len() <= MAX_NAME_BYTES && name.matches(&long) && !name.matches(&long[1..]));
    assert!(
        name.display().chars().all(|character| !character.is_control()) && name.display().ends_with("...")
    );
    assert_eq!(BoundedName::new("9b1f").display(), "9b1f");
    assert_eq!(escape_html("<a href='x'>&\"\u{202e}"), "&lt;a href=&#39;x&#39;&gt;&amp;\\\"\\u{202e}");
    let multibyte = BoundedName::new(&"é".repeat(40));
    assert!(multibyte.prefix.len() <= MAX_NAME_BYTES);
}
