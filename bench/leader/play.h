#ifndef BASILSPREAD_BENCH_LEADER_PLAY_H_
#define BASILSPREAD_BENCH_LEADER_PLAY_H_

#include <cstddef>

#include "basilspread/core/time.h"

namespace basilspread::bench {

/// What waiting steps find too little of on every worker.
enum class Shortage { kCores, kMemory };

struct PlaySize {
  std::size_t workers = 0;
  /// Steps that wait all the time.
  std::size_t waiting = 0;
  Shortage shortage = Shortage::kCores;
  /// Whether other processes make the leader's calls to workers.
  bool relays = false;
};

/// Processor time of the leader's reducer for events of a kind.
struct Share {
  std::size_t count = 0;
  Duration time{};
};

struct Costs {
  std::size_t submissions = 0;
  std::size_t starts = 0;
  /// Ends that looks told.
  std::size_t ends = 0;
  /// Steps that waited at the end of the play.
  std::size_t waiting = 0;
  Share calls;
  Share passes;
  Share answered_starts;
  Share empty_looks;
  Share looks_with_ends;
  Share appends;
  /// Orders' reports and all else that other processes send.
  Share messages;
  Share others;
};

/// One long run on each worker, the waiting steps, and a stream of submissions
/// of three tasks, under virtual time.
Costs Play(const PlaySize& size);

/// Whether the tree that is measured can have hands.
bool HasHands();

}  // namespace basilspread::bench

#endif  // BASILSPREAD_BENCH_LEADER_PLAY_H_
