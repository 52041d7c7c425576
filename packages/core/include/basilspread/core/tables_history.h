#ifndef BASILSPREAD_CORE_TABLES_HISTORY_H_
#define BASILSPREAD_CORE_TABLES_HISTORY_H_

#include <optional>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/record.h"

namespace basilspread {

/// The stream that operators publish tables on.
StreamName TablesStream();

/// Decision on one edit, as given by the order of the log.
struct TablesDecision {
  Offset offset;
  TablesRecord record;
  /// False if an earlier edit of the same base version was accepted instead.
  bool accepted = false;
  /// Newest accepted version after this decision.
  TablesVersion version;
};

using TablesDecisions = std::vector<TablesDecision>;

/// Decides which edits of the tables stream are accepted. All readers reach the
/// same decisions, whatever part of the stream the log still retains. An edit
/// can be decided only after every record before it has been read, or after a
/// checkpoint that covers the trimmed records; until then edits are deferred.
class TablesHistory {
 public:
  /// To be called before the records of each read. Detects records that the
  /// log trimmed before this reader had read them.
  void BeginRead(Offset from, Offset first_kept);
  TablesDecisions OnEdit(Offset offset, const TablesRecord& record);
  TablesDecisions OnCheckpoint(const TablesCheckpointRecord& checkpoint);
  /// To be called when a read has reached the end of the stream.
  TablesDecisions OnEnd();

  /// Whether edits can be decided now.
  bool can_decide() const { return this->decidable; }
  /// Newest accepted version; 0 when none is known.
  TablesVersion version() const { return this->newest_version; }
  /// The edit that created the newest version.
  const TablesRecord& record() const { return this->source; }

 private:
  struct UndecidedEdit {
    Offset offset;
    TablesRecord record;
  };

  TablesDecision DecideEdit(const UndecidedEdit& edit);
  TablesDecisions DecideUndecidedEdits(Offset covered);
  TablesDecisions ApplyCheckpoint(const TablesCheckpointRecord& checkpoint);

  bool decidable = false;
  /// Every record from this offset on has been read without a gap.
  std::optional<Offset> contiguous_from;
  TablesVersion newest_version;
  TablesRecord source;
  /// Edits before this offset were decided by the writer of the newest
  /// checkpoint; used while edits cannot be decided.
  Offset checkpoint_covered;
  std::vector<UndecidedEdit> undecided;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_TABLES_HISTORY_H_
