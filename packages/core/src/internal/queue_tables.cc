#include "internal/queue_tables.h"

#include <fmt/format.h>

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
  state.tables = tables;
  if (is_first && !context.state.stopping) {
    context.Emit(SetReadiness{true});
  }
}

}  // namespace

void Start(Context& context) { context.Emit(ReadTables{}); }

void OnRead(Context& context, const TablesRead& event) {
  QueueTablesState& state = StateOf(context);
  if (event.tables) {
    Apply(context, *event.tables);
  }
  if (event.ok) {
    state.next = event.next;
    state.is_next_known = true;
    context.Emit(FollowTables{state.next});
    return;
  }
  state.is_next_known = state.is_next_known && !event.expired;
  if (event.expired) {
    context.Emit(ReadTables{});
    return;
  }
  context.ArmIn(TimerKind::kTablesRetry, kRetryDelay);
}

void OnRetryTimer(Context& context) {
  const QueueTablesState& state = StateOf(context);
  if (state.is_next_known) {
    context.Emit(FollowTables{state.next});
  } else {
    context.Emit(ReadTables{});
  }
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

}  // namespace basilspread::internal::queue_tables
