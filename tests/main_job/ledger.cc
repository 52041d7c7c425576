#include "main_job/ledger.h"

#include <algorithm>
#include <utility>

namespace main_job {
namespace {

using std::chrono::milliseconds;

milliseconds Quantile(const std::vector<milliseconds>& sorted, int percent) {
  if (sorted.empty()) {
    return milliseconds::zero();
  }
  const std::size_t last = sorted.size() - 1;
  return sorted[last * static_cast<std::size_t>(percent) / 100];
}

}  // namespace

void Ledger::Add(const std::string& work_class, Entry entry) {
  const std::lock_guard lock(this->mutex);
  this->classes[work_class].push_back(std::move(entry));
}

std::map<std::string, std::vector<Entry>> Ledger::Entries() const {
  const std::lock_guard lock(this->mutex);
  return this->classes;
}

Tally TallyOf(const std::vector<Entry>& entries) {
  Tally tally;
  std::vector<milliseconds> waits;
  for (const Entry& entry : entries) {
    ++tally.submitted;
    tally.finished += entry.outcome == Outcome::kFinished ? 1 : 0;
    tally.refused += entry.outcome == Outcome::kRefused ? 1 : 0;
    tally.unknown += entry.outcome == Outcome::kUnknown ? 1 : 0;
    if (entry.outcome == Outcome::kFinished) {
      waits.push_back(entry.waited);
    }
  }
  std::sort(waits.begin(), waits.end());
  tally.p50 = Quantile(waits, 50);
  tally.p99 = Quantile(waits, 99);
  return tally;
}

}  // namespace main_job
