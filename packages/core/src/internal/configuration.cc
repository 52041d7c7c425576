#include "internal/configuration.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "internal/draining.h"
#include "internal/log.h"
#include "internal/membership.h"
#include "internal/ownership.h"

namespace basilspread::internal::configuration {
namespace {

constexpr std::string_view kPart = "configuration";
constexpr Duration kCheckInterval = std::chrono::milliseconds(500);
/// Delay between the checkpoints of processes with consecutive ranks, so that
/// usually only one of them writes a checkpoint.
constexpr Duration kCheckpointStagger = std::chrono::seconds(3);

Result<Tables> ParseSuccessor(const Context& context,
                              const TablesRecord& record) {
  Result<Tables> parsed = context.state.hooks.parse_tables(record);
  if (!parsed) {
    return parsed;
  }
  const std::string faults =
      CheckTablesChange(context.state.configuration.tables, parsed.value());
  if (!faults.empty()) {
    return Error{ErrorKind::kInvalidTables, faults};
  }
  return parsed;
}

void ApplyTables(Context& context, const TablesDecision& decision) {
  ConfigurationState& configuration = context.state.configuration;
  Result<Tables> parsed = ParseSuccessor(context, decision.record);
  if (!parsed) {
    // Processes of another program version may be able to parse these tables,
    // so they keep their version number and this process reports that it lags.
    configuration.apply_error = parsed.error().detail;
    context.Log(
        LogLevel::kError, kPart,
        "Accepted tables could not be applied; the old tables stay in force.",
        {{"version", decision.version.value},
         {"author", decision.record.author},
         {"reason", parsed.error().detail}});
    return;
  }
  configuration.apply_error.clear();
  Tables next = std::move(parsed).value();
  next.version = decision.version;
  draining::RetainRemovedRows(context, configuration.tables, next);
  configuration.tables = std::move(next);
  configuration.source = decision.record;
  context.Log(LogLevel::kInfo, kPart, "Tables applied and in force.",
              {{"version", decision.version.value},
               {"author", decision.record.author}});
  ownership::OnTablesChanged(context);
}

void Apply(Context& context, const TablesDecisions& decisions) {
  ConfigurationState& configuration = context.state.configuration;
  for (const TablesDecision& decision : decisions) {
    if (!decision.accepted) {
      context.Log(LogLevel::kInfo, kPart,
                  "Edit rejected; it lost to an earlier edit of the same base.",
                  {{"author", decision.record.author},
                   {"base", decision.record.base.value},
                   {"winner", configuration.source.author},
                   {"version", decision.version.value}});
      continue;
    }
    configuration.newest_version_read_at = context.now;
    ApplyTables(context, decision);
  }
}

/// Rank of this process among the live ones by node name, from 0.
std::int64_t OwnRank(const Context& context) {
  std::int64_t rank = 0;
  for (const auto& [node, peer] : context.state.membership.peers) {
    if (membership::IsLive(context, peer) &&
        node < context.state.settings.self.node) {
      ++rank;
    }
  }
  return rank;
}

/// Whether a live peer has no tables yet and so waits for a checkpoint.
bool IsAwaitedByPeer(const Context& context) {
  const auto& peers = context.state.membership.peers;
  return std::any_of(peers.begin(), peers.end(), [&context](const auto& row) {
    return membership::IsLive(context, row.second) &&
           row.second.last_heartbeat.tables.value == 0;
  });
}

bool IsCheckpointDue(const Context& context) {
  const ConfigurationState& configuration = context.state.configuration;
  const LogStream& stream = context.state.log.streams.at(TablesStream());
  const bool is_current = configuration.history.can_decide() && stream.at_end &&
                          configuration.history.version().value > 0;
  if (!is_current || stream.in_flight || !stream.pending.empty()) {
    return false;
  }
  const Settings& settings = context.state.settings;
  const Duration interval = IsAwaitedByPeer(context)
                                ? settings.peer_timeout
                                : settings.tables_checkpoint_interval;
  return context.now - *configuration.newest_version_read_at >=
         interval + kCheckpointStagger * OwnRank(context);
}

void AppendCheckpoint(Context& context) {
  const ConfigurationState& configuration = context.state.configuration;
  const TablesVersion newest = configuration.history.version();
  // Like this process, a new one may be unable to parse the newest version; it
  // then needs the version in force.
  if (configuration.tables.version.value > 0 &&
      configuration.tables.version != newest) {
    log::Append(context, TablesStream(),
                TablesCheckpointRecord{configuration.tables.version,
                                       configuration.source, Offset{0}});
  }
  log::Append(context, TablesStream(),
              TablesCheckpointRecord{newest, configuration.history.record(),
                                     configuration.next});
}

}  // namespace

void Start(Context& context) {
  context.ArmIn(TimerKind::kConfiguration, kCheckInterval);
}

void OnTimer(Context& context) {
  if (draining::RemoveDrainedRows(context)) {
    ownership::OnTablesChanged(context);
  }
  if (IsCheckpointDue(context)) {
    AppendCheckpoint(context);
  }
  context.ArmIn(TimerKind::kConfiguration, kCheckInterval);
}

void OnReadBegins(Context& context, Offset from, Offset first_kept) {
  ConfigurationState& configuration = context.state.configuration;
  const bool could_decide = configuration.history.can_decide();
  configuration.history.BeginRead(from, first_kept);
  if (could_decide && !configuration.history.can_decide()) {
    context.Log(
        LogLevel::kWarning, kPart,
        "The log trimmed records before they were read; edits wait for a "
        "checkpoint.",
        {{"from", from.value}, {"first_kept", first_kept.value}});
  }
}

void OnTablesRecord(Context& context, Offset offset,
                    const TablesRecord& record) {
  Apply(context, context.state.configuration.history.OnEdit(offset, record));
}

void OnCheckpoint(Context& context, const TablesCheckpointRecord& record) {
  ConfigurationState& configuration = context.state.configuration;
  Apply(context, configuration.history.OnCheckpoint(record));
  if (record.version == configuration.history.version()) {
    configuration.newest_version_read_at = context.now;
  }
}

void OnReadEnds(Context& context, Offset next, bool at_end) {
  ConfigurationState& configuration = context.state.configuration;
  configuration.next = next;
  if (!at_end) {
    return;
  }
  Apply(context, configuration.history.OnEnd());
  configuration.read_to_end =
      configuration.read_to_end || configuration.history.can_decide();
}

bool IsReady(const Context& context) {
  const ConfigurationState& configuration = context.state.configuration;
  return configuration.read_to_end && configuration.tables.version.value > 0;
}

ReportSection Describe(const Context& context) {
  const ConfigurationState& configuration = context.state.configuration;
  ReportSection section{"configuration", {}};
  section.rows.push_back(
      {{"in_force", fmt::format("{}", configuration.tables.version.value)},
       {"accepted", fmt::format("{}", configuration.history.version().value)},
       {"author", configuration.source.author},
       {"ready", IsReady(context) ? "yes" : "no"},
       {"decided", configuration.history.can_decide() ? "yes" : "no"},
       {"fault", configuration.apply_error}});
  return section;
}

}  // namespace basilspread::internal::configuration
