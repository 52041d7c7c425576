#include "requests/credit_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <queue>

namespace bench {
namespace {

struct Entry {
  std::uint32_t credits = 0;
  std::uint32_t busy = 0;
  std::deque<std::size_t> waiting;
  /// Work that arrived since the last renewal, with what waited then.
  Duration demand{};
};

struct Completion {
  Duration at{};
  std::size_t entry = 0;
  bool operator>(const Completion& other) const { return this->at > other.at; }
};

class Model {
 public:
  Model(std::size_t entry_count, std::uint32_t slot_count,
        const std::vector<Arrival>& all_arrivals)
      : slots(slot_count), arrivals(all_arrivals), entries(entry_count) {
    for (std::size_t i = 0; i < slot_count; ++i) {
      ++this->entries[i % entry_count].credits;
    }
  }

  void Arrive(std::size_t index, std::size_t entry) {
    this->Advance(this->arrivals[index].at);
    this->entries[entry].demand += this->arrivals[index].work;
    this->entries[entry].waiting.push_back(index);
    this->Start(entry);
  }

  void Renew(Duration at) {
    this->Advance(at);
    Duration total{};
    std::uint32_t spare = this->slots;
    for (Entry& entry : this->entries) {
      for (const std::size_t index : entry.waiting) {
        entry.demand += this->arrivals[index].work;
      }
      total += entry.demand;
      entry.credits = entry.busy;
      spare -= entry.busy;
    }
    this->Share(spare, total);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      this->entries[i].demand = Duration::zero();
      this->Start(i);
    }
  }

  SharingResult Finish() {
    this->Advance(std::chrono::hours(1));
    this->result.idle_while_waiting =
        this->waiting_time == 0 ? 0 : this->idle_time / this->waiting_time;
    return this->result;
  }

 private:
  void Share(std::uint32_t spare, Duration total) {
    std::uint32_t given = 0;
    for (Entry& entry : this->entries) {
      const double part = total == Duration::zero()
                              ? 1.0 / static_cast<double>(this->entries.size())
                              : static_cast<double>(entry.demand.count()) /
                                    static_cast<double>(total.count());
      const auto credits = static_cast<std::uint32_t>(std::floor(part * spare));
      entry.credits += credits;
      given += credits;
    }
    for (std::uint32_t i = given; i < spare; ++i) {
      ++this->entries[i % this->entries.size()].credits;
    }
  }

  void Start(std::size_t id) {
    Entry& entry = this->entries[id];
    while (!entry.waiting.empty() && entry.busy < entry.credits) {
      const Arrival& arrival = this->arrivals[entry.waiting.front()];
      entry.waiting.pop_front();
      ++entry.busy;
      const Duration end = this->now + arrival.work;
      this->running.push({end, id});
      this->result.response_milliseconds.push_back(
          std::chrono::duration<double, std::milli>(end - arrival.at).count());
    }
  }

  void Advance(Duration to) {
    while (!this->running.empty() && this->running.top().at <= to) {
      const Completion completion = this->running.top();
      this->running.pop();
      this->Pass(completion.at);
      --this->entries[completion.entry].busy;
      this->Start(completion.entry);
    }
    this->Pass(to);
  }

  void Pass(Duration to) {
    const bool is_waiting =
        std::any_of(this->entries.begin(), this->entries.end(),
                    [](const Entry& entry) { return !entry.waiting.empty(); });
    const double length = std::chrono::duration<double>(to - this->now).count();
    if (is_waiting) {
      const auto busy = static_cast<double>(this->running.size());
      this->idle_time += (this->slots - busy) / this->slots * length;
      this->waiting_time += length;
    }
    this->now = to;
  }

  std::uint32_t slots;
  const std::vector<Arrival>& arrivals;
  std::vector<Entry> entries;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      running;
  Duration now{};
  double idle_time = 0;
  double waiting_time = 0;
  SharingResult result;
};

}  // namespace

SharingResult RunCreditModel(
    std::size_t entries, std::uint32_t slots, Duration renewal,
    const std::vector<Arrival>& arrivals,
    const std::function<std::size_t(const Arrival&)>& entry) {
  Model model(entries, slots, arrivals);
  Duration next_renewal = renewal;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    while (next_renewal <= arrivals[i].at) {
      model.Renew(next_renewal);
      next_renewal += renewal;
    }
    model.Arrive(i, entry(arrivals[i]));
  }
  for (int i = 0; i < 1000; ++i) {
    model.Renew(next_renewal);
    next_renewal += renewal;
  }
  return model.Finish();
}

}  // namespace bench
