#include "connection_budget.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <utility>

namespace basilspread::node {
namespace {

/// An answer of which the caller accepts nothing for this long is not being
/// read. Shorter pauses are common on long or lossy links.
constexpr Duration kStallTime = std::chrono::seconds(1);
/// Walking all arenas of the allocator takes some milliseconds.
constexpr Duration kReleaseInterval = std::chrono::seconds(1);
/// Share of the memory of a process that its connections may hold. A message
/// is copied up to three times on its way: the buffer, the parsed request, and
/// the call that forwards it.
constexpr std::size_t kMemoryShare = 4;
/// Memory of the smallest hosts, in MB; used where the settings state none.
constexpr double kDefaultMemory = 120;
constexpr double kBytesPerMegabyte = 1e6;
constexpr std::size_t kBytesPerKibibyte = 1024;
/// Descriptors that are kept for files, listening sockets and new links.
constexpr std::size_t kReservedDescriptors = 200;
/// Sockets that a process with few descriptors may have nonetheless.
constexpr std::size_t kMinDescriptors = 32;

bool IsStalled(ConnectionUse use, Duration time) {
  return use == ConnectionUse::kSending && time >= kStallTime;
}

bool IsClosable(ConnectionUse use, Duration time) {
  return use == ConnectionUse::kIdle || use == ConnectionUse::kReceiving ||
         IsStalled(use, time);
}

}  // namespace

std::string_view NameOf(ConnectionLimit limit) {
  constexpr std::array<std::string_view, kConnectionLimits> kNames = {
      "memory", "descriptors", "connections", "message"};
  return kNames.at(static_cast<std::size_t>(limit));
}

ConnectionAccount::ConnectionAccount(ConnectionBudgetPtr its_budget,
                                     ConnectionPort its_port,
                                     std::function<void()> close_hook)
    : budget(std::move(its_budget)),
      port(its_port),
      close(std::move(close_hook)),
      since(std::chrono::steady_clock::now()) {
  const std::lock_guard lock(this->budget->mutex);
  this->budget->accounts.push_back(*this);
  ++this->budget->open;
}

ConnectionAccount::~ConnectionAccount() { this->Close(); }

void ConnectionAccount::Close() {
  const std::lock_guard lock(this->budget->mutex);
  if (!this->is_linked()) {
    return;
  }
  if (!this->is_evicted) {
    this->budget->held -= this->bytes;
    --this->budget->open;
  }
  this->budget->accounts.erase(this->budget->accounts.iterator_to(*this));
}

bool ConnectionAccount::Hold(std::size_t total, TimePoint now) {
  ConnectionBudget& owner = *this->budget;
  const std::lock_guard lock(owner.mutex);
  if (this->is_evicted || !this->is_linked()) {
    return false;
  }
  owner.held = owner.held - this->bytes + total;
  this->bytes = total;
  owner.EvictForMemory(now);
  owner.peak = std::max(owner.peak, owner.held);
  return !this->is_evicted;
}

bool ConnectionAccount::Use(ConnectionUse next, TimePoint now) {
  const std::lock_guard lock(this->budget->mutex);
  this->use = next;
  this->since = now;
  return !this->is_evicted;
}

bool ConnectionAccount::IsEvicted() const {
  const std::lock_guard lock(this->budget->mutex);
  return this->is_evicted;
}

ConnectionBudget::ConnectionBudget() : ConnectionBudget(Limits{}, Hooks{}) {}

ConnectionBudget::ConnectionBudget(Limits process_limits, Hooks limit_hooks)
    : limits(process_limits), hooks(std::move(limit_hooks)) {}

void ConnectionBudget::EvictForMemory(TimePoint now) {
  // The product of size and age: a message in progress of an ordinary caller
  // is young, and one byte at a time holds little.
  const auto weigh = [now](const ConnectionAccount& account) {
    const std::chrono::duration<double> age = now - account.since;
    constexpr double kMinAge = 0.001;
    return static_cast<double>(account.bytes) * std::max(age.count(), kMinAge);
  };
  while (this->held > this->limits.memory_bytes) {
    ConnectionAccount* heaviest = nullptr;
    for (ConnectionAccount& account : this->accounts) {
      const bool is_candidate = !account.is_evicted && account.bytes > 0 &&
                                IsClosable(account.use, now - account.since);
      if (is_candidate && (!heaviest || weigh(account) > weigh(*heaviest))) {
        heaviest = &account;
      }
    }
    if (heaviest == nullptr) {
      return;
    }
    this->Evict(*heaviest, ConnectionLimit::kMemory);
  }
}

bool ConnectionBudget::EvictOldest(TimePoint now) {
  ConnectionAccount* oldest = nullptr;
  for (ConnectionAccount& account : this->accounts) {
    // Calls to other services are never closed for the sake of a new caller.
    const bool is_candidate = !account.is_evicted &&
                              account.port != ConnectionPort::kOutgoing &&
                              IsClosable(account.use, now - account.since);
    if (is_candidate && (!oldest || account.since < oldest->since)) {
      oldest = &account;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  this->Evict(*oldest, ConnectionLimit::kDescriptors);
  return true;
}

void ConnectionBudget::Evict(ConnectionAccount& account,
                             ConnectionLimit limit) {
  account.is_evicted = true;
  this->held -= account.bytes;
  --this->open;
  account.close();
  this->Report(limit);
}

bool ConnectionBudget::Admit(std::size_t descriptor, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  // The system gives out the lowest free number, so a high one shows that as
  // many descriptors of whatever kind are open. A low one shows little, since
  // closed connections leave gaps below those that stay.
  if (descriptor <= this->limits.max_descriptor &&
      this->open < this->limits.max_descriptor) {
    return true;
  }
  return this->EvictOldest(now);
}

std::size_t ConnectionBudget::CloseStalled(ConnectionPort port,
                                           Duration stalled_for,
                                           TimePoint now) {
  const std::lock_guard lock(this->mutex);
  std::size_t closed = 0;
  for (ConnectionAccount& account : this->accounts) {
    const Duration age = now - account.since;
    if (account.port == port && !account.is_evicted && age >= stalled_for &&
        IsClosable(account.use, age)) {
      this->Evict(account, ConnectionLimit::kConnections);
      ++closed;
    }
  }
  return closed;
}

void ConnectionBudget::Report(ConnectionLimit limit) const {
  if (this->hooks.on_exceeded) {
    this->hooks.on_exceeded(limit);
  }
}

void ConnectionBudget::ReleaseMemory(TimePoint now) {
  {
    const std::lock_guard lock(this->mutex);
    const bool was_used = this->peak > this->limits.memory_bytes / 4;
    const bool is_free = this->held < this->peak / 4;
    if (!was_used || !is_free || now - this->released_at < kReleaseInterval) {
      return;
    }
    this->released_at = now;
    this->peak = this->held;
  }
  if (this->hooks.release_memory) {
    this->hooks.release_memory();
  }
}

ConnectionUsage ConnectionBudget::Usage() const {
  const std::lock_guard lock(this->mutex);
  return {this->open, this->held, this->limits.memory_bytes};
}

ConnectionBudget::Limits BudgetLimits(const config::NodeSettings& settings) {
  const double memory = settings.memory > 0 ? settings.memory : kDefaultMemory;
  const std::size_t body = settings.max_body_kibibytes * kBytesPerKibibyte;
  ConnectionBudget::Limits limits;
  // A single message inside the limits always fits, also one that is forwarded.
  limits.memory_bytes = std::max(
      static_cast<std::size_t>(memory * kBytesPerMegabyte) / kMemoryShare,
      4 * body);
  rlimit own{};
  std::size_t descriptors = std::numeric_limits<std::size_t>::max();
  if (getrlimit(RLIMIT_NOFILE, &own) == 0 && own.rlim_cur != RLIM_INFINITY) {
    descriptors = own.rlim_cur;
  }
  if (settings.descriptors > 0) {
    descriptors = std::min<std::size_t>(descriptors, settings.descriptors);
  }
  limits.max_descriptor =
      std::max(descriptors, kReservedDescriptors + kMinDescriptors) -
      kReservedDescriptors;
  return limits;
}

}  // namespace basilspread::node
