use super::*;
use crate::run::temporary_dir;

/// Guards what becomes of files: the same for a seed, gone where that is asked, and no other node's.
#[test]
fn files_are_damaged_as_the_fault_says() {
    let work_dir = temporary_dir("files").unwrap();
    let damage = |file_fault: FileFault| {
        for node in 0..2 {
            let node_dir = work_dir.join(format!("n{node}"));
            fs::create_dir_all(&node_dir).unwrap();
            fs::write(node_dir.join("a.rec"), [7; 500]).unwrap();
        }
        let mut files = NodeFiles::new(&work_dir, 3);
        files.damage(0, file_fault).unwrap();
        assert_eq!(fs::read(work_dir.join("n1/a.rec")).unwrap(), [7; 500]);
        (fs::read(work_dir.join("n0/a.rec")).ok(), files.damaged.len())
    };
    assert_eq!(damage(FileFault::Intact), (Some(vec![7; 500]), 0));
    assert_eq!(damage(FileFault::Removed), (None, 0));
    let (truncated, damaged) = damage(FileFault::Truncated);
    assert!(truncated.as_ref().unwrap().len() < 500 && damaged == 1);
    assert_eq!(damage(FileFault::Truncated).0, truncated);
    let flipped = damage(FileFault::BytesFlipped).0.unwrap();
    let changed = flipped.iter().filter(|byte| **byte != 7).count();
    assert!(flipped.len() == 500 && (1..=MAX_FLIPPED_BYTES).contains(&changed), "{changed}");
    fs::remove_dir_all(&work_dir).unwrap();
}
