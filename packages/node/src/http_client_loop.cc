#include "http_client_loop.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <utility>

#include "thread_usage.h"

namespace basilspread::node {
namespace {

using Poco::Net::PollSet;

const Poco::Timespan kMaxWait(1, 0);

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

HttpClientLoop::HttpClientLoop(OnTurn turn_hook,
                               ConnectionBudgetPtr connection_budget)
    : on_turn(std::move(turn_hook)),
      budget(connection_budget ? std::move(connection_budget)
                               : ConnectionBudgetPtr(new ConnectionBudget)) {}

HttpClientLoop::~HttpClientLoop() { this->Stop(); }

void HttpClientLoop::Start() {
  this->wake_socket.Open();
  this->poll_set.add(this->wake_socket.Get(), PollSet::POLL_READ);
  this->thread = std::thread([this] { this->Run(); });
}

void HttpClientLoop::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->wake_socket.Wake();
  this->thread.join();
}

void HttpClientLoop::Send(HttpCall call) {
  bool was_waiting = false;
  {
    const std::lock_guard lock(this->mutex);
    was_waiting = std::exchange(this->is_waiting, false);
    this->incoming.push_back(std::move(call));
  }
  if (was_waiting) {
    this->wake_socket.Wake();
  }
}

void HttpClientLoop::Run() {
  const NamedThread named("calls");
  while (const auto wait = this->BeginWait()) {
    const auto ready = this->poll_set.poll(*wait);
    const TimePoint began = Now();
    for (const auto& [socket, mode] : ready) {
      this->OnReady(socket, mode);
    }
    this->TakeCalls();
    this->HandleDue();
    if (this->on_turn) {
      this->on_turn({this->open_calls, Now() - began});
    }
  }
}

std::optional<Poco::Timespan> HttpClientLoop::BeginWait() {
  const std::lock_guard lock(this->mutex);
  if (this->stopping) {
    return std::nullopt;
  }
  this->is_waiting = this->incoming.empty();
  return this->is_waiting ? this->UntilNextTime() : Poco::Timespan();
}

void HttpClientLoop::TakeCalls() {
  std::vector<HttpCall> calls;
  {
    const std::lock_guard lock(this->mutex);
    this->is_waiting = false;
    calls.swap(this->incoming);
  }
  for (HttpCall& call : calls) {
    HttpExchangePtr& exchange = this->lanes[{call.address, call.lane}];
    if (!exchange) {
      exchange.reset(new HttpExchange({call.address, call.lane}, this->budget));
    }
    exchange->Add(std::move(call));
    exchange->Advance();
    this->Refresh(exchange);
  }
}

void HttpClientLoop::OnReady(const Poco::Net::Socket& socket, int mode) {
  if (socket == this->wake_socket.Get()) {
    this->wake_socket.Clear();
    return;
  }
  const auto found = this->by_socket.find(socket);
  if (found == this->by_socket.end()) {
    return;
  }
  const HttpExchangePtr exchange = found->second;
  if ((mode & PollSet::POLL_ERROR) != 0) {
    exchange->Fail("error on the connection's socket");
  } else {
    if ((mode & PollSet::POLL_WRITE) != 0) {
      exchange->OnWritable();
    }
    const bool is_same = exchange->socket && *exchange->socket == socket;
    if ((mode & PollSet::POLL_READ) != 0 && is_same) {
      exchange->OnReadable();
    }
  }
  this->Refresh(exchange);
}

void HttpClientLoop::HandleDue() {
  const TimePoint now = Now();
  while (const HttpExchangePtr exchange = this->schedule.TakeDue(now)) {
    exchange->Expire(now);
    const auto overtake_at = exchange->OvertakeAt();
    if (overtake_at && *overtake_at <= now) {
      this->Overtake(exchange);
    }
    this->Refresh(exchange);
  }
}

void HttpClientLoop::Overtake(const HttpExchangePtr& slow) {
  slow->is_detached = true;
  this->detached.insert(slow);
  const HttpExchangePtr next(new HttpExchange(slow->lane, this->budget));
  this->lanes[slow->lane] = next;
  for (HttpCall& call : slow->TakeWaiting()) {
    next->Add(std::move(call));
  }
  next->Advance();
  this->Refresh(next);
}

void HttpClientLoop::Refresh(const HttpExchangePtr& exchange) {
  ++this->exchanges_handled;
  this->open_calls += exchange->CountCalls() - exchange->counted_calls;
  exchange->counted_calls = exchange->CountCalls();
  this->Watch(exchange);
  this->schedule.Update(*exchange);
  if (exchange->is_detached && exchange->IsIdle()) {
    if (exchange->watched) {
      this->Unwatch(exchange);
    }
    this->detached.erase(exchange);
  }
}

void HttpClientLoop::Watch(const HttpExchangePtr& exchange) {
  const bool is_other =
      exchange->watched &&
      (!exchange->socket || *exchange->watched != *exchange->socket);
  if (is_other) {
    this->Unwatch(exchange);
  }
  if (!exchange->socket) {
    return;
  }
  int mode = PollSet::POLL_ERROR | PollSet::POLL_READ;
  mode |= exchange->WantsToWrite() ? PollSet::POLL_WRITE : 0;
  if (!exchange->watched) {
    this->poll_set.add(*exchange->socket, mode);
    this->by_socket[*exchange->socket] = exchange;
    exchange->watched = exchange->socket;
  } else if (exchange->poll_mode != mode) {
    this->poll_set.update(*exchange->socket, mode);
  }
  exchange->poll_mode = mode;
}

void HttpClientLoop::Unwatch(const HttpExchangePtr& exchange) {
  this->poll_set.remove(*exchange->watched);
  this->by_socket.erase(*exchange->watched);
  exchange->watched->close();
  exchange->watched.reset();
  exchange->poll_mode = 0;
}

Poco::Timespan HttpClientLoop::UntilNextTime() const {
  const auto next = this->schedule.NextTime();
  if (!next) {
    return kMaxWait;
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(*next - Now(), Duration::zero()));
  // The time is rounded up, so that the thread does not wake just before it.
  return std::min(kMaxWait,
                  Poco::Timespan(std::chrono::microseconds(left).count()));
}

}  // namespace basilspread::node
