#ifndef BASILSPREAD_CORE_TABLES_HISTORY_H_
#define BASILSPREAD_CORE_TABLES_HISTORY_H_

#include <optional>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/record.h"

namespace basilspread {

/// The stream that operators publish tables on.
StreamName TablesStream();

/// What log order made of one edit.
struct TablesDecision {
  Offset offset;
  TablesRecord record;
  /// Whether the edit won; it lost if another edit of its base stood before.
  bool accepted = false;
  /// The version accepted after this decision.
  TablesVersion version;
};

using TablesDecisions = std::vector<TablesDecision>;

/// Decides which edits of the tables stream are accepted. All readers decide
/// alike, whatever part of the stream the log still keeps for them. An edit
/// can be judged only with every record before it, or from a checkpoint that
/// covers what was trimmed; until then edits are held back.
class TablesHistory {
 public:
  /// To call before the records of each read. Finds records that the log
  /// trimmed before this reader had read them.
  void BeginRead(Offset from, Offset first_kept);
  TablesDecisions OnEdit(Offset offset, const TablesRecord& record);
  TablesDecisions OnCheckpoint(const TablesCheckpointRecord& checkpoint);
  /// To call when a read has reached the end of the stream.
  TablesDecisions OnEnd();

  /// Whether edits can be judged.
  bool can_decide() const { return this->decidable; }
  /// Newest version accepted; 0 when none is known.
  TablesVersion version() const { return this->accepted; }
  /// The edit that made the newest version.
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
  /// Every record from here on was read without a gap.
  std::optional<Offset> contiguous_from;
  TablesVersion accepted;
  TablesRecord source;
  /// What the newest version's checkpoint had read, while undecided.
  Offset checkpoint_covered;
  std::vector<UndecidedEdit> undecided;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_TABLES_HISTORY_H_
