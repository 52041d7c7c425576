#ifndef BASILSPREAD_CORE_STORE_CALL_H_
#define BASILSPREAD_CORE_STORE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "basilspread/core/call_channels.h"
#include "basilspread/core/fleet_call.h"
#include "basilspread/core/ids.h"
#include "basilspread/core/queue_tables.h"
#include "basilspread/core/submission_record.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Joins the group of entry processes or stays in it; reports GroupJoined.
struct JoinGroup {
  std::string member;
  Duration time_to_live{};
  /// The last generation received; 0 at first.
  std::uint64_t generation = 0;
  CallChannel channel = 0;
};

/// Hands everything held back at once. Nothing is reported.
struct LeaveGroup {
  std::string member;
};

struct GroupJoined {
  CallChannel channel = 0;
  bool ok = false;
  TimePoint sent_at;
  std::uint64_t generation = 0;
  /// Whether the member holds the leadership.
  bool leads = false;
};

/// Asks which member holds the leadership; reports LeaderRead.
struct ReadLeader {};

struct LeaderRead {
  bool ok = false;
  /// Empty when nobody holds it.
  std::string member;
};

/// Appends records to the work log, all or none; reports WorkAppended. An
/// append without records only raises the epoch.
struct AppendWork {
  Epoch epoch;
  std::uint64_t sequence = 0;
  std::vector<WorkRecord> records;
  /// Repeats of an append may be under way on several at once.
  CallChannel channel = 0;
};

enum class WorkAppendResult {
  kStored,
  /// The store did nothing.
  kRefused,
  /// A higher epoch stands: another process leads.
  kFenced,
  /// The store expects another sequence number.
  kOutOfSequence,
  /// It may have been stored, or may be later.
  kUnknown,
};

struct WorkAppended {
  CallChannel channel = 0;
  Epoch epoch;
  std::uint64_t sequence = 0;
  WorkAppendResult result = WorkAppendResult::kUnknown;
  /// With kFenced the epoch in force.
  Epoch epoch_in_force;
  /// With kOutOfSequence the number to use.
  std::uint64_t expected_sequence = 0;
};

/// Reads a page of the newest work records; reports WorkListed.
struct ListWork {
  /// Continues behind this key; empty at first.
  std::string after;
};

struct WorkListed {
  bool ok = false;
  std::vector<WorkRecord> records;
  /// Where to continue; empty when this was the last page.
  std::string next;
};

/// Reads the newest tables; reports TablesRead.
struct ReadTables {};
/// Waits for newer tables from the position on; reports TablesRead.
struct FollowTables {
  Offset from;
};

struct TablesRead {
  bool ok = false;
  /// The records at the position are gone: read the newest instead.
  bool expired = false;
  /// Unset when nothing newer was found.
  std::optional<QueueTables> tables;
  /// Where to follow on.
  Offset next;
};

/// Reads a page of the newest worker entries; reports FleetRead.
struct ListFleet {
  std::string after;
};
/// Waits for changed worker entries; reports FleetRead.
struct FollowFleet {
  Offset from;
};

struct FleetRead {
  bool ok = false;
  bool expired = false;
  /// Whether this is a page of the whole list, and not of changes.
  bool is_listing = false;
  std::vector<WorkerEntry> entries;
  std::vector<HostName> removed;
  /// Of a listing: where to continue; empty at its end.
  std::string next_page;
  Offset next;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_STORE_CALL_H_
