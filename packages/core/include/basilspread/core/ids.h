#ifndef BASILSPREAD_CORE_IDS_H_
#define BASILSPREAD_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace basilspread {

/// A value of type T that does not mix with ids of another kind.
template <typename Tag, typename T>
struct Id {
  T value{};

  friend auto operator<=>(const Id&, const Id&) = default;
};

/// One caller's exchange with this process: a request or a job call.
using CallId = Id<struct CallTag, std::uint64_t>;
/// One append to a log stream, as this process numbers them.
using AppendId = Id<struct AppendTag, std::uint64_t>;
/// Position of a record in a log stream.
using Offset = Id<struct OffsetTag, std::uint64_t>;
/// Generation of a shard's ownership; grows with every claim.
using Epoch = Id<struct EpochTag, std::uint64_t>;
/// Version of the tables; the first published version is 1.
using TablesVersion = Id<struct TablesVersionTag, std::uint64_t>;
/// Number of a try to run a task or a request, from 1.
using Attempt = Id<struct AttemptTag, std::uint32_t>;

/// Name of an entry process, unique in the cluster.
using NodeName = Id<struct NodeTag, std::string>;
/// Name of a worker or minion in the host list.
using HostName = Id<struct HostTag, std::string>;
using PoolName = Id<struct PoolTag, std::string>;
using RouteName = Id<struct RouteTag, std::string>;
using TeamName = Id<struct TeamTag, std::string>;
/// A customer whose callers identify themselves by keys.
using WorkspaceName = Id<struct WorkspaceTag, std::string>;
using ZoneName = Id<struct ZoneTag, std::string>;
/// A group of a pool's hosts with one owner, written "pool#index".
using ShardId = Id<struct ShardTag, std::string>;
using JobId = Id<struct JobTag, std::string>;
/// A task of a job, written "job/index".
using TaskId = Id<struct TaskTag, std::string>;
/// A unit of work of several steps, named by its caller.
using SubmissionId = Id<struct SubmissionTag, std::string>;
using RackName = Id<struct RackTag, std::string>;
using StreamName = Id<struct StreamTag, std::string>;

/// One run of an entry process, from start to exit.
struct ProcessId {
  NodeName node;
  /// Distinguishes the runs of one node; drawn at random at start.
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const ProcessId&, const ProcessId&) = default;
};

/// Call before the first one of a process. Calls of different runs of a node
/// have different numbers, so that an answer to one run matches no call of
/// another.
constexpr CallId CallBeforeFirst(std::uint64_t incarnation) {
  constexpr unsigned kCountBits = 32;
  // The highest bit tells numbers of other origin apart.
  constexpr std::uint64_t kRunMask = 0x7fff'ffff;
  return CallId{(incarnation & kRunMask) << kCountBits};
}

}  // namespace basilspread

template <typename Tag, typename T>
struct std::hash<basilspread::Id<Tag, T>> {
  std::size_t operator()(const basilspread::Id<Tag, T>& id) const noexcept {
    return std::hash<T>{}(id.value);
  }
};

#endif  // BASILSPREAD_CORE_IDS_H_
