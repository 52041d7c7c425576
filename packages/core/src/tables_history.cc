#include "basilspread/core/tables_history.h"

#include <algorithm>
#include <utility>

namespace basilspread {

StreamName TablesStream() { return StreamName{"tables"}; }

void TablesHistory::BeginRead(Offset from, Offset first_kept) {
  const Offset begin = std::max(from, first_kept);
  if (!this->start) {
    this->start = begin;
    this->is_decided = begin.value == 0;
    return;
  }
  if (first_kept > from) {
    // Edits may have been accepted in the gap. What is in force stays so, but
    // no edit can be judged before the versions in the gap are known.
    this->start = first_kept;
    this->is_decided = false;
    this->covered_by_newest = from;
    this->held.clear();
  }
}

TablesDecisions TablesHistory::OnEdit(Offset offset,
                                      const TablesRecord& record) {
  if (!this->is_decided) {
    this->held.push_back(HeldEdit{offset, record});
    return {};
  }
  return {this->Judge(HeldEdit{offset, record})};
}

TablesDecisions TablesHistory::OnCheckpoint(
    const TablesCheckpointRecord& checkpoint) {
  TablesDecisions decisions;
  // A late or paused writer's checkpoint is older than what is accepted.
  if (checkpoint.version > this->accepted) {
    decisions = this->Adopt(checkpoint);
  }
  const bool is_newest = checkpoint.version == this->accepted;
  if (!this->is_decided && is_newest && checkpoint.covered >= *this->start) {
    for (TablesDecision& decision : this->Decide(checkpoint.covered)) {
      decisions.push_back(std::move(decision));
    }
  }
  return decisions;
}

TablesDecisions TablesHistory::OnEnd() {
  // A reader that knows no version at all in a trimmed stream waits for the
  // checkpoint of a process that does.
  if (this->is_decided || this->accepted.value == 0) {
    return {};
  }
  return this->Decide(this->covered_by_newest);
}

TablesDecision TablesHistory::Judge(const HeldEdit& edit) {
  TablesDecision decision;
  decision.offset = edit.offset;
  decision.record = edit.record;
  decision.accepted = edit.record.base == this->accepted;
  if (decision.accepted) {
    ++this->accepted.value;
    this->source = edit.record;
  }
  decision.version = this->accepted;
  return decision;
}

TablesDecisions TablesHistory::Decide(Offset covered) {
  this->is_decided = true;
  TablesDecisions decisions;
  for (const HeldEdit& edit : std::exchange(this->held, {})) {
    // Edits before `covered` were judged by the checkpoint's writer.
    if (edit.offset >= covered) {
      decisions.push_back(this->Judge(edit));
    }
  }
  return decisions;
}

TablesDecisions TablesHistory::Adopt(const TablesCheckpointRecord& checkpoint) {
  this->accepted = checkpoint.version;
  this->source = checkpoint.record;
  this->covered_by_newest = checkpoint.covered;
  TablesDecision decision;
  decision.offset = checkpoint.covered;
  decision.record = checkpoint.record;
  decision.accepted = true;
  decision.version = checkpoint.version;
  return {decision};
}

}  // namespace basilspread
