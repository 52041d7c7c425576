#include "minion_connections.h"

#include <algorithm>
#include <utility>

namespace basilspread::clients {
namespace {

/// Connections that are idle for this long are closed, as the network may have
/// dropped them unnoticed.
constexpr Duration kMaxIdle = std::chrono::seconds(1);
constexpr std::size_t kMaxIdleConnections = 256;

}  // namespace

std::unique_ptr<MinionConnection> MinionConnections::Take(
    const std::string& address, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->CloseExpired(now);
  // Prefers the most recently used connection.
  const auto found =
      std::find_if(this->idle.rbegin(), this->idle.rend(),
                   [&address](const IdleConnection& entry) {
                     return entry.connection->Address() == address;
                   });
  if (found == this->idle.rend()) {
    return nullptr;
  }
  std::unique_ptr<MinionConnection> connection = std::move(found->connection);
  this->idle.erase(std::next(found).base());
  return connection->IsIdle() ? std::move(connection) : nullptr;
}

void MinionConnections::Return(std::unique_ptr<MinionConnection> connection,
                               TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->CloseExpired(now);
  if (this->idle.size() < kMaxIdleConnections) {
    this->idle.push_back(IdleConnection{std::move(connection), now});
  }
}

void MinionConnections::CloseExpired(TimePoint now) {
  while (!this->idle.empty() && now - this->idle.front().since >= kMaxIdle) {
    this->idle.pop_front();
  }
}

}  // namespace basilspread::clients
