#include "internal/queue_tables.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "quota/ledger.h"

namespace basilspread::internal::queue_tables {
namespace {

constexpr std::string_view kPart = "tables";
constexpr Duration kRetryDelay = std::chrono::milliseconds(150);

QueueTablesState& StateOf(Context& context) {
  return context.state.submissions.tables;
}

void Apply(Context& context, const QueueTables& tables) {
  QueueTablesState& state = StateOf(context);
  // A read from an earlier offset may complete after a later one.
  if (state.tables && tables.version <= state.tables->version) {
    return;
  }
  const bool is_first = !state.tables.has_value();
  context.Emit(SetGauge{Metric::kTablesVersion,
                        static_cast<double>(tables.version.value)});
  context.Log(LogLevel::kInfo, kPart, "Tables applied and in force.",
              {{"version", tables.version.value},
               {"before", Version(context).value},
               {"routes", tables.routes.size()}});
  const auto before = std::exchange(state.tables, tables);
  if (before && before->workspaces && tables.workspaces) {
    quota::OnTablesChanged(context, *before->workspaces, *tables.workspaces);
  }
  if (is_first && !context.state.stopping) {
    context.Emit(SetReadiness{true});
  }
}

void ReadNewest(Context& context) {
  ++StateOf(context).open_reads;
  context.Emit(ReadTables{});
}

void Follow(Context& context) {
  QueueTablesState& state = StateOf(context);
  ++state.open_reads;
  context.Emit(FollowTables{state.next});
}

/// Notes that the store had nothing newer than the tables in force when the
/// read was sent.
void Confirm(QueueTablesState& state, const TablesRead& event) {
  if (!event.is_newest || event.sent_at < state.confirmations_valid_from) {
    return;
  }
  state.confirmed_at =
      std::max(state.confirmed_at.value_or(event.sent_at), event.sent_at);
}

}  // namespace

void Start(Context& context) { ReadNewest(context); }

void OnRead(Context& context, const TablesRead& event) {
  QueueTablesState& state = StateOf(context);
  state.open_reads -= state.open_reads > 0 ? 1 : 0;
  if (event.tables) {
    Apply(context, *event.tables);
  }
  if (event.ok) {
    state.next = event.next;
    state.is_next_known = true;
    Confirm(state, event);
  }
  state.is_next_known = state.is_next_known && !event.expired;
  if (state.open_reads > 0) {
    // The other read goes on, so that there is one chain of reads.
    return;
  }
  if (event.ok) {
    Follow(context);
  } else if (event.expired) {
    ReadNewest(context);
  } else {
    context.ArmIn(TimerKind::kTablesRetry, kRetryDelay);
  }
}

void OnRetryTimer(Context& context) {
  const QueueTablesState& state = StateOf(context);
  if (state.open_reads > 0) {
    return;
  }
  if (state.is_next_known) {
    Follow(context);
  } else {
    ReadNewest(context);
  }
}

void OnResumed(Context& context) {
  QueueTablesState& state = StateOf(context);
  state.confirmed_at.reset();
  state.confirmations_valid_from = context.now;
  ReadNewest(context);
}

bool IsConfirmed(const Context& context, Duration max_age) {
  const auto& confirmed_at = context.state.submissions.tables.confirmed_at;
  return confirmed_at && context.now <= *confirmed_at + max_age;
}

bool IsKnown(const Context& context) {
  return context.state.submissions.tables.tables.has_value();
}

TablesVersion Version(const Context& context) {
  const auto& tables = context.state.submissions.tables.tables;
  return tables ? tables->version : TablesVersion{};
}

const QueueRoute* Match(const Context& context, const std::string& authority,
                        const std::string& path) {
  const auto& tables = context.state.submissions.tables.tables;
  const QueueRoute* best = nullptr;
  if (!tables) {
    return best;
  }
  for (const QueueRoute& route : tables->routes) {
    const bool matches =
        route.authority == authority && path.starts_with(route.path_prefix);
    if (matches && (best == nullptr ||
                    route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const QueueRoute* Find(const Context& context, const RouteName& name) {
  const auto& tables = context.state.submissions.tables.tables;
  if (!tables) {
    return nullptr;
  }
  for (const QueueRoute& route : tables->routes) {
    if (route.name == name) {
      return &route;
    }
  }
  return nullptr;
}

bool HasWorkspaces(const Context& context) {
  const auto& tables = context.state.submissions.tables.tables;
  return tables && tables->workspaces;
}

const Workspace* FindWorkspace(const Context& context,
                               const WorkspaceName& name) {
  const auto& tables = context.state.submissions.tables.tables;
  if (!tables || !tables->workspaces) {
    return nullptr;
  }
  const auto& rows = tables->workspaces->rows;
  const auto row = rows.find(name);
  return row == rows.end() ? nullptr : &row->second;
}

}  // namespace basilspread::internal::queue_tables
