#include <algorithm>
#include <chrono>
#include <variant>

#include "support/store_world.h"
#include "support/store_world_log.h"
#include "support/store_world_times.h"

namespace basilspread::test {
namespace {

constexpr Duration kAppendTime = std::chrono::milliseconds(9);
/// Number of the last appends that get their first answer when repeated.
constexpr std::size_t kRepeats = 5;

}  // namespace

bool StoreWorld::ReachesStore(int node) const {
  return !this->store_is_down && !this->cut_from_store.contains(node);
}

void StoreWorld::Append(int node, const AppendWork& effect) {
  WorkAppended appended;
  appended.channel = effect.channel;
  appended.epoch = effect.epoch;
  appended.sequence = effect.sequence;
  ++this->appends;
  this->largest_append = std::max(this->largest_append, BytesOf(effect));
  if (!this->ReachesStore(node)) {
    this->PostAfter(node, kTimeout, appended);
    return;
  }
  if (this->appends_are_refused || !IsTaken(effect)) {
    appended.result = WorkAppendResult::kRefused;
    this->PostAfter(node, this->store_time, appended);
    return;
  }
  if (effect.epoch < this->log_epoch) {
    appended.result = WorkAppendResult::kFenced;
    appended.epoch_in_force = this->log_epoch;
    this->PostAfter(node, this->store_time, appended);
    return;
  }
  const bool is_same_epoch = effect.epoch == this->log_epoch;
  // The store does not deduplicate empty appends.
  const bool is_repeat =
      is_same_epoch && !effect.records.empty() &&
      std::find(this->log_repeats.begin(), this->log_repeats.end(),
                effect.sequence) != this->log_repeats.end();
  if (is_same_epoch && !is_repeat && effect.sequence != this->log_sequence) {
    appended.result = WorkAppendResult::kOutOfSequence;
    appended.expected_sequence = this->log_sequence;
    this->PostAfter(node, this->store_time, appended);
    return;
  }
  if (!is_same_epoch) {
    this->log_repeats.clear();
  }
  if (!is_repeat) {
    for (const WorkRecord& record : effect.records) {
      if (IsDrop(record)) {
        this->log.erase(KeyOf(record));
      } else {
        this->log.insert_or_assign(KeyOf(record), record);
      }
    }
    this->log_epoch = effect.epoch;
    this->log_sequence = effect.sequence + 1;
    this->log_repeats.push_back(effect.sequence);
    if (this->log_repeats.size() > kRepeats) {
      this->log_repeats.pop_front();
    }
  }
  const bool is_lost = this->appends_lose_answers || this->lost_appends > 0;
  this->lost_appends -= this->lost_appends > 0 ? 1 : 0;
  if (is_lost) {
    this->PostAfter(node, kTimeout, appended);
    return;
  }
  appended.result = WorkAppendResult::kStored;
  this->PostAfter(node, kAppendTime, appended);
}

void StoreWorld::AssignLeadership() {
  const auto before = this->members.size();
  std::erase_if(this->members, [this](const auto& member) {
    return member.second <= this->now;
  });
  if (this->members.size() != before) {
    ++this->generation;
  }
  const std::string first =
      this->members.empty() ? "" : this->members.begin()->first;
  const bool stays = this->members.contains(this->leader_member) &&
                     (!this->joins_move_leadership || !next_member.empty() ||
                      this->leader_member == first);
  if (stays || (first.empty() && this->leader_member.empty())) {
    return;
  }
  ++this->generation;
  if (this->members.contains(this->leader_member)) {
    // The current leader gives the leadership up with its next join.
    this->next_member = first;
    return;
  }
  this->leader_changes += first.empty() ? 0 : 1;
  this->leader_member = first;
}

}  // namespace basilspread::test
