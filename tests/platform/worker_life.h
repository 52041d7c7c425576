#ifndef BASILSPREAD_TESTS_PLATFORM_WORKER_LIFE_H_
#define BASILSPREAD_TESTS_PLATFORM_WORKER_LIFE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/submission.h"

namespace standin {

/// One life of a worker.
struct WorkerLife {
  std::string worker;
  std::uint64_t born = 0;

  auto operator<=>(const WorkerLife&) const = default;
};

std::string ToText(const WorkerLife& life);

/// How a run ended, as its worker tells it.
enum class End { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

std::string_view NameOf(End end);

/// A start that a worker has carried out.
struct Started {
  RunName run;
  WorkerLife worker;
  std::string command;
  std::string checkpoint;
  std::vector<std::string> labels;
  /// Runs of the same step there, this one included.
  std::uint32_t of_step = 0;
  /// Whether what runs there exceeds the capacity now.
  bool is_over_capacity = false;
  /// How long ago the store took note that the worker drains; unset while it
  /// does not.
  std::optional<Duration> draining_for;
};

/// Told of what happens at the workers.
struct WorkerWatch {
  std::function<void(const Started&, TimePoint now)> on_started;
  std::function<void(const RunName&, const WorkerLife&, End, TimePoint now)>
      on_ended;
  std::function<void(const RunName&, const std::string& checkpoint)>
      on_checkpoint;
  /// The end was listed by the worker and is taken note of.
  std::function<void(const RunName&, const WorkerLife&, TimePoint now)>
      on_noted;
  /// The lease of the worker has lapsed.
  std::function<void(const WorkerLife&)> on_lapsed;
  /// The life is over, with all that ran there.
  std::function<void(const WorkerLife&, TimePoint now)> on_gone;
};

}  // namespace standin

#endif  // BASILSPREAD_TESTS_PLATFORM_WORKER_LIFE_H_
