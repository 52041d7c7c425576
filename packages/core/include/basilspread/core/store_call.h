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

/// Joins the group of entry processes, or renews the membership; the result
/// arrives as GroupJoined.
struct JoinGroup {
  std::string member;
  Duration time_to_live{};
  /// The latest generation received; 0 initially.
  std::uint64_t generation = 0;
  CallChannel channel = 0;
};

/// Ends a membership and gives up what it holds at once. There is no result
/// event.
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

/// Reads which member holds the leadership; the result arrives as LeaderRead.
struct ReadLeader {};

struct LeaderRead {
  bool ok = false;
  /// Empty when no member holds the leadership.
  std::string member;
};

/// Appends records to the work log atomically; the result arrives as
/// WorkAppended. An append without records only raises the epoch.
struct AppendWork {
  Epoch epoch;
  std::uint64_t sequence = 0;
  std::vector<WorkRecord> records;
  /// Repeats of one append may be in flight on several channels at once.
  CallChannel channel = 0;
};

enum class WorkAppendResult {
  kStored,
  /// The store did not carry the append out.
  kRefused,
  /// A higher epoch is in force: another process leads.
  kFenced,
  /// The store expects another sequence number.
  kOutOfSequence,
  /// The append may have been stored, or may yet be.
  kUnknown,
};

struct WorkAppended {
  CallChannel channel = 0;
  Epoch epoch;
  std::uint64_t sequence = 0;
  WorkAppendResult result = WorkAppendResult::kUnknown;
  /// Set with kFenced.
  Epoch epoch_in_force;
  /// Set with kOutOfSequence.
  std::uint64_t expected_sequence = 0;
};

/// Reads a page of the newest work records; the result arrives as WorkListed.
struct ListWork {
  /// Key after which the page starts; empty for the first page.
  std::string after;
  /// Epoch of the takeover that reads.
  Epoch epoch = {};
};

struct WorkListed {
  bool ok = false;
  std::vector<WorkRecord> records;
  /// Subjects of the records that cannot be decoded, for example since a later
  /// version wrote them.
  std::vector<RecordSubject> unreadable;
  /// `after` of the next page; empty when this is the last one.
  std::string next;
  /// ListWork::epoch.
  Epoch epoch;
};

/// Reads the newest tables; the result arrives as TablesRead.
struct ReadTables {};
/// Waits for tables published at or after an offset; the result arrives as
/// TablesRead.
struct FollowTables {
  Offset from;
};

struct TablesRead {
  bool ok = false;
  /// The records at the requested offset are no longer retained; the newest
  /// tables must be read instead.
  bool expired = false;
  /// Unset when nothing newer was found.
  std::optional<QueueTables> tables;
  /// Offset for the next FollowTables.
  Offset next;
  /// The store had nothing newer when it answered.
  bool is_newest = false;
  /// When the read was sent.
  TimePoint sent_at = {};
};

/// Reads a page of the newest worker entries; the result arrives as FleetRead.
struct ListFleet {
  std::string after;
  /// Epoch of the leader that reads.
  Epoch epoch = {};
};
/// Waits for changed worker entries; the result arrives as FleetRead.
struct FollowFleet {
  Offset from;
  /// Epoch of the leader that reads.
  Epoch epoch = {};
};

struct FleetRead {
  bool ok = false;
  /// As in TablesRead.
  bool expired = false;
  /// Whether this is a page of the full listing rather than of changes.
  bool is_listing = false;
  std::vector<WorkerEntry> entries;
  std::vector<HostName> removed;
  /// In a listing: `after` of the next page; empty on the last one.
  std::string next_page;
  Offset next;
  /// ListFleet::epoch or FollowFleet::epoch.
  Epoch epoch;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_STORE_CALL_H_
