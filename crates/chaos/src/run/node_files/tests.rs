use super::*;
use crate::run::temporary_dir;

/// Damage must be reproducible for a seed, must be marked except for removed files, and must not affect other nodes.
#[test]
fn file_faults_damage_only_the_files_of_their_node() {
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
