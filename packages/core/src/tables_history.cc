#include "basilspread/core/tables_history.h"

#include <algorithm>
#include <utility>

namespace basilspread {

StreamName TablesStream() { return StreamName{"tables"}; }

void TablesHistory::BeginRead(Offset from, Offset first_kept) {
  const Offset begin = std::max(from, first_kept);
  if (!this->contiguous_from) {
    this->contiguous_from = begin;
    this->decidable = begin.value == 0;
    return;
  }
  if (first_kept > from) {
    // Edits may have been accepted in the gap. The tables in force stay, but no
    // edit can be decided before the versions in the gap are known.
    this->contiguous_from = first_kept;
    this->decidable = false;
    this->checkpoint_covered = from;
    this->undecided.clear();
  }
}

TablesDecisions TablesHistory::OnEdit(Offset offset,
                                      const TablesRecord& record) {
  if (!this->decidable) {
    this->undecided.push_back(UndecidedEdit{offset, record});
    return {};
  }
  return {this->DecideEdit(UndecidedEdit{offset, record})};
}

TablesDecisions TablesHistory::OnCheckpoint(
    const TablesCheckpointRecord& checkpoint) {
  TablesDecisions decisions;
  // A checkpoint of a slow writer may be older than the accepted version.
  if (checkpoint.version > this->newest_version) {
    decisions = this->ApplyCheckpoint(checkpoint);
  }
  const bool is_newest = checkpoint.version == this->newest_version;
  if (!this->decidable && is_newest &&
      checkpoint.covered >= *this->contiguous_from) {
    for (TablesDecision& decision :
         this->DecideUndecidedEdits(checkpoint.covered)) {
      decisions.push_back(std::move(decision));
    }
  }
  return decisions;
}

TablesDecisions TablesHistory::OnEnd() {
  // If the stream was trimmed and this reader knows no version, it waits for a
  // checkpoint of a process that knows one.
  if (this->decidable || this->newest_version.value == 0) {
    return {};
  }
  return this->DecideUndecidedEdits(this->checkpoint_covered);
}

TablesDecision TablesHistory::DecideEdit(const UndecidedEdit& edit) {
  TablesDecision decision;
  decision.offset = edit.offset;
  decision.record = edit.record;
  decision.accepted = edit.record.base == this->newest_version;
  if (decision.accepted) {
    ++this->newest_version.value;
    this->source = edit.record;
  }
  decision.version = this->newest_version;
  return decision;
}

TablesDecisions TablesHistory::DecideUndecidedEdits(Offset covered) {
  this->decidable = true;
  TablesDecisions decisions;
  for (const UndecidedEdit& edit : std::exchange(this->undecided, {})) {
    // Edits before `covered` were decided by the checkpoint's writer.
    if (edit.offset >= covered) {
      decisions.push_back(this->DecideEdit(edit));
    }
  }
  return decisions;
}

TablesDecisions TablesHistory::ApplyCheckpoint(
    const TablesCheckpointRecord& checkpoint) {
  this->newest_version = checkpoint.version;
  this->source = checkpoint.record;
  this->checkpoint_covered = checkpoint.covered;
  TablesDecision decision;
  decision.offset = checkpoint.covered;
  decision.record = checkpoint.record;
  decision.accepted = true;
  decision.version = checkpoint.version;
  return {decision};
}

}  // namespace basilspread
